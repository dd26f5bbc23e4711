package sched

import (
	"fmt"

	"plantainfold.example/fold"
	"plantainfold.example/fold/health"
)

// blockReason is the reason for which the last placement of a job failed.
type blockReason int

const (
	notBlocked blockReason = iota
	blockedByAllotment
	// blockedByCapacity means that no worker has enough free capacity now.
	blockedByCapacity
	// blockedBySize means that the task or gang would not fit even if all workers were idle.
	blockedBySize
	// blockedByBackoff means that a task of the gang is in backoff.
	blockedByBackoff
)

// blockage describes the last failed placement of a job. Its text is built only on request.
type blockage struct {
	reason blockReason
	// need is the size of one task, or for blockedByAllotment the size of all tasks to be started together.
	need fold.Resources
	// count is the number of tasks to be started together.
	count int
	// since is when the job was first blocked by capacity.
	since fold.Instant
	// growCount is the value of place.Index.GrowCount at the last failure. A gang that lacked capacity is tried again only
	// after it has changed.
	growCount uint64
}

// Explain returns why a job is in its state, with evidence and a remedy.
func (p *Pool) Explain(id string) (fold.Explanation, bool) {
	j, ok := p.jobs[id]
	if !ok {
		return fold.Explanation{}, false
	}
	e := fold.Explanation{Job: id, State: j.state()}
	for _, place := range j.placements {
		e.Evidence = append(e.Evidence, fmt.Sprintf("%s attempt %d on %s in %s after %d ms: %s",
			place.Task, place.Attempt, place.Worker, place.Domain, place.Waited, place.Reason))
	}
	e.Evidence = append(e.Evidence, p.preemptEvidence(j)...)
	e.Evidence = append(e.Evidence, p.usageEvidence(j)...)
	switch {
	case j.cancelled && !e.State.Ended():
		e.Reason = fmt.Sprintf("the job was cancelled; %d tasks are being stopped", j.active())
		e.Remedy = "wait for the tasks to end"
	case j.parked && j.counts[phaseWaiting] > 0:
		e.Reason = fmt.Sprintf("the job failed on %d workers, so %d tasks do not start", len(p.guard.FailedWorkers(id)), j.counts[phaseWaiting])
		for _, worker := range p.guard.FailedWorkers(id) {
			e.Evidence = append(e.Evidence, "failed on "+worker)
		}
		e.Remedy = "correct the job, cancel this one and submit it under a new id"
	case j.counts[phaseWaiting] > 0 && !j.cancelled:
		e.Reason, e.Remedy = p.waitReason(j)
		e.Evidence = append(e.Evidence, p.poolEvidence()...)
	default:
		e.Reason = fmt.Sprintf("%d running, %d done, %d failed, %d unknown",
			j.active(), j.counts[phaseDone], j.counts[phaseFailed], j.counts[phaseUnknown])
		e.Remedy = remedyFor(j)
	}
	return e, true
}

// NeverFits explains why the pool could not run the job even if all workers were idle; it reports false if it could.
func (p *Pool) NeverFits(spec fold.Job) (fold.Explanation, bool) {
	count := 1
	if spec.Kind == fold.Gang {
		count = spec.Count
	}
	if p.index.Len() == 0 || p.index.IdleSlots(spec.Resources, count) >= count {
		return fold.Explanation{}, false
	}
	reason, remedy := p.sizeReason(spec.Resources, count)
	return fold.Explanation{Job: spec.ID, State: fold.Waiting, Reason: reason, Evidence: p.poolEvidence(), Remedy: remedy}, true
}

func remedyFor(j *job) string {
	switch {
	case j.counts[phaseUnknown] > 0:
		return "check the outcome of the unknown tasks, then submit what is missing under a new id"
	case j.counts[phaseFailed] > 0:
		return "correct the job and submit it under a new id, or allow more retries"
	default:
		return "nothing to do"
	}
}

