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
	// heartbeatInterval is the time between two heartbeats to a worker.
	heartbeatInterval = time.Second
	// minHeartbeatGap is the shortest time between two heartbeats. A heartbeat is sent early when a task should have ended.
	minHeartbeatGap = 200 * time.Millisecond
	// maxNetworkDelay is how long after a call timed out here the network may still deliver it.
	maxNetworkDelay = 3 * time.Second
)

// link is the pool's connection to one worker. Its loop makes all calls to the worker, one at a time. The mutex of the
// pool guards the fields.
type link struct {
	pool     *pool
	instance fold.Instance
	worker   fold.Worker
	// wake makes the loop check for due calls at once.
	wake chan struct{}
	// done is closed when the link is removed.
	done chan struct{}
	// removed is set once done is closed.
	removed bool

	// adopted is set when the worker accepts this entry as its owner in this epoch. A failed call, a changed session or the
	// expiry of its leases clears it.
	adopted bool
	// boot is the boot id that the worker reported at its last adoption in this epoch.
	boot string
	// session is the worker's session number from its last adoption.
	session int64
	// lastProcessed is the number of the last event that the scheduler has processed.
	lastProcessed int64
	// lastAcked is the number of the last event whose effect is recorded in the table service.
	lastAcked int64
	// lastRenewal is when the last call that may have renewed leases ended, whether or not it was answered. Creating the
	// link and adopting the worker count as such calls.
	lastRenewal fold.Instant
	// lastCall is when the last heartbeat or adoption call began, or when removeIfExpired last ran. The time to the next
	// heartbeat counts from it.
	lastCall fold.Instant
	// starts are the starts that are queued for the worker.
	starts []fold.WorkerTask
	// stops are the stops that are queued for the worker.
	stops []fold.StopRequest
	// expectedEnds are the times at which tasks should have ended, in order.
	expectedEnds []fold.Instant
}

// newLink returns a link whose loop runs until the pool is closed or the link is removed.
func newLink(p *pool, in fold.Instance) *link {
	l := &link{
		pool:        p,
		instance:    in,
		worker:      p.entry.platform.Workers.Worker(in.Address),
		wake:        make(chan struct{}, 1),
		done:        make(chan struct{}),
		lastRenewal: p.entry.clock.Now(),
	}
	p.running.Add(1)
	go func() {
		defer p.running.Done()
		l.run(p.ctx)
	}()
	return l
}

// addStart queues a start; the caller holds l.pool.mu.
func (l *link) addStart(now fold.Instant, t fold.WorkerTask) {
	l.starts = append(l.starts, t)
	if t.Duration > 0 {
		end := now.Add(time.Duration(t.Duration) * time.Millisecond)
		at, _ := slices.BinarySearch(l.expectedEnds, end)
		l.expectedEnds = slices.Insert(l.expectedEnds, at, end)
	}
	wake(l.wake)
}

// withdrawStarts removes the queued starts, whose tasks wait again; the caller holds l.pool.mu.
func (l *link) withdrawStarts() {
	results := make([]fold.StartResult, len(l.starts))
	for i, t := range l.starts {
		results[i] = fold.StartResult{Task: t.Task}
	}
	l.starts = nil
	l.pool.sched.Confirm(l.instance.Name, results)
}

// addStop queues a stop; the caller holds l.pool.mu.
func (l *link) addStop(s sched.Stop) {
	l.stops = append(l.stops, fold.StopRequest{Task: s.Task, Checkpoint: s.Checkpoint, Grace: cmp.Or(s.Grace, stopGrace).Milliseconds()})
	wake(l.wake)
}

// run makes the due calls whenever it is woken or a heartbeat is due, until the link is removed or ctx ends.
func (l *link) run(ctx context.Context) {
	for ctx.Err() == nil {
		l.makeDueCalls(ctx)
		select {
		case <-l.wake:
		case <-l.pool.entry.clock.After(l.untilHeartbeat()):
		case <-l.done:
			return
		case <-ctx.Done():
		}
	}
}

// untilHeartbeat returns the time until the next heartbeat is due.
func (l *link) untilHeartbeat() time.Duration {
	l.pool.mu.Lock()
	defer l.pool.mu.Unlock()
	now := l.pool.entry.clock.Now()
	due := l.lastCall.Add(heartbeatInterval)
	if len(l.expectedEnds) > 0 {
		due = min(due, max(l.expectedEnds[0], l.lastCall.Add(minHeartbeatGap)))
	}
	return max(due.Sub(now), 0)
}

// makeDueCalls adopts the worker if it is not adopted, and otherwise sends the heartbeat, stops and starts that are due.
func (l *link) makeDueCalls(ctx context.Context) {
	standing := l.pool.entry.standing() != owner.ModeNone
	if !l.pool.canRenew(standing) {
		l.removeIfExpired()
		return
	}
	if !l.isAdopted() {
		l.removeIfExpired()
		if standing {
			l.adopt(ctx)
		}
		return
	}
	if l.untilHeartbeat() == 0 {
		l.heartbeat(ctx, standing)
	}
	if standing {
		l.sendStops(ctx)
		l.sendStarts(ctx)
	}
}

// isAdopted reports whether the worker is adopted.
func (l *link) isAdopted() bool {
	l.pool.mu.Lock()
	defer l.pool.mu.Unlock()
	return l.adopted
}

