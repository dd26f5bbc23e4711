package model

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"plantainfold.example/fold"
	"plantainfold.example/fold/flow"
)

// Bounds of hosts, as the platform gives them.
const (
	maxLease  = 6 * time.Second
	stopTime  = 900 * time.Millisecond
	restore   = 100 * time.Millisecond
	saveEvery = 2 * time.Second
	gangTime  = 3 * time.Second
	// hop is the time of a message one way.
	hop = time.Millisecond
)

// host is a worker: it does what it is told, under leases and fences.
type host struct {
	world *World
	info  fold.Host
	up    bool
	// began is the start of this life, rate the speed of the host's clock.
	began fold.Instant
	rate  float64
	fence int64
	// until is the lease of everything that runs here, on the host's clock in milliseconds.
	until int64
	runs  map[string]*run
	// high is the highest run of each task that was stopped or has ended here.
	high  map[string]int
	ends  []fold.HostEnd
	ended int64
	// lapsed is the last end before a lease ended; up to it nobody counts on an end.
	lapsed  int64
	waiters []func()
	life    int

	cut, fails, hangs bool
	slow              float64
}

// run is a task at work.
type run struct {
	host   *host
	truth  *truth
	number int
	// left is the work that is left at the instant since; alive counts changes of speed, so that outdated ends are ignored.
	left     time.Duration
	since    fold.Instant
	alive    int
	stopping bool
	begun    fold.Instant
	// together says that all members of a gang are there, or that it is no gang.
	together bool
	from     time.Duration
}

// clock returns the host's steady clock in milliseconds.
func (h *host) clock() int64 {
	return int64(float64(h.world.now.Sub(h.began).Milliseconds()) * h.rate)
}

// speed is work done in a second.
func (h *host) speed() float64 {
	if h.hangs {
		return 0
	}
	return 1 / max(1, h.slow)
}

// extend takes a lease; it never shortens.
func (h *host) extend(until int64) {
	until = min(until, h.clock()+maxLease.Milliseconds())
	if until <= h.until {
		return
	}
	h.until = until
	life := h.life
	wait := time.Duration(float64(until-h.clock())/h.rate) * time.Millisecond
	h.world.after(wait+time.Millisecond, func() {
		if h.life == life && h.clock() >= h.until {
			h.lapse()
		}
	})
}

// lapse kills everything when the lease has ended.
func (h *host) lapse() {
	h.lapsed = h.ended
	for _, r := range h.sorted() {
		h.end(r, fold.EndLeaseExpired)
	}
}

func (h *host) sorted() []*run {
	runs := make([]*run, 0, len(h.runs))
	for _, r := range h.runs {
		runs = append(runs, r)
	}
	slices.SortFunc(runs, func(a, b *run) int { return cmp.Compare(a.truth.id, b.truth.id) })
	return runs
}

// start is an order to start a run.
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
		return fold.OrderLate.New("late")
	}
	h.extend(s.LeaseEnd)
	if s.Run <= h.high[s.Task] {
		return fold.RunStale.New("old")
	}
	if r, ok := h.runs[s.Task]; ok {
		h.world.broke("TWICE", "run %d of %s while run %d is on the same host", s.Run, s.Task, r.number)
		return fold.RunStale.New("another run is here")
	}
	t := h.world.truths[s.Task]
	if t == nil {
		h.world.broke("UNASKED", "start of %s, which no caller sent", s.Task)
		return fold.RunStale.New("unknown")
	}
	h.world.judge(h, t, s)
	r := &run{host: h, truth: t, number: s.Run, begun: h.world.now, since: h.world.now, together: !t.step.Gang}
	r.left = t.work - t.progress(s.Checkpoint)
	if s.Checkpoint != "" {
		r.left += restore
	}
	r.from = t.work - r.left
	h.runs[s.Task] = r
	t.live[r] = true
	if t.step.Gang {
		h.world.gather(r)
		return nil
	}
	h.proceed(r)
	return nil
}

// proceed lets a run work at the present speed.
func (h *host) proceed(r *run) {
	r.alive++
	r.since = h.world.now
	alive := r.alive
	if h.fails && !r.truth.step.LongRunning || r.truth.fails(r.number) {
		h.world.after(failAfter, func() { h.finish(r, alive, fold.EndFailed) })
		return
	}
	if speed := h.speed(); speed > 0 && !r.truth.step.LongRunning {
		h.world.after(time.Duration(float64(r.left)/speed), func() { h.finish(r, alive, fold.EndDone) })
	}
}

// failAfter is how long a run that fails takes.
const failAfter = 200 * time.Millisecond

func (h *host) finish(r *run, alive int, how fold.EndKind) {
	if r.alive == alive && h.runs[r.truth.id] == r && !r.stopping {
		h.end(r, how)
	}
}

// change lets the runs go on at another speed.
func (h *host) change(fn func()) {
	for _, r := range h.runs {
		h.settle(r)
	}
	fn()
	for _, r := range h.sorted() {
		if r.together {
			h.proceed(r)
		}
	}
}