// waitReason returns why tasks of the job wait, and a remedy.
func (p *Pool) waitReason(j *job) (string, string) {
	t := p.team(j.spec.Team)
	if j.restored && p.restoredPaused {
		return "the pool has a new owner that has not reached every worker", "wait, or declare unreachable workers lost"
	}
	if j.readyCount == 0 || j.blockage.reason == blockedByBackoff {
		return "tasks wait for the end of their backoff after a failure", "correct what fails, or wait"
	}
	switch j.blockage.reason {
	case blockedBySize:
		return p.sizeReason(j.blockage.need, j.blockage.count)
	case blockedByAllotment:
		return fmt.Sprintf("team %s uses %s of its allotment of %s here and needs %s more", t.name, t.used, t.allotment, j.blockage.need),
			"wait for work of the team to end, or raise its limit"
	case blockedByCapacity:
		return p.noCapacity(j)
	default:
		return "work of higher priority or of teams further below their share goes first", "wait, or add workers"
	}
}

// sizeReason returns why count tasks never fit, and a remedy.
func (p *Pool) sizeReason(size fold.Resources, count int) (string, string) {
	if count > 1 && p.index.IdleSlots(size, 1) == 1 {
		return fmt.Sprintf("the workers can never hold %d tasks of %s at once; they hold %d", count, size, p.index.IdleSlots(size, count)),
			"ask for fewer or smaller tasks"
	}
	return fmt.Sprintf("no worker of the pool is large enough for %s; the largest has %s", size, p.index.Largest()),
		"ask for less per task"
}

func (p *Pool) noCapacity(j *job) (string, string) {
	reason := fmt.Sprintf("no worker has %s free", j.blockage.need)
	if j.blockage.count > 1 {
		reason = fmt.Sprintf("there is no room for %d tasks of %s at once", j.blockage.count, j.blockage.need)
	}
	if res := p.reservationOf(j); res != nil && res.estimatedStart != never {
		return fmt.Sprintf("%s; %d workers are reserved, estimated start in %d ms", reason, len(res.workers),
			max(res.estimatedStart.Sub(p.now), 0).Milliseconds()), "wait, or add workers"
	}
	return reason, "wait, ask for less, or add workers"
}

// poolEvidence returns the use of the pool and its quarantined workers.
func (p *Pool) poolEvidence() []string {
	capacity, used := p.index.Totals()
	evidence := []string{fmt.Sprintf("pool %s: %s of %s committed on %d workers, %d tasks waiting", p.id, used, capacity, p.index.Len(), p.waiting)}
	quarantined := 0
	for i := 0; i < p.index.Len() && quarantined < maxQuarantineEvidence; i++ {
		w, _ := p.index.At(i)
		if p.guard.State(w.Name) == health.Good {
			continue
		}
		quarantined++
		evidence = append(evidence, p.quarantineEvidence(w.Name))
	}
	return evidence
}

// maxQuarantineEvidence bounds the quarantined workers that an explanation names.
const maxQuarantineEvidence = 8

func (p *Pool) quarantineEvidence(name string) string {
	text := "worker " + name + " is in quarantine"
	if p.guard.State(name) == health.Probation {
		text = "worker " + name + " is on probation with one task at a time"
	}
	failures := p.guard.Evidence(name)
	return fmt.Sprintf("%s: %d jobs failed there", text, len(failures))
}

func (p *Pool) preemptEvidence(j *job) []string {
	if j.preemptions == 0 {
		return nil
	}
	return []string{fmt.Sprintf("%d tasks were checkpointed and stopped, the last because %s; they run again", j.preemptions, j.preemptReason)}
}

// usageEvidence returns the declared sizes and run times that differ much from the observed ones.
func (p *Pool) usageEvidence(j *job) []string {
	if j.usage.Count() == 0 {
		return nil
	}
	var evidence []string
	peak, size := j.usage.Peak(), j.spec.Resources
	if 2*peak.CPU < size.CPU || 2*peak.Memory < size.Memory || (peak.Accel < size.Accel) {
		evidence = append(evidence, fmt.Sprintf("%d tasks used at most %s of the declared %s", j.usage.Count(), peak, size))
	}
	mean, declared := j.usage.Mean().Milliseconds(), j.spec.Duration
	if declared > 0 && (2*mean < declared || mean > 2*declared) {
		evidence = append(evidence, fmt.Sprintf("tasks run %d ms on average; %d ms are declared", mean, declared))
	}
	return evidence
}
