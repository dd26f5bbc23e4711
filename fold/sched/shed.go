package sched

import (
	"sort"

	"plantainfold.example/fold"
)

// Shed checkpoints and stops tasks of a team that uses more than its allotment, the ones started last first. It is called
// after a limit was lowered and the grace for work to end by itself is over. Non-idempotent tasks are left to end by
// themselves.
func (p *Pool) Shed(name string) int {
	owner := p.team(name)
	left := owner.used.Sub(owner.leaving)
	if left.Fits(owner.allotment) {
		return 0
	}
	var running []*task
	for _, w := range p.workers {
		for _, t := range w.tasks {
			if t.job.spec.Team == name && t.sheddable() {
				running = append(running, t)
			}
		}
	}
	sort.Slice(running, func(i, k int) bool {
		if running[i].began != running[k].began {
			return running[i].began > running[k].began
		}
		return running[i].id().String() > running[k].id().String()
	})
	count := 0
	for _, t := range running {
		if left.Fits(owner.allotment) {
			break
		}
		left = left.Sub(t.size)
		p.preempt(t, "the limit of the team was lowered")
		count++
	}
	return count
}

// sheddable reports whether the task may be stopped and started again later.
func (t *task) sheddable() bool {
	again := t.job.spec.Idempotent || t.job.spec.Kind == fold.Service
	return again && t.phase == phaseRunning && !t.stopped && t.preempted == ""
}
