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
	// roundPeriod is the longest pause between two rounds of decisions or of reads from the table service.
	roundPeriod = time.Second
	// maxStarts bounds the starts of one decision round.
	maxStarts = 512
	// stopGrace is how long a cancelled task may take to end by itself.
	stopGrace = 2 * time.Second
	// sessionTime is how long a worker accepts starts after a heartbeat.
	sessionTime = 3 * time.Second
	// evidenceTime is the greatest age of a heartbeat that gives standing.
	evidenceTime = owner.HeardTime
)

// pool drives the scheduler of one pool that the entry owns. Decisions, the table service and each worker have loops of
// their own, so that a slow table service or worker does not hold up decisions.
type pool struct {
	entry *Entry
	id    string
	epoch int64
	began fold.Instant
	log   hclog.Logger

	mu         sync.Mutex
	sched      *sched.Pool
	links      map[string]*link
	allotments map[string]*allotment
	members    map[string]fold.Instance
	// recorded are the workers on which an earlier owner may have started tasks, with the last boot that was recorded. It
	// is nil once no task of an earlier owner is uncertain any more.
	recorded map[string]string
	// incoming are parts that entries told of and that are not read yet.
	incoming map[string]bool
	// lastStanding is when the entry was last seen to have standing.
	lastStanding fold.Instant

	// stale says that the limits of teams must be read again.
	stale atomic.Bool
	// flushDue says that changed jobs must be recorded.
	flushDue atomic.Bool

	// These belong to the loop of the table service.
	searched fold.Instant
	cleaned  fold.Instant
	moved    fold.Instant
	moves    []transfer

	decisions chan struct{}
	records   chan struct{}
	ctx       context.Context
	cancel    context.CancelFunc
	running   sync.WaitGroup
}

// newPool returns the pool with its durable jobs loaded; nothing starts before workers are adopted.
func newPool(ctx context.Context, e *Entry, id string, epoch int64) (*pool, error) {
	p := &pool{
		entry:        e,
		id:           id,
		epoch:        epoch,
		began:        e.clock.Now(),
		lastStanding: e.clock.Now(),
		log:          e.log.Named("pool").With("pool", id, "epoch", epoch),
		sched:        sched.New(id),
		links:        make(map[string]*link),
		allotments:   make(map[string]*allotment),
		members:      make(map[string]fold.Instance),
		incoming:     make(map[string]bool),
		decisions:    make(chan struct{}, 1),
		records:      make(chan struct{}, 1),
	}
	p.ctx, p.cancel = context.WithCancel(context.Background())
	parts, err := store.Parts(ctx, e.table, id)
	if err != nil {
		return nil, err
	}
	for _, part := range parts {
		p.sched.Restore(p.began, part.Value.Job, part.Value.Progress)
	}
	p.sched.SetRestoredPaused(len(parts) > 0)
	if err := p.loadSplits(ctx); err != nil {
		return nil, err
	}
	if err := p.loadMembers(ctx); err != nil {
		return nil, err
	}
	p.log.Info("Owning the pool.", "jobs", len(parts))
	return p, nil
}

func (p *pool) start() {
	p.loop(p.decisions, p.decide)
	p.loop(p.records, p.exchange)
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

// finish records the state of jobs before a planned hand-over.
func (p *pool) finish(ctx context.Context) {
	p.close()
	p.flush(ctx)
	if err := p.entry.recordBoots(ctx, p); err != nil {
		p.log.Warn("Cannot record the workers. The next owner may report work as unknown.", "error", err)
	}
}

// wakeDecisions asks for a round of decisions.
func (p *pool) wakeDecisions() {
	wake(p.decisions)
}

// decide starts and stops tasks while the entry has standing.
func (p *pool) decide(context.Context) {
	standing := p.entry.standing() != owner.ModeNone
	p.mu.Lock()
	defer p.mu.Unlock()
	p.updateHeld()
	if !standing {
		return
	}
	now := p.entry.clock.Now()
	p.shed(now)
	starts := p.measuredDecide(now)
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
		// Starting changes what a team needs of its limit.
		wake(p.records)
	}
}

// updateHeld lets work accepted under an earlier owner start once that owner can no longer run it anywhere; p.mu is
// held.
func (p *pool) updateHeld() {
	if p.recorded == nil {
		return
	}
	wait := p.entry.settings.Keep.Std() + 2*sched.TaskLease + 2*sessionTime + evidenceTime
	held := p.entry.clock.Now().Sub(p.began) < wait
	adopted := p.allAdopted()
	if held && !adopted {
		return
	}
	if !adopted {
		p.sched.MarkRestoredUnknown()
	}
	p.recorded = nil
	p.sched.SetRestoredPaused(false)
}

// allAdopted reports whether every worker on which an earlier owner may have started tasks is adopted; p.mu is held.
func (p *pool) allAdopted() bool {
	for name := range p.recorded {
		if l, ok := p.links[name]; !ok || !l.adopted {
			return false
		}
	}
	return len(p.recorded) > 0
}

// mayRenew reports whether the entry may renew task leases: while it has standing, and for the time keep after.
func (p *pool) mayRenew(standing bool) bool {
	now := p.entry.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if standing {
		p.lastStanding = now
	}
	return now.Sub(p.lastStanding) <= p.entry.settings.Keep.Std()
}

func (p *pool) status() fold.PoolStatus {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.sched.Status()
	s.Epoch = p.epoch
	s.Workers = len(p.links)
	return s
}

// room returns what the pool advertises.
func (p *pool) room() spread.Room {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.sched.Status()
	return spread.Room{
		Pool:     p.id,
		Domain:   p.domain(),
		Free:     s.Capacity.Sub(s.Used),
		Capacity: s.Capacity,
		Largest:  p.sched.Largest(),
		Waiting:  s.Waiting,
	}
}

// domain returns the failure domain of the pool's workers; p.mu is held.
func (p *pool) domain() string {
	for _, in := range p.members {
		return in.Domain
	}
	return ""
}

func nodeOf(in fold.Instance) place.Node {
	return place.Node{Name: in.Name, Domain: in.Domain, Rack: in.Rack}
}
