package drive

import (
	"cmp"
	"context"
	"runtime/debug"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"plantainfold.example/fold"
	"plantainfold.example/fold/core"
	"plantainfold.example/fold/flow"
	"plantainfold.example/fold/lead"
	"plantainfold.example/fold/lease"
	"plantainfold.example/fold/relay"
)

// Parts are the dependencies and settings of a driver.
type Parts struct {
	Table  fold.Table
	Log    fold.ChangeFeed
	Runner fold.Runner
	Roster fold.Roster
	// AdviceCallers returns the entries that can call the adviser now, including this one.
	AdviceCallers func() []AdviceCaller
	// Entries returns the incarnations of the other entries that answer, the strongest first, and how many of them are fit
	// to own the pool.
	Entries func() (entries []string, fitCount int)
	// FitterEntry reports whether another entry should own the pool instead of this one. An idle pool moves for a smaller
	// advantage, because no job waits for the hand-over.
	FitterEntry func(idle bool) bool
	// Announce tells the entries whether this owner starts runs without records. The number orders the announcements of an
	// epoch. It reports whether all entries have recorded the announcement; an entry that the table serves well does not
	// record it.
	Announce func(ctx context.Context, entries []string, epoch, number int64, on bool) bool
	// Invite asks an entry that the table serves to take over from the given epoch.
	Invite func(ctx context.Context, epoch int64)
	// RelayCapacity is how many hosts this entry can supervise beside making decisions.
	RelayCapacity int
	// MaxRow is the longest value of a row in bytes; 0 means DefaultMaxRow.
	MaxRow int
	// Domain is the failure domain of this entry.
	Domain string
	// RelayEntries returns the other entries that can supervise hosts, the strongest first.
	RelayEntries func() []RelayEntry
	// AwaitUnrecorded is true if an earlier owner may have started runs without records.
	AwaitUnrecorded bool
	// PreviousCommit is a time after the previous owner sent its last commit, or 0 if only the takeover is known to be after it.
	// Leases of earlier owners are counted from it.
	PreviousCommit fold.Instant
	// PreviousLeases bounds the leases of earlier owners if the previous one has handed over, and is nil otherwise.
	PreviousLeases *lease.Bounds
	Clock          fold.Clock
	Logger         hclog.Logger
	Times          core.Times
	// Options switch on parts of the decisions.
	Options core.Options
	Meter   Meter
}

// AdviceCaller calls the adviser through one entry.
type AdviceCaller interface {
	Name() string
	Advise(ctx context.Context, step string, hosts []string) (fold.Advice, error)
}

// Meter records the metrics of a driver.
type Meter interface {
	relay.Meter
	Commit(took time.Duration, rows int)
	Ask(took time.Duration, err error)
	Decide(took time.Duration)
}

const (
	// decideInterval is the longest time between two rounds of decisions; some decisions depend on time alone.
	decideInterval = 100 * time.Millisecond
	// decideDelayFactor sets the delay before the next round of decisions, as a multiple of the time that the last round
	// took. Decisions thus take at most a tenth of the processor time.
	decideDelayFactor = 9
	// minDecideDelay is the shortest delay between two rounds.
	minDecideDelay = 2 * time.Millisecond
	// maxDecideDelay is the longest delay between two rounds; it is a fraction of the time that an order takes.
	maxDecideDelay = 25 * time.Millisecond
	// handOverInterval is how often the owner checks whether another entry is fitter to own the pool.
	handOverInterval = 3 * time.Second
	// feedPause is the delay between two reads of changed jobs. The owner's own commits change them too, and jobs that
	// other entries wrote are rare.
	feedPause = 150 * time.Millisecond
	// feedWait is how long one read waits for new jobs. It also limits how late the owner learns of a cancellation.
	feedWait = time.Second
	// feedTimeout limits a read of the feed in addition to feedWait, so that a dead connection is noticed.
	feedTimeout = 600 * time.Millisecond
	// retryDelay is the delay before a failed call to the platform is tried again.
	retryDelay = 100 * time.Millisecond
)

