package model

import (
	"context"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"plantainfold.example/fold"
	"plantainfold.example/fold/flow"
)

// Live simulates the hosts of a day in real time for entries that run as separate processes, or for drivers in a test, and
// checks their orders by the same rules as Play.
type Live struct {
	started time.Time
	stop    chan struct{}
	done    chan struct{}
	// record reads the durable record of a job.
	record func(id string) flow.Record

	// calls holds functions that the loop calls. Under load, this delays hosts less than a lock that many goroutines wait for.
	calls chan func()

	// longestWait is the longest time for which a call of update waited since it was last read.
	longestWait atomic.Int64

	mu sync.Mutex
	w  *World
	// refused holds the jobs for which every submission was refused.
	refused map[string]bool
	judge   idleJudge
}

var (
	_ fold.Runner  = &Live{}
	_ fold.Adviser = &Live{}
)

// NewLive starts the hosts of a day. The function record reads the durable record of a job.
func NewLive(d Day, log hclog.Logger, record func(id string) flow.Record) *Live {
	w := newWorld(d)
	w.realTime, w.log = true, log
	w.build()
	l := &Live{started: time.Now(), stop: make(chan struct{}), done: make(chan struct{}), record: record, w: w, calls: make(chan func()), refused: make(map[string]bool)}
	l.judge = idleJudge{world: w, began: l.started, started: make(map[*taskTruth]bool)}
	go l.run()
	return l
}

// run is the loop that runs events when they are due, and the functions that update passes to it.
func (l *Live) run() {
	defer close(l.done)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		l.mu.Lock()
		l.advance()
		wait := time.Second
		if len(l.w.events) > 0 {
			wait = min(wait, l.w.events[0].at.Sub(l.w.now))
		}
		l.mu.Unlock()
		timer.Reset(wait)
		select {
		case <-l.stop:
			return
		case call := <-l.calls:
			call()
		case <-timer.C:
		}
	}
}

// advance runs all events up to the present. The caller holds the lock.
func (l *Live) advance() {
	l.w.runUntil(time.Since(l.started))
}

// update advances the world to the present and calls fn on it.
func (l *Live) update(fn func(w *World)) {
	called, began := make(chan struct{}), time.Now()
	call := func() {
		defer close(called)
		l.recordWait(time.Since(began))
		l.mu.Lock()
		defer l.mu.Unlock()
		l.advance()
		fn(l.w)
	}
	select {
	case l.calls <- call:
		<-called
	case <-l.done:
		call()
	}
}

func (l *Live) recordWait(wait time.Duration) {
	for {
		longest := l.longestWait.Load()
		if int64(wait) <= longest || l.longestWait.CompareAndSwap(longest, int64(wait)) {
			return
		}
	}
}

// LongestWait returns the longest time for which a call to the simulation had to wait since the last call of LongestWait. The
// simulated hosts answer late by this time, which is no fault of those who call them.
func (l *Live) LongestWait() time.Duration {
	return time.Duration(l.longestWait.Swap(0))
}

// Close stops the hosts.
func (l *Live) Close() error {
	close(l.stop)
	<-l.done
	return nil
}

// Hosts returns the hosts that are up, and the ids of those that are down.
func (l *Live) Hosts() (up []fold.Host, down []string) {
	l.update(func(w *World) {
		for _, h := range w.hosts {
			if h.up {
				up = append(up, h.info)
			} else {
				down = append(down, h.info.ID)
			}
		}
	})
	return up, down
}

// SetAddress sets the address of a host.
func (l *Live) SetAddress(id, address string) {
	l.update(func(w *World) { w.find(id).info.Address = address })
}

