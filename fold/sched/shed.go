package sched

import (
	"sort"

	"plantainfold.example/fold"
)

// Shed preempts tasks of a team that uses more than its allotment, those started last first, and returns their number.
// It is called after a limit was lowered and the grace period is over. Tasks that are not idempotent keep running.
func (p *Pool) Shed(name string) int {
	teamState := p.team(name)
	remaining := teamState.used.Sub(teamState.preemptedSize)
	if remaining.Fits(teamState.allotment) {
		return 0
	}
	var running []*task
	for _, w := range p.workers {
		for _, t := range w.tasks {
			if t.job.spec.Team == name && t.preemptibleForLimit() {
				running = append(running, t)
			}
		}
	}
	sort.Slice(running, func(i, k int) bool {
		if running[i].startedAt != running[k].startedAt {
			return running[i].startedAt > running[k].startedAt
		}
		return running[i].id().String() > running[k].id().String()
	})
	count := 0
	for _, t := range running {
		if remaining.Fits(teamState.allotment) {
			break
		}
		remaining = remaining.Sub(t.size)
		p.preempt(t, "the limit of the team was lowered")
		count++
	}
	return count
}

// preemptibleForLimit reports whether the task may be stopped and started again later.
func (t *task) preemptibleForLimit() bool {
	again := t.job.spec.Idempotent || t.job.spec.Kind == fold.Service
	return again && t.phase == phaseRunning && !t.stopSent && t.preemptReason == ""
}
