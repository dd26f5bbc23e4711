package entry

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"plantainfold.example/fold"
	"plantainfold.example/fold/owner"
	"plantainfold.example/fold/place"
	"plantainfold.example/fold/sched"
	"plantainfold.example/fold/spread"
	"plantainfold.example/fold/store"
)

const (
	// roundPeriod is the maximum time between two rounds of decisions, or two exchanges with the table service.
	roundPeriod = time.Second
	// maxStarts is the maximum number of tasks that one decision round starts.
	maxStarts = 512
	// stopGrace is the time that a stopped task gets to end by itself.
	stopGrace = 2 * time.Second
	// startAcceptance is how long a worker accepts starts after a heartbeat.
	startAcceptance = 3 * time.Second
	// maxEvidenceAge is the maximum age of a heartbeat that gives standing.
	maxEvidenceAge = owner.MaxHeartbeatAge
)

// pool runs the scheduler of one pool that the entry owns. Decisions, the exchange with the table service and each worker
// have separate loops, so that a slow table service or worker does not delay decisions.
type pool struct {
	entry *Entry
	id    string
	// epoch is the version of the pool's row at which this entry owns the pool.
	epoch int64
	// openedAt is when the pool was opened.
	openedAt fold.Instant
	log      hclog.Logger

	// mu guards the fields up to lastStanding.
	mu    sync.Mutex
	sched *sched.Pool
	// links holds the connection to each worker by name.
	links map[string]*link
	// allotments holds the pool's share of each team's limit by the name of the team.
	allotments map[string]*allotment
	// members holds the workers of the pool that are in the instance list, by name.
	members map[string]fold.Instance
	// recordedBoots holds the workers on which an earlier owner may have started tasks, with their recorded boot ids. It
	// is nil once no task of an earlier owner is uncertain any more.
	recordedBoots map[string]string
	// incoming holds the ids of announced parts that have not been read yet.
	incoming map[string]bool
	// lastStanding is when the entry was last seen to have standing.
	lastStanding fold.Instant

	// limitsStale is set when the limits of teams must be read again.
	limitsStale atomic.Bool
	// flushDue is set when changed jobs must be recorded.
	flushDue atomic.Bool

	// lastPartSearch is the time of the last search for parts. Only the exchange loop uses this field and the next three.
	lastPartSearch fold.Instant
	// lastClean is when rows of ended jobs were last deleted.
	lastClean fold.Instant
	// lastMoveSearch is the time of the last search for tasks to move.
	lastMoveSearch fold.Instant
	// moves are the transfers that are not settled.
	moves []transfer

	// decideWake wakes the decision loop.
	decideWake chan struct{}
	// exchangeWake wakes the exchange loop.
	exchangeWake chan struct{}
	ctx          context.Context
	cancel       context.CancelFunc
	running      sync.WaitGroup
}

// newPool returns a pool with its jobs, limits and workers loaded from the table service. Its loops start with start.
func newPool(ctx context.Context, e *Entry, id string, epoch int64) (*pool, error) {
	p := &pool{
		entry:        e,
		id:           id,
		epoch:        epoch,
		openedAt:     e.clock.Now(),
		lastStanding: e.clock.Now(),
		log:          e.log.Named("pool").With("pool", id, "epoch", epoch),
		sched:        sched.New(id),
		links:        make(map[string]*link),
		allotments:   make(map[string]*allotment),
		members:      make(map[string]fold.Instance),
		incoming:     make(map[string]bool),
		decideWake:   make(chan struct{}, 1),
		exchangeWake: make(chan struct{}, 1),
	}
	p.ctx, p.cancel = context.WithCancel(context.Background())
	parts, err := store.ReadParts(ctx, e.table, id)
	if err != nil {
		return nil, err
	}
	for _, part := range parts {
		p.sched.Restore(p.openedAt, part.Value.Job, part.Value.Progress)
	}
	p.sched.SetRestoredPaused(len(parts) > 0)
	if err := p.loadSplits(ctx); err != nil {
		return nil, err
	}
	if err := p.loadMembers(ctx); err != nil {
		return nil, err
	}
	p.log.Info("Loaded a pool that this entry owns.", "jobs", len(parts))
	return p, nil
}

// start starts the decision loop and the exchange loop.
func (p *pool) start() {
	p.loop(p.decideWake, p.decide)
	p.loop(p.exchangeWake, p.exchange)
}