// order executes an order unless the host is down or disconnected. While OrdersLate is active, some orders are executed
// late and get no answer.
func (l *Live) order(ctx context.Context, h fold.Host, do func(h *host) error) error {
	var err error
	answered := false
	l.update(func(w *World) {
		host := w.find(h.ID)
		switch {
		case host.cut || !host.up:
		case host.info.Incarnation != h.Incarnation:
			err, answered = fold.HostRestarted.New("another incarnation answers"), true
		case w.chance(w.lateShare):
			// The sender has stopped waiting for the answer.
			w.executeLate(host, func() { _ = do(host) })
		default:
			err, answered = do(host), true
		}
	})
	if !answered {
		<-ctx.Done()
		return fold.Unknown.Wrap(ctx.Err(), "the host does not answer")
	}
	return err
}

// executeLate executes a call to a host 2 to 12 s late, unless the host has started again meanwhile: its next incarnation knows
// nothing of the call.
func (w *World) executeLate(h *host, call func()) {
	delay := 2*time.Second + time.Duration(w.random.Int64N(int64(10*time.Second)))
	incarnation := h.incarnation
	w.after(delay, func() {
		if h.incarnation == incarnation {
			w.lateOrder = true
			call()
			w.lateOrder = false
		}
	})
}

// Start starts a run.
func (l *Live) Start(ctx context.Context, h fold.Host, r fold.StartRequest) error {
	return l.order(ctx, h, func(h *host) error {
		if name, ok := flow.ParseTaskName(r.Task); ok && l.refused[name.Job] {
			h.world.addViolation("REFUSED", "%s starts although every submission of its job was refused", r.Task)
		}
		err := h.checkTicket(r)
		if err == nil {
			err = h.start(r)
		}
		if err == nil {
			l.judge.started[h.world.tasks[r.Task]] = true
		}
		return err
	})
}

// Stop stops a run.
func (l *Live) Stop(ctx context.Context, h fold.Host, task string, run int, fence int64) error {
	return l.order(ctx, h, func(h *host) error { return h.stop(task, run, fence) })
}

// Pace accepts an order to slow a run down; the simulated hosts ignore it.
func (l *Live) Pace(ctx context.Context, h fold.Host, _ string, _, _ int, _ int64) error {
	return l.order(ctx, h, func(*host) error { return nil })
}

// Incarnation returns the current incarnation of a host.
func (l *Live) Incarnation(id string) int64 {
	var incarnation int64
	l.update(func(w *World) { incarnation = w.find(id).info.Incarnation })
	return incarnation
}

// Disconnect does nothing: the model has no connections.
func (l *Live) Disconnect() {}

// Hold renews the leases of a host and returns its runs and ends.
func (l *Live) Hold(ctx context.Context, h fold.Host, r fold.HoldRequest) (fold.HoldReply, error) {
	type answer struct {
		reply fold.HoldReply
		err   error
	}
	answers := make(chan answer, 1)
	l.update(func(w *World) {
		host := w.find(h.ID)
		if host.cut || !host.up {
			return
		}
		r = host.effective(r, h.Incarnation)
		if w.chance(w.lateShare) {
			w.executeLate(host, func() {
				l.refreshRecords(host, r.Acked)
				host.hold(r, func(fold.HoldReply, error) {})
			})
			return
		}
		l.refreshRecords(host, r.Acked)
		host.hold(r, func(reply fold.HoldReply, err error) {
			if !host.cut {
				answers <- answer{reply, err}
			}
		})
	})
	select {
	case <-ctx.Done():
		return fold.HoldReply{}, fold.Unknown.Wrap(ctx.Err(), "the host does not answer")
	case a := <-answers:
		return a.reply, a.err
	}
}

// refreshRecords reads the durable records of the jobs whose ends are about to be acknowledged.
func (l *Live) refreshRecords(h *host, acked int64) {
	for _, e := range h.ends {
		if name, ok := flow.ParseTaskName(e.Task); ok && e.Number <= acked {
			l.w.store.records[name.Job] = l.record(name.Job)
		}
	}
}

