package sched

import (
	"plantainfold.example/fold"
)

// Progress is what a record says of the ended tasks of a job part; bit i stands for task From+i.
type Progress struct {
	Done    []byte `json:"done,omitempty"`
	Failed  []byte `json:"failed,omitempty"`
	Unknown []byte `json:"unknown,omitempty"`
	// Moved are tasks of the range that another part runs.
	Moved []byte `json:"moved,omitempty"`
	// Cancelled says that the job was cancelled.
	Cancelled bool `json:"cancelled,omitempty"`
	// Parked says that the job failed on several workers and does not start any more.
	Parked bool `json:"parked,omitempty"`
}

// Submit adds a job accepted by this owner.
func (p *Pool) Submit(now fold.Instant, spec fold.Job) {
	p.advance(now)
	p.add(newJob(now, spec, false))
}

// Receive adds a part that the owner of another pool moved here.
func (p *Pool) Receive(now fold.Instant, spec fold.Job, done Progress) {
	p.advance(now)
	p.restore(newJob(now, spec, false), done)
}

// Restore adds a job accepted under an earlier owner.
func (p *Pool) Restore(now fold.Instant, spec fold.Job, done Progress) {
	p.advance(now)
	p.restore(newJob(now, spec, true), done)
}

func (p *Pool) restore(j *job, done Progress) {
	if !p.add(j) {
		return
	}
	for i := range j.tasks {
		switch {
		case bit(done.Done, i):
			p.move(&j.tasks[i], phaseDone)
		case bit(done.Failed, i):
			p.move(&j.tasks[i], phaseFailed)
		case bit(done.Unknown, i):
			p.move(&j.tasks[i], phaseUnknown)
		case bit(done.Moved, i):
			p.move(&j.tasks[i], phaseMoved)
		}
	}
	if done.Cancelled {
		p.halt(j, &j.cancelled)
	}
	if done.Parked {
		p.halt(j, &j.parked)
	}
}

// Cancel stops a job; it reports false if the pool does not hold it. Its tasks are told by Stops.
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
		p.ending = append(p.ending, ending{job: j})
	}
	return true
}

// Forget drops a job that has ended and whose last state was returned by Changes.
func (p *Pool) Forget(id string) {
	j, ok := p.jobs[id]
	if !ok || !j.state().Ended() || j.changed {
		return
	}
	delete(p.jobs, id)
	p.guard.Ended(id)
}

// Job returns the status of a job.
func (p *Pool) Job(id string) (fold.JobStatus, bool) {
	j, ok := p.jobs[id]
	if !ok {
		return fold.JobStatus{}, false
	}
	return j.status(p.id), true
}

// Change is the new state of a job whose record is out of date.
type Change struct {
	Status   fold.JobStatus
	Progress Progress
}

// Changes returns the jobs that changed since the last call, longest ago first, at most limit of them.
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

// MarkChanged marks a job as changed, for a record that could not be written.
func (p *Pool) MarkChanged(id string) {
	if j, ok := p.jobs[id]; ok {
		p.markDirty(j)
	}
}

func (p *Pool) add(j *job) bool {
	if _, exists := p.jobs[j.spec.ID]; exists {
		return false
	}
	p.jobs[j.spec.ID] = j
	for i := range j.tasks {
		p.count(j, 1, &j.tasks[i])
	}
	p.enqueue(j)
	return true
}

func (j *job) progress() Progress {
	done := j.blank()
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

func bit(set []byte, i int) bool {
	return i/8 < len(set) && set[i/8]&(1<<(i%8)) != 0
}
