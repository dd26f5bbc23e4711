package model

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"plantainfold.example/fold"
	"plantainfold.example/fold/flow"
)

// Time limits of hosts, as the platform defines them.
const (
	maxLease    = 6 * time.Second
	stopTime    = 900 * time.Millisecond
	restoreTime = 100 * time.Millisecond
	saveEvery   = 2 * time.Second
	gangTime    = 3 * time.Second
	// messageDelay is the time that a message takes one way.
	messageDelay = time.Millisecond
)

// host simulates a worker that executes orders under leases and fences.
type host struct {
	world *World
	info  fold.Host
	up    bool
	// started is when the current incarnation started.
	started fold.Instant
	// clockRate is the speed of the host's clock relative to virtual time.
	clockRate float64
	fence     int64
	// until is the end of the lease of all runs on the host, on the host's clock in milliseconds.
	until int64
	runs  map[string]*run
	// highestRun is, by task, the highest number of a run that was stopped or has ended on the host.
	highestRun map[string]int
	ends       []fold.HostEnd
	lastEnd    int64
	// lapsedEnd is the number of the last end before the lease lapsed. Rules do not apply to ends up to this number.
	lapsedEnd   int64
	waiters     []func()
	incarnation int

	cut, fails, hangs bool
	// unlisted counts the active faults that remove the host from the roster.
	unlisted int
	// evacuatedAt is when the store accepted the evacuation of the failure domain, or 0 if the domain is not evacuated.
	// closedFrom is from when on no run may start there.
	evacuatedAt, closedFrom fold.Instant
	slowdown                float64
}

// run is a running attempt of a task.
type run struct {
	host   *host
	task   *taskTruth
	number int
	// remaining is the work that remained at the instant since.
	remaining time.Duration
	since     fold.Instant
	// generation counts changes of speed; an end that was scheduled for an earlier generation is ignored.
	generation int
	stopping   bool
	startedAt  fold.Instant
	// working is set unless the run waits for other members of its gang.
	working bool
	// restored is the work that was done before this run, according to its checkpoint.
	restored time.Duration
}

// clock returns the host's steady clock in milliseconds.
func (h *host) clock() int64 {
	return int64(float64(h.world.now.Sub(h.started).Milliseconds()) * h.clockRate)
}

// speed is the work done per second of virtual time.
func (h *host) speed() float64 {
	if h.hangs {
		return 0
	}
	return 1 / max(1, h.slowdown)
}

// extend extends the lease of the host; it never shortens it.
func (h *host) extend(until int64) {
	until = min(until, h.clock()+maxLease.Milliseconds())
	if until <= h.until {
		return
	}
	h.until = until
	incarnation := h.incarnation
	wait := time.Duration(float64(until-h.clock())/h.clockRate) * time.Millisecond
	h.world.after(wait+time.Millisecond, func() {
		if h.incarnation == incarnation && h.clock() >= h.until {
			h.lapse()
		}
	})
}

// lapse ends all runs because the lease has ended.
func (h *host) lapse() {
	h.lapsedEnd = h.lastEnd
	for _, r := range h.sorted() {
		h.end(r, fold.EndLeaseExpired)
	}
}

func (h *host) sorted() []*run {
	runs := make([]*run, 0, len(h.runs))
	for _, r := range h.runs {
		runs = append(runs, r)
	}
	slices.SortFunc(runs, func(a, b *run) int { return cmp.Compare(a.task.id, b.task.id) })
	return runs
}

// start executes an order to start a run.
func (h *host) start(s fold.StartRequest) error {
	if s.Fence < h.fence {
		return fold.HostFenced.New("fence")
	}
	h.fence = s.Fence
	if r, ok := h.runs[s.Task]; ok && r.number == s.Run {
		h.extend(s.LeaseEnd)
		return nil
	}
	if s.LeaseEnd <= h.clock() {
		return fold.OrderLate.New("the lease in the order has ended")
	}
	h.extend(s.LeaseEnd)
	if s.Run <= h.highestRun[s.Task] {
		return fold.RunStale.New("the run was stopped or has ended")
	}
	if r, ok := h.runs[s.Task]; ok {
		h.world.addViolation("TWICE", "run %d of %s starts while run %d is on the same host", s.Run, s.Task, r.number)
		return fold.RunStale.New("another run of the task is on the host")
	}
	t := h.world.tasks[s.Task]
	if t == nil {
		h.world.addViolation("UNASKED", "start of %s, which no caller sent", s.Task)
		return fold.RunStale.New("unknown")
	}
	h.world.checkStart(h, t, s)
	r := &run{host: h, task: t, number: s.Run, startedAt: h.world.now, since: h.world.now, working: !t.step.Gang}
	r.remaining = t.work - t.progress(s.Checkpoint)
	if s.Checkpoint != "" {
		r.remaining += restoreTime
	}
	r.restored = t.work - r.remaining
	h.runs[s.Task] = r
	h.world.countRun(r, 1)
	t.live[r] = true
	if t.step.Gang {
		h.world.joinGang(r)
		return nil
	}
	h.resume(r)
	return nil
}