// heartbeat sends a heartbeat, which renews the leases of the worker's tasks, and processes the events in the reply.
func (l *link) heartbeat(ctx context.Context, standing bool) {
	p := l.pool
	p.mu.Lock()
	l.lastCall = p.entry.clock.Now()
	l.dropExpectedEnds(l.lastCall)
	request := fold.BeatRequest{Owner: p.entry.settings.Name, Epoch: p.epoch, MayStart: standing, Acked: l.lastAcked}
	p.mu.Unlock()
	reply, err := l.worker.Beat(ctx, request)
	l.recordRenewal()
	if err != nil {
		// The worker may also have answered with a refusal.
		l.markFailed("A worker did not answer a heartbeat.", err)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sched.SetLeaving(l.instance.Name, l.instance.State == fold.Leaving)
	if reply.Session != l.session {
		// The worker refuses starts that are under way in the old session. Adopting the worker again shows which tasks run.
		l.adopted = false
		wake(l.wake)
		return
	}
	l.passEvents(reply.Events)
}

// passEvents passes events to the scheduler and wakes the decision and exchange loops; the caller holds l.pool.mu.
func (l *link) passEvents(events []fold.TaskEvent) {
	if len(events) == 0 {
		return
	}
	p := l.pool
	p.sched.Observe(p.entry.clock.Now(), l.instance.Name, events)
	for _, e := range events {
		l.lastProcessed = max(l.lastProcessed, e.Sequence)
	}
	p.wakeDecisions()
	wake(p.exchangeWake)
}

// adopt makes this entry the worker's owner in the epoch of the pool. The answer lists the tasks that run there, which
// shows the outcome of unanswered starts. The call does not renew leases. Otherwise, if its answer were lost, tasks
// that this entry does not know of would keep running.
func (l *link) adopt(ctx context.Context) {
	p := l.pool
	p.mu.Lock()
	l.lastCall = p.entry.clock.Now()
	p.mu.Unlock()
	adoption, err := l.worker.Adopt(ctx, p.entry.settings.Name, p.epoch)
	if err != nil {
		p.log.Warn("Cannot adopt a worker.", "worker", l.instance.Name, "error", err)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	l.adopted = true
	l.lastRenewal = p.entry.clock.Now()
	l.session = adoption.Session
	// The numbers are reset at each adoption, because a restarted worker numbers its events from the beginning again.
	l.lastProcessed, l.lastAcked = 0, 0
	// The queued starts are dropped: their tasks wait again, unless markUncertain makes the scheduler assume that they were
	// started.
	l.starts = nil
	p.markUncertain(l, adoption)
	p.sched.Adopt(p.entry.clock.Now(), nodeOf(l.instance), adoption)
	p.sched.SetLeaving(l.instance.Name, l.instance.State == fold.Leaving)
	l.passEvents(adoption.Events)
	p.wakeDecisions()
}

// markUncertain tells the scheduler which tasks may have run on a worker that may have restarted since its last adoption; the
// caller holds p.mu.
func (p *pool) markUncertain(l *link, a fold.Adoption) {
	if a.Boot == "" || a.Boot != l.boot {
		// Unconfirmed starts of this epoch may have run.
		p.sched.AssumeStarted(l.instance.Name)
	}
	if recorded, known := p.recordedBoots[l.instance.Name]; l.boot == "" && known && (a.Boot == "" || a.Boot != recorded) {
		// Starts of an earlier owner may have run.
		p.sched.MarkRestoredUnknown()
	}
	l.boot = a.Boot
}

// sendStarts starts the queued tasks. If the outcome is unknown, the worker is adopted again, which shows the outcome.
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
	l.recordRenewal()
	if err != nil {
		l.markFailed("The outcome of starting tasks on a worker is unknown.", err)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sched.Confirm(l.instance.Name, results)
}

// sendStops sends the queued stops to the worker and queues them again if the call fails.
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
		l.markFailed("Cannot stop tasks on a worker.", err)
		p.mu.Lock()
		defer p.mu.Unlock()
		l.stops = append(stops, l.stops...)
	}
}

// recordRenewal records the time at which a call that may have renewed leases ended.
func (l *link) recordRenewal() {
	l.pool.mu.Lock()
	defer l.pool.mu.Unlock()
	l.lastRenewal = l.pool.entry.clock.Now()
}

// markFailed handles a failed call: the worker gets no new tasks until it is adopted again.
func (l *link) markFailed(message string, err error) {
	p := l.pool
	p.log.Warn(message, "worker", l.instance.Name, "error", err)
	p.mu.Lock()
	l.adopted = false
	p.sched.SetLeaving(l.instance.Name, true)
	p.mu.Unlock()
	l.removeIfExpired()
	if errorx.IsOfType(err, fold.Fenced) {
		wake(l.wake)
	}
}

// removeIfExpired removes the worker from the scheduler if the leases of its tasks must have expired: TaskLease and
// maxNetworkDelay after the last call that may have renewed them. It also removes the link if the worker is no longer a
// member of the pool. It always sets lastCall, which delays the next heartbeat.
func (l *link) removeIfExpired() {
	p := l.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	l.lastCall = p.entry.clock.Now()
	if l.lastCall.Sub(l.lastRenewal) <= sched.TaskLease+maxNetworkDelay {
		return
	}
	l.adopted = false
	l.lastProcessed, l.lastAcked = 0, 0
	l.starts, l.stops, l.expectedEnds = nil, nil, nil
	p.sched.RemoveWorker(l.instance.Name)
	if _, member := p.members[l.instance.Name]; !member && !l.removed {
		l.removed = true
		close(l.done)
		delete(p.links, l.instance.Name)
	}
	p.wakeDecisions()
}

// dropExpectedEnds deletes the expected ends up to now, because a heartbeat is being sent for them; the caller holds
// l.pool.mu.
func (l *link) dropExpectedEnds(now fold.Instant) {
	at, _ := slices.BinarySearch(l.expectedEnds, now+1)
	l.expectedEnds = slices.Delete(l.expectedEnds, 0, at)
}
