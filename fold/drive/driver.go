package drive

import (
	"context"
	"runtime/debug"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"plantainfold.example/fold"
	"plantainfold.example/fold/core"
	"plantainfold.example/fold/flow"
	"plantainfold.example/fold/lead"
	"plantainfold.example/fold/relay"
)

// Parts are what a driver works with.
type Parts struct {
	Table  fold.Table
	Log    fold.ChangeFeed
	Runner fold.Runner
	Roster fold.Roster
	// AdviceCallers returns the entries that can call the adviser now, this one included.
	AdviceCallers func() []AdviceCaller
	// Entries returns the incarnations of the other entries that answer, the strongest first, and how many of them are fit
	// to own the pool.
	Entries func() (entries []string, strong int)
	// StrongerEntry reports whether another entry should own the pool instead of this one.
	StrongerEntry func() bool
	// Announce tells the entries that this owner starts runs without records, or no longer does; number orders the
	// announcements of an epoch. It reports whether all of the entries have noted it; an entry that the table serves well
	// does not.
	Announce func(ctx context.Context, entries []string, epoch, number int64, on bool) bool
	// Invite asks an entry that the table serves to take over from the epoch.
	Invite func(ctx context.Context, epoch int64)
	// RelayCapacity is how many hosts this entry can look after beside its decisions; Domain is its failure domain.
	RelayCapacity int
	Domain        string
	// RelayEntries returns the other entries that can look after hosts, the strongest first.
	RelayEntries func() []RelayEntry
	// AwaitUnrecorded says that an earlier owner may have started runs without records.
	AwaitUnrecorded bool
	Clock           fold.Clock
	Logger          hclog.Logger
	Times           core.Times
	Meter           Meter
}

// AdviceCaller calls the adviser from one entry.
type AdviceCaller interface {
	Name() string
	Advise(ctx context.Context, step string, hosts []string) (fold.Advice, error)
}

// Meter takes the figures of a driver.
type Meter interface {
	relay.Meter
	Commit(took time.Duration, rows int)
	Ask(took time.Duration, err error)
	Decide(took time.Duration)
}

const (
	// tick is how often decisions are made without an event, for what depends on time alone.
	tick = 100 * time.Millisecond
	// decideRest is how many times as long as a round of decisions the next one waits at least, between minRest and maxRest:
	// decisions take at most a tenth of the processor time, and wait for a fraction of what an order takes.
	decideRest = 9
	minRest    = 2 * time.Millisecond
	maxRest    = 25 * time.Millisecond
	// handOverEvery is how often the owner looks for an entry that is fitter to own the pool.
	handOverEvery = 3 * time.Second
	// feedPause separates readings of changed jobs. The owner's own commits change them, too; jobs that other entries wrote
	// are rare.
	feedPause = 150 * time.Millisecond
	// feedWait bounds the wait for new jobs, and so the age of what is known of cancelled ones.
	feedWait = time.Second
	// feedTime bounds a call of the feed beyond its wait, so that a silent connection is noticed.
	feedTime = 600 * time.Millisecond
	// pauseAfterError separates tries of calls to the platform that failed.
	pauseAfterError = 100 * time.Millisecond
)

// Driver owns the pool for one term.
type Driver struct {
	parts Parts
	log   hclog.Logger
	term  *lead.Term

	mu   sync.Mutex
	cell *core.Cell
	// committed is when the last commit that succeeded was sent; leases are renewed for a bounded time after it.
	committed fold.Instant
	// rows are rows of ended jobs that are to be removed.
	rows []string
	// backlog and used are used by the loop of commits and before it starts.
	backlog backlog
	used    used

	// ended holds the states of jobs that ended lately.
	ended map[string]ended
	// inbox are the jobs of which another entry wrote the job or a wish to cancel it.
	inbox map[string]bool
	// unreadable are jobs whose records cannot be read; they do not run.
	unreadable map[string]bool
	// early holds wishes to cancel jobs that are not known yet.
	early map[string]bool

	links links
	// collect sets the collector for a large pool, once.
	collect sync.Once
	intake  intake
	notice  notice
	loaded  chan struct{}
	wake    chan struct{}
	record  chan struct{}
	askWake chan struct{}
	deposed chan error
	group   sync.WaitGroup
}