// resume continues a run at the current speed and schedules its end.
func (h *host) resume(r *run) {
	r.generation++
	r.since = h.world.now
	generation := r.generation
	if h.fails && !r.task.step.LongRunning || r.task.fails(r.number) {
		h.world.after(failAfter, func() { h.finish(r, generation, fold.EndFailed) })
		return
	}
	if speed := h.speed(); speed > 0 && !r.task.step.LongRunning {
		h.world.after(time.Duration(float64(r.remaining)/speed), func() { h.finish(r, generation, fold.EndDone) })
	}
}

// failAfter is the duration of a run that fails.
const failAfter = 200 * time.Millisecond

func (h *host) finish(r *run, generation int, how fold.EndKind) {
	if r.generation == generation && h.runs[r.task.id] == r && !r.stopping {
		h.end(r, how)
	}
}

// changeSpeed calls fn, which changes the speed of the host, and reschedules the ends of the runs.
func (h *host) changeSpeed(fn func()) {
	for _, r := range h.runs {
		h.accrue(r)
	}
	fn()
	for _, r := range h.sorted() {
		if r.working {
			h.resume(r)
		}
	}
}

// accrue subtracts the work that was done since the last call from the remaining work.
func (h *host) accrue(r *run) {
	if r.working {
		r.remaining -= time.Duration(float64(h.world.now.Sub(r.since)) * h.speed())
	}
	r.since = h.world.now
}

// checkpoint returns the newest checkpoint of a run.
func (h *host) checkpoint(r *run, stopped bool) string {
	if !r.task.step.Checkpoints {
		return ""
	}
	h.accrue(r)
	at := r.task.work - max(0, r.remaining)
	if !stopped {
		at = at.Truncate(saveEvery)
	}
	if at <= 0 {
		return ""
	}
	return fmt.Sprintf("%s/%d", r.task.id, at)
}

// end ends a run, records its end and answers waiting hold calls.
func (h *host) end(r *run, how fold.EndKind) {
	saved := ""
	if how != fold.EndDone {
		saved = h.checkpoint(r, how == fold.EndStopped)
	}
	if h.runs[r.task.id] == r {
		h.world.countRun(r, -1)
	}
	delete(h.runs, r.task.id)
	delete(r.task.live, r)
	h.highestRun[r.task.id] = max(h.highestRun[r.task.id], r.number)
	h.lastEnd++
	h.ends = append(h.ends, fold.HostEnd{Number: h.lastEnd, Task: r.task.id, Run: r.number, Kind: how, Checkpoint: saved})
	h.world.recordEnd(h, r, how, h.lastEnd)
	h.notify()
	if r.task.step.Gang && how != fold.EndDone {
		h.world.breakGang(r)
	}
}

func (h *host) notify() {
	waiters := h.waiters
	h.waiters = nil
	for _, w := range waiters {
		w()
	}
}

// stop executes an order to stop a run.
func (h *host) stop(task string, number int, fence int64) error {
	if fence < h.fence {
		return fold.HostFenced.New("fence")
	}
	h.fence = fence
	h.highestRun[task] = max(h.highestRun[task], number)
	r, ok := h.runs[task]
	if !ok || r.number != number || r.stopping {
		return nil
	}
	r.stopping = true
	incarnation := h.incarnation
	h.world.after(time.Duration(h.world.random.Int64N(int64(stopTime))), func() {
		if h.incarnation == incarnation && h.runs[task] == r {
			h.end(r, fold.EndStopped)
		}
	})
	return nil
}

// effective returns the part of a hold call for an incarnation that has an effect on the current one: only the named incarnation
// renews leases and forgets ends.
func (h *host) effective(q fold.HoldRequest, incarnation int64) fold.HoldRequest {
	if h.info.Incarnation != incarnation {
		return fold.HoldRequest{Fence: q.Fence}
	}
	return q
}

