package main

import (
	"fmt"
	"sync"
	"time"
)

// history is what workers have seen of a run.
type history struct {
	worker  *worker
	number  int
	started time.Time
	ended   time.Time
	how     string
	end     int64
	// noted is when ack_seq reached the end, unless the lease had lapsed between.
	noted  time.Time
	lapsed bool
}

// rules checks the rules on what workers see.
type rules struct {
	w *world

	mu   sync.Mutex
	runs map[string][]*history
	// jobs holds the first start of each job.
	jobs map[string]time.Time
	// starts counts starts.
	starts int
	broken []string
}

func newRules(w *world) *rules {
	return &rules{w: w, runs: make(map[string][]*history), jobs: make(map[string]time.Time)}
}

// fail records a broken rule.
func (u *rules) fail(format string, args ...any) {
	u.broken = append(u.broken, fmt.Sprintf(format, args...))
	if len(u.broken) <= 20 {
		u.w.log("BROKEN %s", fmt.Sprintf(format, args...))
	}
}

// start is called with the lock of the worker held.
func (u *rules) start(k *worker, r *run) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.starts++
	u.runs[r.task] = append(u.runs[r.task], &history{worker: k, number: r.number, started: r.started})
	job := r.task[:min(16, len(r.task))]
	if _, ok := u.jobs[job]; !ok {
		u.jobs[job] = r.started
	}
	u.w.log("worker %s starts %s run %d", k.id, r.task, r.number)
}

// end is called with the lock of the worker held.
func (u *rules) end(k *worker, task string, number int, how string, n int64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, h := range u.runs[task] {
		if h.worker == k && h.number == number && h.ended.IsZero() {
			h.ended, h.how, h.end = time.Now(), how, n
		}
	}
	u.w.log("worker %s: %s run %d has ended %s, end %d", k.id, task, number, how, n)
}

// lapse is called with the lock of the worker held.
func (u *rules) lapse(k *worker) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, list := range u.runs {
		for _, h := range list {
			if h.worker == k && !h.ended.IsZero() && h.noted.IsZero() {
				h.lapsed = true
			}
		}
	}
}

// ack is called with the lock of the worker held.
func (u *rules) ack(k *worker, e ended) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, h := range u.runs[e.task] {
		if h.worker == k && h.number == e.number && h.end == e.n && !h.lapsed {
			h.noted = time.Now()
			u.w.log("worker %s: ack_seq has reached end %d, %s run %d %s", k.id, e.n, e.task, e.number, e.how)
		}
	}
}

// checkTwice applies the rule TWICE to tasks without `speculative`.
func (u *rules) checkTwice() {
	u.mu.Lock()
	defer u.mu.Unlock()
	for task, list := range u.runs {
		for i, a := range list {
			for _, b := range list[i+1:] {
				at := func(t time.Time) float64 { return t.Sub(u.w.began).Seconds() }
				if b.started.Before(a.started) {
					a, b = b, a
				}
				if a.ended.IsZero() || b.started.Before(a.ended) {
					u.fail("TWICE: %s run %d (worker %s from %.3f) and run %d (worker %s from %.3f) at the same time", task, a.number, a.worker.id, at(a.started), b.number, b.worker.id, at(b.started))
				} else if a.how == "done" && !a.noted.IsZero() {
					u.fail("TWICE: %s run %d ended done on worker %s at %.3f (noted at %.3f), and run %d began on worker %s at %.3f", task, a.number, a.worker.id, at(a.ended), at(a.noted), b.number, b.worker.id, at(b.started))
				}
			}
		}
	}
}

func (u *rules) firstStart(job string) (time.Time, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	t, ok := u.jobs[job]
	return t, ok
}

func (u *rules) startCount() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.starts
}
