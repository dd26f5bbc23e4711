package plain

import (
	"plantainfold.example/fold"
	"plantainfold.example/fold/place"
	"plantainfold.example/fold/sched"
)

// shape is a size and, for gangs, the number of tasks that start at once.
type shape struct {
	size  fold.Resources
	count int
}

type job struct {
	spec fold.Job
	next int
}

// Queue starts tasks in the order of their jobs' arrival. A strict queue stops at the first task that does not fit; the
// others go on with later ones.
type Queue struct {
	pick    Pick
	strict  bool
	nodes   []place.Node
	byName  map[string]int
	jobs    []*job
	specs   map[string]fold.Job
	started map[fold.TaskID]bool
}

// New returns a queue over idle workers.
func New(pick Pick, strict bool, nodes []place.Node) *Queue {
	q := &Queue{
		pick: pick, strict: strict, nodes: nodes,
		byName: make(map[string]int), specs: make(map[string]fold.Job), started: make(map[fold.TaskID]bool),
	}
	for i, n := range nodes {
		q.byName[n.Name] = i
	}
	return q
}

// Submit adds a job at the end of the queue.
func (q *Queue) Submit(_ fold.Instant, spec fold.Job) {
	q.specs[spec.ID] = spec
	q.jobs = append(q.jobs, &job{spec: spec})
}

// Confirm ignores the answers of workers; they refuse nothing.
func (q *Queue) Confirm(string, []fold.StartResult) {}

// Stops returns nothing, because the policy never stops a task.
func (q *Queue) Stops() []sched.Stop {
	return nil
}

// Observe returns the capacity of ended tasks.
func (q *Queue) Observe(_ fold.Instant, worker string, events []fold.TaskEvent) {
	for _, e := range events {
		if q.started[e.Task] {
			delete(q.started, e.Task)
			n := &q.nodes[q.byName[worker]]
			n.Used = n.Used.Sub(q.specs[e.Task.Job].Resources)
		}
	}
}

// Decide returns the starts that fit now; a gang starts whole or not at all.
func (q *Queue) Decide(_ fold.Instant, limit int) []sched.Start {
	var starts []sched.Start
	refused := make(map[shape]bool)
	kept := q.jobs[:0]
	for _, j := range q.jobs {
		for len(starts) < limit && j.next < j.spec.Count && !(q.strict && len(refused) > 0) {
			placed := q.place(j, refused)
			if len(placed) == 0 {
				break
			}
			starts = append(starts, placed...)
		}
		if j.next < j.spec.Count {
			kept = append(kept, j)
		}
	}
	q.jobs = kept
	return starts
}

func (q *Queue) place(j *job, refused map[shape]bool) []sched.Start {
	s := shape{size: j.spec.Resources, count: 1}
	if j.spec.Kind == fold.Gang {
		s.count = j.spec.Count
	}
	if refused[s] {
		return nil
	}
	var chosen []int
	for range s.count {
		i := q.pick(q.nodes, s.size)
		if i < 0 {
			break
		}
		q.nodes[i].Used = q.nodes[i].Used.Add(s.size)
		chosen = append(chosen, i)
	}
	if len(chosen) < s.count {
		for _, i := range chosen {
			q.nodes[i].Used = q.nodes[i].Used.Sub(s.size)
		}
		refused[s] = true
		return nil
	}
	starts := make([]sched.Start, 0, s.count)
	for _, i := range chosen {
		id := fold.TaskID{Job: j.spec.ID, Index: j.next}
		j.next++
		q.started[id] = true
		starts = append(starts, sched.Start{Worker: q.nodes[i].Name, Task: fold.WorkerTask{
			Task: id, Attempt: 1, Resources: s.size, Duration: j.spec.Duration,
		}})
	}
	return starts
}