// New returns a driver for the term; Run starts it.
func New(parts Parts, term *lead.Term, rules fold.Rules) *Driver {
	d := &Driver{
		parts:     parts,
		log:       parts.Logger.Named("drive").With("epoch", term.Epoch()),
		term:      term,
		cell:      core.New(parts.Times, parts.Logger.Named("core")),
		committed: parts.Clock.Now(),
		ended:     make(map[string]ended),
		early:     make(map[string]bool),

		unreadable: make(map[string]bool),
		inbox:      make(map[string]bool),
		backlog:    backlog{records: make(map[string]flow.Record)},
		used:       used{rows: make(map[string]string)},
		loaded:     make(chan struct{}),
		wake:       make(chan struct{}, 1),
		record:     make(chan struct{}, 1),
		askWake:    make(chan struct{}, 1),
		deposed:    make(chan error, 1),
	}
	d.links = links{
		seats: make(map[string]*seat), sessions: make(map[uint64]*session), asking: make(map[string]bool), rest: make(map[string]fold.Instant),
		sent: make(map[uint64]sent), began: parts.Clock.Now(), checked: parts.Clock.Now(),
	}
	d.tell()
	d.cell.SetRules(rules)
	return d
}

// Run owns the pool until ctx ends or another entry takes over, and waits for everything that it started.
func (d *Driver) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer d.group.Wait()
	defer cancel()
	version, err := d.load(ctx)
	if err != nil {
		return err
	}
	d.links.own = d.startOwn(ctx)
	defer func() { _ = d.links.own.relay.Close() }()
	defer debug.SetGCPercent(debug.SetGCPercent(100))
	d.spawn(func() { d.runLinks(ctx) })
	d.spawn(func() { d.follow(ctx, version) })
	d.spawn(func() { d.followRoster(ctx) })
	d.spawn(func() { d.commit(ctx) })
	d.spawn(func() { d.ask(ctx) })
	close(d.loaded)
	return d.decide(ctx)
}

// Epoch returns the epoch of the driver's term.
func (d *Driver) Epoch() int64 {
	return d.term.Epoch()
}

// Loaded is closed once the driver knows all jobs.
func (d *Driver) Loaded() <-chan struct{} {
	return d.loaded
}

func (d *Driver) spawn(fn func()) {
	d.group.Add(1)
	go func() {
		defer d.group.Done()
		fn()
	}()
}

// tell gives the cell the time; the caller holds the lock or is alone.
func (d *Driver) tell() {
	d.cell.SetTime(d.parts.Clock.Now(), time.Now().UnixMilli())
}

// with changes the cell under its lock.
func (d *Driver) with(fn func(*core.Cell)) {
	d.mu.Lock()
	d.tell()
	fn(d.cell)
	d.mu.Unlock()
}

// update changes the cell and lets it decide again.
func (d *Driver) update(fn func(*core.Cell)) {
	d.with(fn)
	poke(d.wake)
}

func poke(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// SetRules puts a revision of the configuration in force.
func (d *Driver) SetRules(rules fold.Rules) {
	d.update(func(c *core.Cell) { c.SetRules(rules) })
}

// Waiting returns, for each queue, the number of jobs of which no task has started.
func (d *Driver) Waiting() map[string]int {
	var waiting map[string]int
	d.with(func(c *core.Cell) { waiting = c.Waiting() })
	return waiting
}

// Stats returns the counts of this term and the used and whole capacity.
func (d *Driver) Stats() (stats core.Stats, used, capacity fold.Resources) {
	d.with(func(c *core.Cell) {
		stats = c.Stats()
		used, capacity = c.Usage()
	})
	return stats, used, capacity
}

// decide makes decisions after each event and at least every tick.
func (d *Driver) decide(ctx context.Context) error {
	handOver := time.NewTicker(handOverEvery)
	defer handOver.Stop()
	for {
		var orders core.Orders
		var took time.Duration
		d.with(func(c *core.Cell) {
			began := time.Now()
			c.AllowUnrecorded(d.mayStartUnrecorded(ctx))
			c.Decide()
			orders = c.Orders()
			took = time.Since(began)
			d.parts.Meter.Decide(took)
		})
		d.send(orders)
		poke(d.record)
		poke(d.askWake)
		select {
		case <-ctx.Done():
			return nil
		case err := <-d.deposed:
			return err
		case <-handOver.C:
			if d.parts.StrongerEntry() {
				d.log.Info("A stronger entry should own the pool.")
				return nil
			}
		case <-d.wake:
			// What happens meanwhile is decided together, so that decisions leave time for calls.
			if !d.pause(ctx, min(maxRest, max(minRest, decideRest*took))) {
				return nil
			}
		case <-d.parts.Clock.After(tick):
		}
	}
}

// depose ends the term.
func (d *Driver) depose(err error) {
	select {
	case d.deposed <- err:
	default:
	}
}

// mayRenew reports whether leases may be renewed: an owner that cannot commit goes on for a bounded time, on which a
// later owner relies.
func (d *Driver) mayRenew() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.renewable()
}

// renewable is mayRenew for a caller that holds the lock.
func (d *Driver) renewable() bool {
	return d.parts.Clock.Now().Sub(d.committed) < d.parts.Times.RenewWithoutTable
}

// pause waits for d or the end of ctx and reports whether ctx goes on.
func (d *Driver) pause(ctx context.Context, wait time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-d.parts.Clock.After(wait):
		return true
	}
}
