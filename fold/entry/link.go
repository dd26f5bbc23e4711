package entry

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/joomcode/errorx"

	"plantainfold.example/fold"
	"plantainfold.example/fold/owner"
	"plantainfold.example/fold/sched"
)

const (
	// workerPeriod is the time between two heartbeats to a worker.
	workerPeriod = time.Second
	// earlyPeriod is the least time before a heartbeat that is sent early because a task should have ended.
	earlyPeriod = 200 * time.Millisecond
	// delayTime is the longest time for which the network may hold back a call that has ended here by a timeout.
	delayTime = 3 * time.Second
)

// link is the pool's connection to one worker. Its loop makes all calls to the worker, one at a time. The fields below
// are guarded by the mutex of the pool.
type link struct {
	pool     *pool
	instance fold.Instance
	worker   fold.Worker
	wake     chan struct{}
	done     chan struct{}
	removed  bool

	adopted bool
	// boot is what the worker told when it was adopted last in this epoch.
	boot    string
	session int64
	// seen is the highest event that the scheduler has taken, acked the highest whose effect is recorded.
	seen  int64
	acked int64
	// renewed is the instant after the last call that may have renewed leases, answered or not.
	renewed fold.Instant
	called  fold.Instant
	starts  []fold.WorkerTask
	stops   []fold.StopRequest
	// ends are the instants at which tasks should have ended, in order.
	ends []fold.Instant
}

// newLink returns a link whose loop runs until the pool is closed or the link is removed.
func newLink(p *pool, in fold.Instance) *link {
	l := &link{
		pool:     p,
		instance: in,
		worker:   p.entry.platform.Workers.Worker(in.Address),
		wake:     make(chan struct{}, 1),
		done:     make(chan struct{}),
		renewed:  p.entry.clock.Now(),
	}
	p.running.Add(1)
	go func() {
		defer p.running.Done()
		l.run(p.ctx)
	}()
	return l
}

// addStart queues a start; p.mu is held.
func (l *link) addStart(now fold.Instant, t fold.WorkerTask) {
	l.starts = append(l.starts, t)
	if t.Duration > 0 {
		end := now.Add(time.Duration(t.Duration) * time.Millisecond)
		at, _ := slices.BinarySearch(l.ends, end)
		l.ends = slices.Insert(l.ends, at, end)
	}
	wake(l.wake)
}

// addStop queues a stop; p.mu is held.
func (l *link) addStop(s sched.Stop) {
	l.stops = append(l.stops, fold.StopRequest{Task: s.Task, Checkpoint: s.Checkpoint, Grace: cmp.Or(s.Grace, stopGrace).Milliseconds()})
	wake(l.wake)
}

func (l *link) run(ctx context.Context) {
	for ctx.Err() == nil {
		l.step(ctx)
		select {
		case <-l.wake:
		case <-l.pool.entry.clock.After(l.pause()):
		case <-l.done:
			return
		case <-ctx.Done():
		}
	}
}

// pause returns the time until the next heartbeat is due.
func (l *link) pause() time.Duration {
	l.pool.mu.Lock()
	defer l.pool.mu.Unlock()
	now := l.pool.entry.clock.Now()
	due := l.called.Add(workerPeriod)
	if len(l.ends) > 0 {
		due = min(due, max(l.ends[0], l.called.Add(earlyPeriod)))
	}
	return max(due.Sub(now), 0)
}

// step makes the calls that are due: adopt or heartbeat, then starts and stops.
func (l *link) step(ctx context.Context) {
	standing := l.pool.entry.standing() != owner.ModeNone
	if !l.pool.mayRenew(standing) {
		l.dropLapsed()
		return
	}
	if !l.isAdopted() {
		l.dropLapsed()
		if standing {
			l.adopt(ctx)
		}
		return
	}
	if l.pause() == 0 {
		l.beat(ctx, standing)
	}
	if standing {
		l.sendStops(ctx)
		l.sendStarts(ctx)
	}
}

func (l *link) isAdopted() bool {
	l.pool.mu.Lock()
	defer l.pool.mu.Unlock()
	return l.adopted
}

