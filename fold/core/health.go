package core

import (
	"time"

	"plantainfold.example/fold"
)

const (
	// minFailingJobs is the number of consecutive jobs that must fail on a host before it is quarantined. A single job may
	// fail through its own fault, see judgeFailure.
	minFailingJobs = 2
	// quarantineTime is the length of the first quarantine. It doubles each time.
	quarantineTime = 3 * time.Second
	// maxQuarantine is the maximum length of a quarantine.
	maxQuarantine = 12 * time.Second
	// trustTime is how long a task done on a host keeps it from being suspect after a later quarantine.
	trustTime = 10 * time.Second
)

// health tracks failures on a host and the time at which it leaves.
type health struct {
	// failedJobs lists the jobs that have failed since a task was last done.
	failedJobs       []string
	quarantinedUntil fold.Instant
	// quarantines counts quarantines since a task was last done, up to 4.
	quarantines int
	lastDone    fold.Instant
	// leavesAt is when a draining host leaves.
	leavesAt fold.Instant
}

func (h *health) quarantined(now fold.Instant) bool {
	return now < h.quarantinedUntil
}

// recordDone records that a task was done on the host, or has worked there for steadyTime.
func (h *health) recordDone(now fold.Instant) {
	h.failedJobs, h.lastDone, h.quarantines = nil, now, 0
}

// recordFailure records a failure of the job on the host and reports whether the host is now quarantined.
func (h *health) recordFailure(now fold.Instant, job string) bool {
	for _, f := range h.failedJobs {
		if f == job {
			return false
		}
	}
	h.failedJobs = append(h.failedJobs, job)
	if len(h.failedJobs) < minFailingJobs && h.quarantines == 0 {
		return false
	}
	h.quarantine(now)
	return true
}

// quarantine excludes the host from new work for a time that doubles with each quarantine.
func (h *health) quarantine(now fold.Instant) {
	h.quarantinedUntil = now.Add(min(maxQuarantine, quarantineTime<<h.quarantines))
	h.quarantines = min(h.quarantines+1, 4)
	h.failedJobs = nil
}

// suspect reports whether the host has failed tasks recently. It should not get tasks that must not fail again.
func (h *health) suspect(now fold.Instant) bool {
	return len(h.failedJobs) > 0 || h.quarantines > 0 && (h.lastDone == 0 || now.Sub(h.lastDone) > trustTime)
}
