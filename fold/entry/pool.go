package entry

import (
	"cmp"
	"context"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/joomcode/errorx"
	"golang.org/x/sync/errgroup"

	"plantainfold.example/fold"
	"plantainfold.example/fold/owner"
	"plantainfold.example/fold/place"
	"plantainfold.example/fold/sched"
	"plantainfold.example/fold/store"
)

const (
	workerPeriod = time.Second
	// workerCalls bounds the calls to workers of one pool at the same time.
	workerCalls = 16
	// maxStarts bounds the starts of one decision round.
	maxStarts = 512
	// maxChanges bounds the records of one write.
	maxChanges = 64
	// stopGrace is how long a cancelled task may take to end by itself.
	stopGrace = 2 * time.Second
	// sessionTime is how long a worker accepts starts after a heartbeat.
	sessionTime = 3 * time.Second
	// evidenceTime is the greatest age of a heartbeat that gives standing.
	evidenceTime = owner.HeardTime
)

// pool drives the scheduler of one pool that the entry owns.
type pool struct {
	entry *Entry
	id    string
	epoch int64
	began fold.Instant
	log   hclog.Logger

	mu      sync.Mutex
	sched   *sched.Pool
	links   map[string]*workerLink
	splits  map[string]fold.Resources
	members map[string]fold.Instance

	wake    chan struct{}
	cancel  context.CancelFunc
	running sync.WaitGroup
}

// workerLink is the pool's connection to one worker.
type workerLink struct {
	instance fold.Instance
	worker   fold.Worker
	adopted  bool
	session  int64
	seen     int64
	acked    int64
	// answered is the instant before the last call that the worker answered.
	answered fold.Instant
}

// newPool returns the pool with its durable jobs loaded; nothing starts before workers are adopted.
func newPool(ctx context.Context, e *Entry, id string, epoch int64) (*pool, error) {
	p := &pool{
		entry:   e,
		id:      id,
		epoch:   epoch,
		began:   e.clock.Now(),
		log:     e.log.Named("pool").With("pool", id, "epoch", epoch),
		sched:   sched.New(id),
		links:   make(map[string]*workerLink),
		splits:  make(map[string]fold.Resources),
		members: make(map[string]fold.Instance),
		wake:    make(chan struct{}, 1),
	}
	parts, err := store.Scan[store.JobPart](ctx, e.table, store.JobPrefix+id+"/")
	if err != nil {
		return nil, err
	}
	for _, part := range parts {
		p.sched.Restore(p.began, part.Value.Job, part.Value.Progress)
	}
	p.sched.SetHeld(len(parts) > 0)
	if err := p.loadSplits(ctx); err != nil {
		return nil, err
	}
	p.log.Info("Owning the pool.", "jobs", len(parts))
	return p, nil
}

func (p *pool) start() {
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	p.running.Add(1)
	go func() {
		defer p.running.Done()
		p.run(ctx)
	}()
}

// close stops the pool's loop and waits for it.
func (p *pool) close() {
	p.cancel()
	p.running.Wait()
}

// finish flushes records before a planned hand-over.
func (p *pool) finish(ctx context.Context) {
	p.close()
	p.flush(ctx)
}

func (p *pool) run(ctx context.Context) {
	for ctx.Err() == nil {
		p.beatWorkers(ctx)
		p.updateHeld()
		p.adjustSplits(ctx)
		p.decide(ctx)
		p.flush(ctx)
		p.await(ctx)
	}
}

// await decides whenever it is woken, until the next round of heartbeats is due.
func (p *pool) await(ctx context.Context) {
	due := p.entry.clock.After(workerPeriod)
	for {
		select {
		case <-p.wake:
			p.adjustSplits(ctx)
			p.decide(ctx)
		case <-due:
			return
		case <-ctx.Done():
			return
		}
	}
}

