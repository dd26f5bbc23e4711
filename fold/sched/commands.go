package sched

import (
	"slices"

	"plantainfold.example/fold"
)

// Progress is what a record says of the ended tasks of a job part; bit i stands for task From+i.
type Progress struct {
	Done    []byte `json:"done,omitempty"`
	Failed  []byte `json:"failed,omitempty"`
	Unknown []byte `json:"unknown,omitempty"`
	// Cancelled says that the job was cancelled.
	Cancelled bool `json:"cancelled,omitempty"`
}

// Submit adds a job accepted by this owner.
func (p *Pool) Submit(now fold.Instant, spec fold.Job) {
	p.add(newJob(now, spec, false))
}

// Restore adds a job accepted under an earlier owner.
func (p *Pool) Restore(now fold.Instant, spec fold.Job, done Progress) {
	j := newJob(now, spec, true)
	for i, t := range j.tasks {
		switch {
		case bit(done.Done, i):
			j.move(t, phaseDone)
		case bit(done.Failed, i):
			j.move(t, phaseFailed)
		case bit(done.Unknown, i):
			j.move(t, phaseUnknown)
		}
	}
	j.cancelled = done.Cancelled
	p.add(j)
}

// Cancel stops a job; it reports false if the pool does not hold it.
func (p *Pool) Cancel(id string) bool {
	j, ok := p.jobs[id]
	if !ok {
		return false
	}
	if !j.cancelled && !j.state().Ended() {
		j.cancelled = true
		j.changed = true
	}
	return true
}

// Forget drops a job that has ended.
func (p *Pool) Forget(id string) {
	j, ok := p.jobs[id]
	if !ok || !j.state().Ended() {
		return
	}
	delete(p.jobs, id)
	p.unqueue(j)
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

// Changes returns the jobs that changed since the last call, at most limit of them.
func (p *Pool) Changes(limit int) []Change {
	var changes []Change
	for _, j := range p.jobs {
		if len(changes) == limit {
			break
		}
		if !j.changed {
			continue
		}
		j.changed = false
		changes = append(changes, Change{Status: j.status(p.id), Progress: j.progress()})
	}
	return changes
}

// Touch marks a job as changed, for a record that could not be written.
func (p *Pool) Touch(id string) {
	if j, ok := p.jobs[id]; ok {
		j.changed = true
	}
}

func (p *Pool) add(j *job) {
	if _, exists := p.jobs[j.spec.ID]; exists {
		return
	}
	p.jobs[j.spec.ID] = j
	t := p.team(j.spec.Team)
	at, _ := slices.BinarySearchFunc(t.queue, j, compare)
	t.queue = slices.Insert(t.queue, at, j)
}

func (p *Pool) unqueue(j *job) {
	t := p.team(j.spec.Team)
	if at := slices.Index(t.queue, j); at >= 0 {
		t.queue = slices.Delete(t.queue, at, at+1)
	}
}

// compare orders jobs of a team by priority, deadline, time of accept and id.
func compare(a, b *job) int {
	switch {
	case a.spec.Priority != b.spec.Priority:
		return b.spec.Priority - a.spec.Priority
	case a.spec.Deadline != b.spec.Deadline:
		return compareDeadline(a.spec.Deadline, b.spec.Deadline)
	case a.spec.Accepted != b.spec.Accepted:
		return sign(a.spec.Accepted - b.spec.Accepted)
	case a.spec.ID < b.spec.ID:
		return -1
	case a.spec.ID > b.spec.ID:
		return 1
	default:
		return 0
	}
}

// compareDeadline puts jobs without a deadline last.
func compareDeadline(a, b int64) int {
	switch {
	case a == 0:
		return 1
	case b == 0:
		return -1
	default:
		return sign(a - b)
	}
}

func sign(n int64) int {
	switch {
	case n < 0:
		return -1
	case n > 0:
		return 1
	default:
		return 0
	}
}

func (j *job) progress() Progress {
	bytes := (len(j.tasks) + 7) / 8
	done := Progress{Done: make([]byte, bytes), Failed: make([]byte, bytes), Unknown: make([]byte, bytes), Cancelled: j.cancelled}
	for i, t := range j.tasks {
		switch t.phase {
		case phaseDone:
			done.Done[i/8] |= 1 << (i % 8)
		case phaseFailed:
			done.Failed[i/8] |= 1 << (i % 8)
		case phaseUnknown:
			done.Unknown[i/8] |= 1 << (i % 8)
		default:
		}
	}
	return done
}

func bit(set []byte, i int) bool {
	return i/8 < len(set) && set[i/8]&(1<<(i%8)) != 0
}