// hold renews the lease and reports, at once if there are ends or no wait is requested, else with the next end.
func (h *host) hold(q fold.HoldRequest, reply func(fold.HoldReply, error)) {
	if q.Fence < h.fence {
		reply(fold.HoldReply{}, fold.HostFenced.New("fence"))
		return
	}
	h.fence = q.Fence
	if q.LeaseEnd != 0 {
		h.extend(q.LeaseEnd)
	}
	for len(h.ends) > 0 && h.ends[0].Number <= q.Acked {
		h.world.recordAck(h, h.ends[0])
		h.ends = h.ends[1:]
	}
	answered := false
	incarnation := h.incarnation
	answer := func() {
		if !answered && h.incarnation == incarnation {
			answered = true
			reply(h.report(), nil)
		}
	}
	if q.Wait == 0 || len(h.ends) > 0 {
		answer()
		return
	}
	h.waiters = append(h.waiters, answer)
	h.world.after(q.Wait, answer)
}

func (h *host) report() fold.HoldReply {
	out := fold.HoldReply{Clock: h.clock(), Incarnation: h.info.Incarnation}
	for _, r := range h.sorted() {
		h.accrue(r)
		percent := 100
		if !r.task.step.LongRunning {
			percent = int(100 * (r.task.work - max(0, r.remaining)) / max(1, r.task.work))
		}
		out.Runs = append(out.Runs, fold.HostRun{Task: r.task.id, Run: r.number, Checkpoint: h.checkpoint(r, false), Percent: percent})
	}
	out.Ends = slices.Clone(h.ends)
	return out
}

// countRun adds a run to what its team uses, or subtracts it.
func (w *World) countRun(r *run, sign int64) {
	w.teamUse[r.task.job.spec.Team] += sign * r.task.step.Size.CPU
}

// crash ends the current incarnation of the host.
func (h *host) crash() {
	for _, r := range h.runs {
		delete(r.task.live, r)
		h.world.breakGang(r)
	}
	h.incarnation++
	h.up = false
	for _, r := range h.runs {
		h.world.countRun(r, -1)
	}
	h.runs = make(map[string]*run)
	h.waiters = nil
	h.ends = nil
}

// restart starts a new incarnation with the same id.
func (h *host) restart() {
	w := h.world
	h.incarnation++
	h.up, h.started = true, w.now
	h.info.Incarnation = max(h.info.Incarnation+1, w.wallMillis())
	h.info.Draining = false
	h.fence, h.until, h.lastEnd, h.lapsedEnd = 0, 0, 0, 0
	h.highestRun = make(map[string]int)
}

// doneEnd is the end of a run that completed its task. startedAgain is set if the task was started again after it,
// which is a violation once the end is acknowledged.
type doneEnd struct {
	host         *host
	incarnation  int
	number       int64
	startedAgain bool
}

// taskTruth is the actual state of a task, independent of the owner's view.
type taskTruth struct {
	id   string
	job  *jobTruth
	step *flow.Step
	name flow.TaskName
	work time.Duration
	// failing reports whether a run fails because of the task itself.
	failing func(run int) bool
	live    map[*run]bool
	done    bool
	doneAt  fold.Instant
	// failures counts the runs that failed, and ackedFailures counts those whose ends were acknowledged.
	failures, ackedFailures int
	// ackedFailureAt is when the last failure was acknowledged.
	ackedFailureAt fold.Instant
	// doneEnds holds the ends of runs that completed the task.
	doneEnds []*doneEnd
}

func (t *taskTruth) fails(run int) bool {
	return t.failing(run)
}

// progress returns the work that a checkpoint holds.
func (t *taskTruth) progress(saved string) time.Duration {
	if saved == "" {
		return 0
	}
	var at int64
	if _, err := fmt.Sscanf(saved, t.id+"/%d", &at); err == nil {
		return time.Duration(at)
	}
	if t.step.Gang {
		// The checkpoint of any member is valid for the whole gang.
		for i := len(saved) - 1; i > 0; i-- {
			if saved[i] == '/' {
				if _, err := fmt.Sscanf(saved[i+1:], "%d", &at); err == nil {
					return time.Duration(at)
				}
			}
		}
	}
	t.job.world.addViolation("UNASKED", "checkpoint %q is not of %s", saved, t.id)
	return 0
}