func (p *pool) poke() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// setMembers records which workers belong to the pool by the instance list.
func (p *pool) setMembers(members map[string]fold.Instance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.members = members
	for name, in := range members {
		if _, ok := p.links[name]; !ok {
			p.links[name] = &workerLink{instance: in, worker: p.entry.platform.Workers.Worker(in.Address), answered: p.entry.clock.Now()}
		}
		p.sched.SetLeaving(name, in.State == fold.Leaving)
	}
}

// beatWorkers adopts or renews every worker.
func (p *pool) beatWorkers(ctx context.Context) {
	p.mu.Lock()
	links := make([]*workerLink, 0, len(p.links))
	for _, l := range p.links {
		links = append(links, l)
	}
	p.mu.Unlock()
	starts := p.entry.standing() != owner.ModeNone
	var calls errgroup.Group
	calls.SetLimit(workerCalls)
	for _, l := range links {
		calls.Go(func() error {
			p.beatWorker(ctx, l, starts)
			return nil
		})
	}
	_ = calls.Wait()
}

func (p *pool) beatWorker(ctx context.Context, l *workerLink, starts bool) {
	if !l.adopted {
		if starts {
			p.adopt(ctx, l)
		}
		p.dropLapsed(l)
		return
	}
	sent := p.entry.clock.Now()
	reply, err := l.worker.Beat(ctx, fold.BeatRequest{Owner: p.entry.settings.Name, Epoch: p.epoch, Starts: starts, Acked: l.acked})
	if errorx.IsOfType(err, fold.Fenced) {
		l.adopted = false
		p.adopt(ctx, l)
		return
	}
	if err != nil {
		p.log.Warn("A worker does not answer.", "worker", l.instance.Name, "error", err)
		p.dropLapsed(l)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	l.answered = sent
	if reply.Session != l.session {
		// Starts under way in the old session are refused by the worker; adopting again settles them.
		l.adopted = false
		return
	}
	p.observe(l, reply.Events)
}

func (p *pool) adopt(ctx context.Context, l *workerLink) {
	sent := p.entry.clock.Now()
	adoption, err := l.worker.Adopt(ctx, p.entry.settings.Name, p.epoch)
	if err != nil {
		p.log.Warn("Cannot adopt a worker.", "worker", l.instance.Name, "error", err)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	l.adopted = true
	l.session = adoption.Session
	l.answered = sent
	p.sched.Adopt(sent, nodeOf(l.instance), adoption)
	p.sched.SetLeaving(l.instance.Name, l.instance.State == fold.Leaving)
	l.seen = max(l.seen, lastSequence(adoption.Events))
	p.poke()
}

func (p *pool) observe(l *workerLink, events []fold.TaskEvent) {
	if len(events) == 0 {
		return
	}
	p.sched.Observe(p.entry.clock.Now(), l.instance.Name, events)
	l.seen = max(l.seen, lastSequence(events))
	p.poke()
}

// dropLapsed gives up a worker once the leases of its tasks have lapsed without a renewal.
func (p *pool) dropLapsed(l *workerLink) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.entry.clock.Now().Sub(l.answered) <= sched.TaskLease+sessionTime {
		return
	}
	l.adopted = false
	l.seen, l.acked = 0, 0
	p.sched.RemoveWorker(l.instance.Name)
	if _, member := p.members[l.instance.Name]; !member {
		delete(p.links, l.instance.Name)
	}
	p.poke()
}

// updateHeld lets work accepted under an earlier owner start once that owner can no longer run it anywhere.
func (p *pool) updateHeld() {
	p.mu.Lock()
	defer p.mu.Unlock()
	wait := p.entry.settings.Keep.Std() + sched.TaskLease + 2*sessionTime + evidenceTime
	held := p.entry.clock.Now().Sub(p.began) < wait
	if held && len(p.links) > 0 {
		held = false
		for _, l := range p.links {
			held = held || !l.adopted
		}
	}
	p.sched.SetHeld(held)
}

// decide starts and stops tasks while the entry has standing.
func (p *pool) decide(ctx context.Context) {
	if p.entry.standing() == owner.ModeNone {
		return
	}
	p.mu.Lock()
	starts := p.sched.Decide(p.entry.clock.Now(), maxStarts)
	stops := p.sched.Stops()
	sends := p.group(starts)
	ends := p.groupStops(stops)
	p.mu.Unlock()
	var calls errgroup.Group
	calls.SetLimit(workerCalls)
	for l, tasks := range sends {
		calls.Go(func() error {
			p.send(ctx, l, tasks)
			return nil
		})
	}
	for l, tasks := range ends {
		calls.Go(func() error {
			if err := l.worker.Stop(ctx, p.epoch, tasks); err != nil {
				p.log.Warn("Cannot stop tasks.", "worker", l.instance.Name, "error", err)
			}
			return nil
		})
	}
	_ = calls.Wait()
}

func (p *pool) group(starts []sched.Start) map[*workerLink][]fold.WorkerTask {
	sends := make(map[*workerLink][]fold.WorkerTask)
	for _, s := range starts {
		l := p.links[s.Worker]
		sends[l] = append(sends[l], s.Task)
	}
	return sends
}

func (p *pool) groupStops(stops []sched.Stop) map[*workerLink][]fold.StopRequest {
	ends := make(map[*workerLink][]fold.StopRequest)
	for _, s := range stops {
		l, ok := p.links[s.Worker]
		if !ok {
			continue
		}
		grace := cmp.Or(s.Grace, stopGrace)
		ends[l] = append(ends[l], fold.StopRequest{Task: s.Task, Checkpoint: s.Checkpoint, Grace: grace.Milliseconds()})
	}
	return ends
}

// send starts tasks on a worker. When the outcome is not known, the worker is adopted again, which settles it.
func (p *pool) send(ctx context.Context, l *workerLink, tasks []fold.WorkerTask) {
	results, err := l.worker.Start(ctx, p.epoch, l.session, tasks)
	if err != nil {
		p.log.Warn("A start has no certain outcome. Adopting the worker again.", "worker", l.instance.Name, "error", err)
		p.mu.Lock()
		l.adopted = false
		p.mu.Unlock()
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sched.Confirm(l.instance.Name, results)
}

// flush records changed jobs, then lets workers forget the events behind them.
func (p *pool) flush(ctx context.Context) {
	p.mu.Lock()
	changes := p.sched.Changes(maxChanges)
	seen := make(map[*workerLink]int64, len(p.links))
	for _, l := range p.links {
		seen[l] = l.seen
	}
	p.mu.Unlock()
	if len(changes) == 0 {
		p.acknowledge(seen)
		return
	}
	err := store.Record(ctx, p.entry.table, p.id, p.epoch, changes)
	p.mu.Lock()
	for _, c := range changes {
		if err != nil {
			p.sched.Touch(c.Status.Job.ID)
			continue
		}
		p.sched.Forget(c.Status.Job.ID)
	}
	p.mu.Unlock()
	if err != nil {
		p.log.Warn("Cannot record the state of jobs.", "error", err)
		return
	}
	if len(changes) < maxChanges {
		p.acknowledge(seen)
	}
}

func (p *pool) acknowledge(seen map[*workerLink]int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for l, sequence := range seen {
		l.acked = max(l.acked, sequence)
	}
}

func (p *pool) status() fold.PoolStatus {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.sched.Status()
	s.Epoch = p.epoch
	s.Workers = len(p.links)
	return s
}

func nodeOf(in fold.Instance) place.Node {
	return place.Node{Name: in.Name, Domain: in.Domain, Rack: in.Rack}
}

func lastSequence(events []fold.TaskEvent) int64 {
	var last int64
	for _, e := range events {
		last = max(last, e.Sequence)
	}
	return last
}