// settle counts the work that was done since the last change.
func (h *host) settle(r *run) {
	if r.together {
		r.left -= time.Duration(float64(h.world.now.Sub(r.since)) * h.speed())
	}
	r.since = h.world.now
}

// saved is the newest checkpoint of a run.
func (h *host) saved(r *run, stopped bool) string {
	if !r.truth.step.Checkpoints {
		return ""
	}
	h.settle(r)
	at := r.truth.work - max(0, r.left)
	if !stopped {
		at = at.Truncate(saveEvery)
	}
	if at <= 0 {
		return ""
	}
	return fmt.Sprintf("%s/%d", r.truth.id, at)
}

// end ends a run and tells those who wait for it.
func (h *host) end(r *run, how fold.EndKind) {
	saved := ""
	if how != fold.EndDone {
		saved = h.saved(r, how == fold.EndStopped)
	}
	delete(h.runs, r.truth.id)
	delete(r.truth.live, r)
	h.high[r.truth.id] = max(h.high[r.truth.id], r.number)
	h.ended++
	h.ends = append(h.ends, fold.HostEnd{Number: h.ended, Task: r.truth.id, Run: r.number, Kind: how, Checkpoint: saved})
	h.world.ended(h, r, how, h.ended)
	h.tell()
	if r.truth.step.Gang && how != fold.EndDone {
		h.world.scatter(r)
	}
}

func (h *host) tell() {
	waiters := h.waiters
	h.waiters = nil
	for _, w := range waiters {
		w()
	}
}

// stop is an order to stop a run.
func (h *host) stop(task string, number int, fence int64) error {
	if fence < h.fence {
		return fold.HostFenced.New("fence")
	}
	h.fence = fence
	h.high[task] = max(h.high[task], number)
	r, ok := h.runs[task]
	if !ok || r.number != number || r.stopping {
		return nil
	}
	r.stopping = true
	life := h.life
	h.world.after(time.Duration(h.world.random.Int64N(int64(stopTime))), func() {
		if h.life == life && h.runs[task] == r {
			h.end(r, fold.EndStopped)
		}
	})
	return nil
}

// hold renews leases and reports, at once or with the next end.
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
		h.world.acked(h, h.ends[0])
		h.ends = h.ends[1:]
	}
	answered := false
	life := h.life
	answer := func() {
		if !answered && h.life == life {
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
		h.settle(r)
		percent := 100
		if !r.truth.step.LongRunning {
			percent = int(100 * (r.truth.work - max(0, r.left)) / max(1, r.truth.work))
		}
		out.Runs = append(out.Runs, fold.HostRun{Task: r.truth.id, Run: r.number, Checkpoint: h.saved(r, false), Percent: percent})
	}
	out.Ends = slices.Clone(h.ends)
	return out
}

// crash ends this life of the host.
func (h *host) crash() {
	for _, r := range h.runs {
		delete(r.truth.live, r)
		h.world.scatter(r)
	}
	h.life++
	h.up = false
	h.runs = make(map[string]*run)
	h.waiters = nil
	h.ends = nil
}

// rise starts another life under the same id.
func (h *host) rise() {
	w := h.world
	h.life++
	h.up, h.began = true, w.now
	h.info.Incarnation = max(h.info.Incarnation+1, w.wall())
	h.info.Draining = false
	h.fence, h.until, h.ended, h.lapsed = 0, 0, 0, 0
	h.high = make(map[string]int)
}

// doneEnd is the end of a run that was done; followed says that the task was started again after it, which breaks a
// promise once the end is acknowledged.
type doneEnd struct {
	host     *host
	life     int
	number   int64
	followed bool
}

// truth is what a task really is.
type truth struct {
	id   string
	job  *jobTruth
	step *flow.Step
	name flow.TaskName
	work time.Duration
	// failing are the runs that fail by the task's own fault.
	failing func(run int) bool
	live    map[*run]bool
	done    bool
	doneAt  fold.Instant
	// failed counts runs that failed, noted those whose ends were acknowledged.
	failed, noted int
	// notedAt is when the last of those was acknowledged.
	notedAt fold.Instant
	// dones are the ends of runs that were done.
	dones []*doneEnd
}

func (t *truth) fails(run int) bool {
	return t.failing(run)
}

// progress is the work that a checkpoint holds.
func (t *truth) progress(saved string) time.Duration {
	if saved == "" {
		return 0
	}
	var at int64
	if _, err := fmt.Sscanf(saved, t.id+"/%d", &at); err == nil {
		return time.Duration(at)
	}
	if t.step.Gang {
		// Any member's checkpoint holds for the gang.
		for i := len(saved) - 1; i > 0; i-- {
			if saved[i] == '/' {
				if _, err := fmt.Sscanf(saved[i+1:], "%d", &at); err == nil {
					return time.Duration(at)
				}
			}
		}
	}
	t.job.world.broke("UNASKED", "checkpoint %q is not of %s", saved, t.id)
	return 0
}