// Advise returns the hosts that the adviser approves, after the adviser's response time.
func (l *Live) Advise(ctx context.Context, step string, hosts []string) (fold.Advice, error) {
	policy, share, err := l.advicePolicy(step)
	if err != nil {
		return fold.Advice{}, err
	}
	end := time.Now().Add(policy.CallTime + time.Duration(len(hosts))*policy.TimePerHost)
	return l.adviseAt(ctx, end, step, hosts, policy, share)
}

// DrawJob makes a random job of a class.
func (l *Live) DrawJob(class int) flow.Job {
	var spec flow.Job
	l.update(func(w *World) {
		job := w.drawJob(class)
		if job.class.MaxWidth > 0 {
			w.redrawWidths(job)
		}
		spec = job.spec
	})
	return spec
}

// redrawWidths draws the numbers of tasks of a job again, whose class has a distribution of its own for them. Steps of
// long-running jobs that limit their tasks per host run one on a host.
func (w *World) redrawWidths(j *jobTruth) {
	j.size = 0
	for s := range j.spec.Steps {
		for _, t := range j.tasks[s] {
			delete(w.tasks, t.id)
		}
		step := &j.spec.Steps[s]
		step.Count = min(j.class.MaxWidth, max(1, int(math.Round(w.logNormal(j.class.Width, j.class.WidthDeviation)))))
		if step.LongRunning && step.PerHost > 0 {
			step.PerHost = 1
		}
		j.tasks[s] = w.drawTasks(j, s, w.logNormal(float64(j.class.RunTime), 0.5))
	}
	w.objective(j)
}

// RecordRefused records that every submission of a job was refused, so that it must never run.
func (l *Live) RecordRefused(id string) {
	l.update(func(*World) { l.refused[id] = true })
}

// RecordCancelled records that the cancellation request of a job was acknowledged.
func (l *Live) RecordCancelled(id string) {
	l.update(func(w *World) {
		if j := w.byID[id]; j.cancelled == 0 {
			j.cancelled = w.now
		}
	})
}

// RecordCancelSent records that a caller is about to cancel a job. From now on the job is permitted to be shown as
// cancelled.
func (l *Live) RecordCancelSent(id string) {
	l.update(func(w *World) { w.byID[id].cancelSent = true })
}

// RecordShown records the state of a job that was reported to a caller.
func (l *Live) RecordShown(id string, state flow.State) {
	l.update(func(w *World) { w.recordShown(id, state) })
}

// AddViolation records a violation that a caller has observed.
func (l *Live) AddViolation(rule, format string, args ...any) {
	l.update(func(w *World) { w.addViolation(rule, format, args...) })
}

// InjectFault injects a fault of hosts now.
func (l *Live) InjectFault(f Fault) {
	l.update(func(w *World) {
		w.recordFault(f)
		w.inject(f)
	})
}

// RecordFault records a fault outside the hosts that lasts for d.
func (l *Live) RecordFault(d time.Duration) {
	l.update(func(w *World) { w.recordFault(Fault{Duration: d}) })
}

// NoRecentFault reports whether no fault is active or has ended recently.
func (l *Live) NoRecentFault() bool {
	calm := false
	l.update(func(w *World) { calm = !w.hadFault() })
	return calm
}

// recordFault records a fault, so that hadFault reports it.
func (w *World) recordFault(f Fault) {
	f.At = w.now.Sub(w.start)
	w.day.Faults = append(w.day.Faults, f)
}

// Running returns the names of the runs on hosts that are up.
func (l *Live) Running() []string {
	var names []string
	l.update(func(w *World) {
		for _, h := range w.hosts {
			for id := range h.runs {
				names = append(names, id)
			}
		}
	})
	return names
}

// Idle reports whether a job has no run although its remaining work would fit on the hosts.
func (l *Live) Idle(id string) bool {
	idle := false
	l.update(func(w *World) { idle = w.idle(w.byID[id]) })
	return idle
}

// Result returns the results and the violations so far.
func (l *Live) Result() (Counts, []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.w.counts, append([]string(nil), l.w.violations...)
}