// loop calls step when it is woken and at least once in each period, until the pool is closed.
func (p *pool) loop(wake chan struct{}, step func(context.Context)) {
	p.running.Add(1)
	go func() {
		defer p.running.Done()
		for p.ctx.Err() == nil {
			step(p.ctx)
			select {
			case <-wake:
			case <-p.entry.clock.After(roundPeriod):
			case <-p.ctx.Done():
			}
		}
	}()
}

// close stops the loops of the pool and waits for them.
func (p *pool) close() {
	p.cancel()
	p.running.Wait()
}

// closeRecorded stops the pool and records its jobs and workers before a planned handover.
func (p *pool) closeRecorded(ctx context.Context) {
	p.close()
	p.flush(ctx)
	if err := p.entry.recordBoots(ctx, p); err != nil {
		p.log.Warn("Cannot record the workers of a pool. The next owner may report tasks as unknown.", "error", err)
	}
}

// wakeDecisions wakes the decision loop.
func (p *pool) wakeDecisions() {
	wake(p.decideWake)
}

// decide starts and stops tasks while the entry has standing.
func (p *pool) decide(context.Context) {
	standing := p.entry.standing() != owner.ModeNone
	p.mu.Lock()
	defer p.mu.Unlock()
	p.releaseHeld()
	if !standing {
		return
	}
	now := p.entry.clock.Now()
	p.stopExcess(now)
	starts := p.decideAndMeasure(now)
	for _, s := range starts {
		if l, ok := p.links[s.Worker]; ok {
			l.addStart(now, s.Task)
		}
	}
	for _, s := range p.sched.Stops() {
		if l, ok := p.links[s.Worker]; ok {
			l.addStop(s)
		}
	}
	if len(starts) == maxStarts {
		p.wakeDecisions()
	}
	if len(starts) > 0 {
		// Started tasks change how much allotment their teams need.
		wake(p.exchangeWake)
	}
}

// releaseHeld permits the jobs of an earlier owner to start once tasks that this owner started are known or have ended
// because their leases expired; the caller holds p.mu.
func (p *pool) releaseHeld() {
	if p.recordedBoots == nil {
		return
	}
	wait := p.entry.settings.RenewWithoutStanding.Std() + 2*sched.TaskLease + 2*startAcceptance + maxEvidenceAge
	held := p.entry.clock.Now().Sub(p.openedAt) < wait
	adopted := p.allAdopted()
	if held && !adopted {
		return
	}
	if !adopted {
		p.sched.MarkRestoredUnknown()
	}
	p.recordedBoots = nil
	p.sched.SetRestoredPaused(false)
}

// allAdopted reports whether every worker on which an earlier owner may have started tasks is adopted; the caller
// holds p.mu.
func (p *pool) allAdopted() bool {
	for name := range p.recordedBoots {
		if l, ok := p.links[name]; !ok || !l.adopted {
			return false
		}
	}
	return len(p.recordedBoots) > 0
}

// canRenew reports whether the entry may renew task leases: while it has standing, and for the setting RenewWithoutStanding
// after that.
func (p *pool) canRenew(standing bool) bool {
	now := p.entry.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if standing {
		p.lastStanding = now
	}
	return now.Sub(p.lastStanding) <= p.entry.settings.RenewWithoutStanding.Std()
}

// status returns the status of the pool for operators.
func (p *pool) status() fold.PoolStatus {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.sched.Status()
	s.Epoch = p.epoch
	s.Workers = len(p.links)
	return s
}

// headroom returns the headroom that the pool advertises.
func (p *pool) headroom() spread.PoolCapacity {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.sched.Status()
	return spread.PoolCapacity{
		Pool:     p.id,
		Domain:   p.domain(),
		Free:     s.Capacity.Sub(s.Used),
		Capacity: s.Capacity,
		Largest:  p.sched.Largest(),
		Waiting:  s.Waiting,
	}
}

// domain returns the failure domain of the pool's workers; the caller holds p.mu.
func (p *pool) domain() string {
	for _, in := range p.members {
		return in.Domain
	}
	return ""
}

func nodeOf(in fold.Instance) place.Worker {
	return place.Worker{Name: in.Name, Domain: in.Domain, Rack: in.Rack}
}
