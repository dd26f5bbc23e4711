package sched

import (
	"plantainfold.example/fold"
)

// Progress is the part of a job record that holds the ended tasks of a job part. Bit i of each set is task FirstTask+i.
type Progress struct {
	Done   []byte `json:"done,omitempty"`
	Failed []byte `json:"failed,omitempty"`
	// Unknown is the set of tasks that may have run and must not run twice.
	Unknown []byte `json:"unknown,omitempty"`
	// Moved is the set of tasks in the range that another part runs.
	Moved []byte `json:"moved,omitempty"`
	// Cancelled is set if the job was cancelled.
	Cancelled bool `json:"cancelled,omitempty"`
	// Parked is set if the job failed on several workers and starts no more tasks.
	Parked bool `json:"parked,omitempty"`
}

// Submit adds a job that this owner of the pool accepted.
func (p *Pool) Submit(now fold.Instant, spec fold.Job) {
	p.advanceClock(now)
	p.add(newJob(now, spec, false))
}

// Receive adds a job part that was moved here from another pool.
func (p *Pool) Receive(now fold.Instant, spec fold.Job, progress Progress) {
	p.advanceClock(now)
	p.restore(newJob(now, spec, false), progress)
}

// Restore adds a job that an earlier owner of the pool accepted.
func (p *Pool) Restore(now fold.Instant, spec fold.Job, progress Progress) {
	p.advanceClock(now)
	p.restore(newJob(now, spec, true), progress)
}

func (p *Pool) restore(j *job, progress Progress) {
	if !p.add(j) {
		return
	}
	for i := range j.tasks {
		switch {
		case hasBit(progress.Done, i):
			p.setPhase(&j.tasks[i], phaseDone)
		case hasBit(progress.Failed, i):
			p.setPhase(&j.tasks[i], phaseFailed)
		case hasBit(progress.Unknown, i):
			p.setPhase(&j.tasks[i], phaseUnknown)
		case hasBit(progress.Moved, i):
			p.setPhase(&j.tasks[i], phaseMoved)
		}
	}
	if progress.Cancelled {
		p.halt(j, &j.cancelled)
	}
	if progress.Parked {
		p.halt(j, &j.parked)
	}
}

// Cancel cancels a job; it reports false if the pool does not hold the job. Stops returns the tasks that must stop.
func (p *Pool) Cancel(id string) bool {
	j, ok := p.jobs[id]
	if !ok {
		return false
	}
	if j.cancelled || j.state().Ended() {
		return true
	}
	p.halt(j, &j.cancelled)
	if j.active() > 0 {
		p.pendingStops = append(p.pendingStops, stopRequest{job: j})
	}
	return true
}

// Forget removes a job that has ended, once Changes has returned its last state.
func (p *Pool) Forget(id string) {
	j, ok := p.jobs[id]
	if !ok || !j.state().Ended() || j.changed {
		return
	}
	delete(p.jobs, id)
	p.guard.RemoveJob(id)
}

// Job returns the status of a job.
func (p *Pool) Job(id string) (fold.JobStatus, bool) {
	j, ok := p.jobs[id]
	if !ok {
		return fold.JobStatus{}, false
	}
	return j.status(p.id), true
}

// Change is the current state of a job whose record is out of date.
type Change struct {
	Status   fold.JobStatus
	Progress Progress
}

// Changes returns at most limit jobs that changed and were not returned since, the oldest change first.
func (p *Pool) Changes(limit int) []Change {
	var changes []Change
	for len(p.dirty) > 0 && len(changes) < limit {
		j := p.dirty[0]
		p.dirty = p.dirty[1:]
		j.changed = false
		if p.jobs[j.spec.ID] == j {
			changes = append(changes, Change{Status: j.status(p.id), Progress: j.progress()})
		}
	}
	return changes
}

// MarkChanged marks a job as changed, so that Changes returns it again after its record could not be written.
func (p *Pool) MarkChanged(id string) {
	if j, ok := p.jobs[id]; ok {
		p.markDirty(j)
	}
}

// add adds a job; it reports false if the pool holds a job with the same id.
func (p *Pool) add(j *job) bool {
	if _, exists := p.jobs[j.spec.ID]; exists {
		return false
	}
	p.jobs[j.spec.ID] = j
	for i := range j.tasks {
		p.addToTotals(j, 1, &j.tasks[i])
	}
	p.enqueue(j)
	return true
}

func (j *job) progress() Progress {
	done := j.emptyProgress()
	done.Cancelled, done.Parked = j.cancelled, j.parked
	for i := range j.tasks {
		switch j.tasks[i].phase {
		case phaseDone:
			setBit(done.Done, i)
		case phaseFailed:
			setBit(done.Failed, i)
		case phaseUnknown:
			setBit(done.Unknown, i)
		case phaseMoved:
			setBit(done.Moved, i)
		default:
		}
	}
	return done
}

func hasBit(set []byte, i int) bool {
	return i/8 < len(set) && set[i/8]&(1<<(i%8)) != 0
}
