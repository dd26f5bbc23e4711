package core

import (
	"time"

	"plantainfold.example/fold"
)

const (
	// failingJobs is how many jobs in a row must fail on a host, without a task done there, before it is barred: one job
	// may fail by its own fault.
	failingJobs = 2
	// barTime is how long a host is barred the first time; it doubles up to maxBar.
	barTime = 3 * time.Second
	maxBar  = 12 * time.Second
	// trust is how long a task that was done on a host speaks for it.
	trust = 10 * time.Second
)

// health is what the ends on a host tell about it.
type health struct {
	// failed are the jobs that failed since the last task was done.
	failed []string
	until  fold.Instant
	bars   int
	done   fold.Instant
	leaves fold.Instant
}

func (h *health) barred(now fold.Instant) bool {
	return now < h.until
}

// good notes that a task was done.
func (h *health) good(now fold.Instant) {
	h.failed, h.done, h.bars = nil, now, 0
}

// bad notes that a task of the job failed and reports whether the host is barred for it.
func (h *health) bad(now fold.Instant, job string) bool {
	for _, f := range h.failed {
		if f == job {
			return false
		}
	}
	h.failed = append(h.failed, job)
	if len(h.failed) < failingJobs && h.bars == 0 {
		return false
	}
	h.bar(now)
	return true
}

// bar closes the host for a while.
func (h *health) bar(now fold.Instant) {
	h.until = now.Add(min(maxBar, barTime<<h.bars))
	h.bars = min(h.bars+1, 4)
	h.failed = nil
}

// suspect reports whether the host should not get work that may not fail again.
func (h *health) suspect(now fold.Instant) bool {
	return len(h.failed) > 0 || h.bars > 0 && (h.done == 0 || now.Sub(h.done) > trust)
}
