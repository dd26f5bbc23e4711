package sched

import (
	"fmt"

	"plantainfold.example/fold"
)

// Explain says why a job is in its state.
func (p *Pool) Explain(id string) (fold.Explanation, bool) {
	j, ok := p.jobs[id]
	if !ok {
		return fold.Explanation{}, false
	}
	e := fold.Explanation{Job: id, State: j.state()}
	for _, place := range j.places {
		e.Evidence = append(e.Evidence, fmt.Sprintf("%s attempt %d on %s in %s after %d ms: %s",
			place.Task, place.Attempt, place.Worker, place.Domain, place.Waited, place.Reason))
	}
	if j.counts[phaseWaiting] > 0 && !j.cancelled {
		e.Reason, e.Remedy = p.whyWaiting(j)
		return e, true
	}
	e.Reason = fmt.Sprintf("%d running, %d done, %d failed, %d unknown",
		j.active(), j.counts[phaseDone], j.counts[phaseFailed], j.counts[phaseUnknown])
	return e, true
}

func (p *Pool) whyWaiting(j *job) (string, string) {
	t := p.team(j.spec.Team)
	switch {
	case j.old && p.held:
		return "the pool has a new owner that has not reached every worker", "wait, or declare unreachable workers lost"
	case !j.spec.Resources.Fits(p.index.Largest()):
		return "no worker of the pool is large enough", "ask for less per task"
	case !t.used.Add(j.spec.Resources).Fits(t.allotment):
		return fmt.Sprintf("team %s uses %s of its allotment of %s here", j.spec.Team, t.used, t.allotment),
			"wait for work of the team to end, or raise its limit"
	default:
		return "no worker has enough free capacity, or other teams are further below their share", "wait, or add workers"
	}
}