// Driver runs the pool for one term of ownership.
type Driver struct {
	parts Parts
	log   hclog.Logger
	term  *lead.Term

	mu   sync.Mutex
	cell *core.Cell
	// lastCommit is when the last successful commit was sent, at first the takeover. Leases are renewed for a limited time
	// after it.
	lastCommit fold.Instant
	// renewalPaused reports whether leases were not renewed at the last check because lastCommit was too long ago.
	renewalPaused bool
	// staleRows are the keys of rows of ended jobs that have to be deleted.
	staleRows []string
	// backlog is used only by the commit loop and the loading before it.
	backlog backlog
	// usedRows is used only by the commit loop and the loading before it.
	usedRows usedRows
	pastUse  pastUse

	// ended holds the states of jobs that ended recently, by job id.
	ended map[string]endedJob
	// inbox holds the ids of jobs for which another entry wrote the job or a cancellation request.
	inbox map[string]bool
	// unreadable holds the ids of jobs whose records cannot be read; these jobs do not run.
	unreadable map[string]bool
	// earlyCancels holds the cancellation requests for unknown jobs, by job id.
	earlyCancels map[string]earlyCancel

	supervision supervision
	// raiseGCPercent raises the garbage collection target once, when the pool is large.
	raiseGCPercent sync.Once
	intake         intake
	announcement   announcement
	loaded         chan struct{}
	decideWake     chan struct{}
	commitWake     chan struct{}
	adviceWake     chan struct{}
	termEnd        chan error
	group          sync.WaitGroup
}

// New returns a driver for the term. Run starts it.
func New(parts Parts, term *lead.Term, rules fold.Rules) *Driver {
	maxRow := cmp.Or(parts.MaxRow, DefaultMaxRow)
	d := &Driver{
		parts:        parts,
		log:          parts.Logger.Named("drive").With("epoch", term.Epoch()),
		term:         term,
		cell:         core.New(parts.Times, parts.Logger.Named("core")),
		lastCommit:   term.Began(),
		ended:        make(map[string]endedJob),
		earlyCancels: make(map[string]earlyCancel),

		unreadable: make(map[string]bool),
		inbox:      make(map[string]bool),
		backlog:    backlog{records: make(map[string]flow.Record), further: make(map[string]int), shortened: make(map[string]bool), maxRow: maxRow},
		usedRows:   usedRows{rows: make(map[string]string), perRow: max(1, maxRow/bytesPerHost)},
		pastUse:    pastUse{read: make(chan struct{})},
		loaded:     make(chan struct{}),
		decideWake: make(chan struct{}, 1),
		commitWake: make(chan struct{}, 1),
		adviceWake: make(chan struct{}, 1),
		termEnd:    make(chan error, 1),
	}
	d.supervision = supervision{
		assignments: make(map[string]*assignment), sessions: make(map[uint64]*session), opening: make(map[string]bool), retryAt: make(map[string]fold.Instant),
		openOrders: make(map[uint64]openOrder), termStart: parts.Clock.Now(), lastCheck: parts.Clock.Now(),
	}
	d.cell.SetOptions(parts.Options)
	// The first time is the one from which the cell counts the leases of earlier owners.
	d.cell.SetTime(cmp.Or(parts.PreviousCommit, term.Began()), time.Now().UnixMilli())
	if parts.PreviousLeases != nil {
		d.cell.SetForeignLeases(*parts.PreviousLeases)
	}
	d.setTime()
	d.cell.SetRules(rules)
	return d
}

// Run owns the pool until ctx ends or another entry takes over. It waits for all goroutines that it started.
func (d *Driver) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer d.group.Wait()
	defer cancel()
	version, err := d.load(ctx)
	if err != nil {
		return err
	}
	d.supervision.local = d.startLocalRelay(ctx)
	defer func() { _ = d.supervision.local.relay.Close() }()
	defer debug.SetGCPercent(debug.SetGCPercent(100))
	d.spawn(func() { d.runSupervision(ctx) })
	d.spawn(func() { d.followJobs(ctx, version) })
	d.spawn(func() { d.followRoster(ctx) })
	d.spawn(func() { d.runCommits(ctx) })
	d.spawn(func() { d.runAdvice(ctx) })
	close(d.loaded)
	return d.runDecisions(ctx)
}

// Epoch returns the epoch of the driver's term.
func (d *Driver) Epoch() int64 {
	return d.term.Epoch()
}