func (l *link) beat(ctx context.Context, standing bool) {
	p := l.pool
	p.mu.Lock()
	l.called = p.entry.clock.Now()
	l.dropEnds(l.called)
	request := fold.BeatRequest{Owner: p.entry.settings.Name, Epoch: p.epoch, MayStart: standing, Acked: l.acked}
	p.mu.Unlock()
	reply, err := l.worker.Beat(ctx, request)
	l.noteRenewal()
	if err != nil {
		l.failed("A worker does not answer a heartbeat.", err)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sched.SetLeaving(l.instance.Name, l.instance.State == fold.Leaving)
	if reply.Session != l.session {
		// Starts under way in the old session are refused by the worker; adopting again settles them.
		l.adopted = false
		wake(l.wake)
		return
	}
	l.observe(reply.Events)
}

// observe passes events on to the scheduler; p.mu is held.
func (l *link) observe(events []fold.TaskEvent) {
	if len(events) == 0 {
		return
	}
	p := l.pool
	p.sched.Observe(p.entry.clock.Now(), l.instance.Name, events)
	for _, e := range events {
		l.seen = max(l.seen, e.Sequence)
	}
	p.wakeDecisions()
	wake(p.records)
}

// adopt makes this epoch the worker's owner and learns what runs there, which settles starts of unknown outcome. It
// renews no leases: were its answer lost, tasks unknown to this entry would live on.
func (l *link) adopt(ctx context.Context) {
	p := l.pool
	p.mu.Lock()
	l.called = p.entry.clock.Now()
	p.mu.Unlock()
	adoption, err := l.worker.Adopt(ctx, p.entry.settings.Name, p.epoch)
	if err != nil {
		p.log.Warn("Cannot adopt a worker.", "worker", l.instance.Name, "error", err)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	l.adopted = true
	l.renewed = p.entry.clock.Now()
	l.session = adoption.Session
	// A worker that was restarted counts its events from the start again.
	l.seen, l.acked = 0, 0
	// The scheduler takes starts that are still queued as not run.
	l.starts = nil
	p.markUncertain(l, adoption)
	p.sched.Adopt(p.entry.clock.Now(), nodeOf(l.instance), adoption)
	p.sched.SetLeaving(l.instance.Name, l.instance.State == fold.Leaving)
	l.observe(adoption.Events)
	p.wakeDecisions()
}

// markUncertain tells the scheduler which tasks may have run without a trace; p.mu is held.
func (p *pool) markUncertain(l *link, a fold.Adoption) {
	if a.Boot == "" || a.Boot != l.boot {
		p.sched.AssumeStarted(l.instance.Name)
	}
	if recorded, known := p.recorded[l.instance.Name]; l.boot == "" && known && (a.Boot == "" || a.Boot != recorded) {
		p.sched.MarkRestoredUnknown()
	}
	l.boot = a.Boot
}

// sendStarts starts the queued tasks. When the outcome is not known, the worker is adopted again, which settles it.
func (l *link) sendStarts(ctx context.Context) {
	p := l.pool
	p.mu.Lock()
	tasks := l.starts
	l.starts = nil
	session := l.session
	p.mu.Unlock()
	if len(tasks) == 0 {
		return
	}
	results, err := l.worker.Start(ctx, p.epoch, session, tasks)
	l.noteRenewal()
	if err != nil {
		l.failed("A start has no certain outcome.", err)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sched.Confirm(l.instance.Name, results)
}

func (l *link) sendStops(ctx context.Context) {
	p := l.pool
	p.mu.Lock()
	stops := l.stops
	l.stops = nil
	p.mu.Unlock()
	if len(stops) == 0 {
		return
	}
	if err := l.worker.Stop(ctx, p.epoch, stops); err != nil {
		l.failed("Cannot stop tasks.", err)
		p.mu.Lock()
		defer p.mu.Unlock()
		l.stops = append(stops, l.stops...)
	}
}

// noteRenewal records that a call which renews leases has ended.
func (l *link) noteRenewal() {
	l.pool.mu.Lock()
	defer l.pool.mu.Unlock()
	l.renewed = l.pool.entry.clock.Now()
}

// failed stops new starts on a worker until it is adopted again.
func (l *link) failed(message string, err error) {
	p := l.pool
	p.log.Warn(message, "worker", l.instance.Name, "error", err)
	p.mu.Lock()
	l.adopted = false
	p.sched.SetLeaving(l.instance.Name, true)
	p.mu.Unlock()
	l.dropLapsed()
	if errorx.IsOfType(err, fold.Fenced) {
		wake(l.wake)
	}
}

// dropLapsed gives up the tasks of a worker once their leases must have lapsed: a lease after the last call that may
// have renewed them, and the time for which the network may hold back a call.
func (l *link) dropLapsed() {
	p := l.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	l.called = p.entry.clock.Now()
	if l.called.Sub(l.renewed) <= sched.TaskLease+delayTime {
		return
	}
	l.adopted = false
	l.seen, l.acked = 0, 0
	l.starts, l.stops, l.ends = nil, nil, nil
	p.sched.RemoveWorker(l.instance.Name)
	if _, member := p.members[l.instance.Name]; !member && !l.removed {
		l.removed = true
		close(l.done)
		delete(p.links, l.instance.Name)
	}
	p.wakeDecisions()
}

// dropEnds forgets ends that the heartbeat sent at now will report; p.mu is held.
func (l *link) dropEnds(now fold.Instant) {
	at, _ := slices.BinarySearch(l.ends, now+1)
	l.ends = slices.Delete(l.ends, 0, at)
}