// SinceCommit returns the time since the last successful commit, or else the takeover, was sent.
func (d *Driver) SinceCommit() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.parts.Clock.Now().Sub(d.lastCommit)
}

// Loaded returns a channel that is closed once the driver has loaded all jobs.
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

// setTime passes the current time to the cell. The caller holds the lock, or no other goroutine runs yet.
func (d *Driver) setTime() {
	d.cell.SetTime(d.parts.Clock.Now(), time.Now().UnixMilli())
}

// withCell calls fn with the cell under the lock.
func (d *Driver) withCell(fn func(*core.Cell)) {
	d.mu.Lock()
	d.setTime()
	fn(d.cell)
	d.mu.Unlock()
}

// updateCell calls fn with the cell and triggers a round of decisions.
func (d *Driver) updateCell(fn func(*core.Cell)) {
	d.withCell(fn)
	notify(d.decideWake)
}

func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// SetRules applies a revision of the configuration.
func (d *Driver) SetRules(rules fold.Rules) {
	d.updateCell(func(c *core.Cell) { c.SetRules(rules) })
}

// Waiting returns, for each queue, the number of jobs that have not started any task.
func (d *Driver) Waiting() map[string]int {
	var waiting map[string]int
	d.withCell(func(c *core.Cell) { waiting = c.Waiting() })
	return waiting
}

// Stats returns the counters of this term, the used capacity and the total capacity.
func (d *Driver) Stats() (stats core.Stats, used, capacity fold.Resources) {
	d.withCell(func(c *core.Cell) {
		stats = c.Stats()
		used, capacity = c.Usage()
	})
	return stats, used, capacity
}

// Explain returns where the tasks of a job would go now and why. It does not advance the time of the cell.
func (d *Driver) Explain(queue, team string, job flow.Job) (core.Explanation, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.cell.Explain(queue, team, job)
}

// Speeds returns a summary of the speeds of the hosts. It is the zero value if the options leave speeds off.
func (d *Driver) Speeds() core.SpeedSummary {
	if !d.parts.Options.Speeds {
		return core.SpeedSummary{}
	}
	var summary core.SpeedSummary
	d.withCell(func(c *core.Cell) { summary = c.Speeds() })
	return summary
}

// runDecisions makes decisions after each event, and at least once in each decideInterval.
func (d *Driver) runDecisions(ctx context.Context) error {
	handOver := time.NewTicker(handOverInterval)
	defer handOver.Stop()
	for {
		var orders core.Orders
		var took time.Duration
		d.withCell(func(c *core.Cell) {
			began := time.Now()
			c.AllowUnrecorded(d.mayStartUnrecorded(ctx))
			c.Decide()
			orders = c.Orders()
			took = time.Since(began)
			d.parts.Meter.Decide(took)
		})
		d.send(orders)
		notify(d.commitWake)
		notify(d.adviceWake)
		select {
		case <-ctx.Done():
			return nil
		case err := <-d.termEnd:
			return err
		case <-handOver.C:
			var idle bool
			d.withCell(func(c *core.Cell) { idle = c.Idle() })
			if d.parts.FitterEntry(idle) {
				d.log.Info("Ending the term because a fitter entry should own the pool.", "idle", idle)
				return nil
			}
		case <-d.decideWake:
			// Events that arrive during the delay are handled in one round, so that decisions leave processor time for
			// calls.
			if !d.pause(ctx, min(maxDecideDelay, max(minDecideDelay, decideDelayFactor*took))) {
				return nil
			}
		case <-d.parts.Clock.After(decideInterval):
		}
	}
}

// endTerm makes Run return err.
func (d *Driver) endTerm(err error) {
	select {
	case d.termEnd <- err:
	default:
	}
}

// mayRenew reports whether leases may be renewed. An owner that cannot commit renews them for a limited time only, and a
// later owner relies on this limit.
func (d *Driver) mayRenew() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.mayRenewLocked()
}

// mayRenewLocked does the work of mayRenew for a caller that holds the lock.
func (d *Driver) mayRenewLocked() bool {
	return d.parts.Clock.Now().Sub(d.lastCommit) < d.parts.Times.RenewWithoutTable
}

// pause waits for the given time or the end of ctx, and reports whether ctx is still active.
func (d *Driver) pause(ctx context.Context, wait time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-d.parts.Clock.After(wait):
		return true
	}
}
