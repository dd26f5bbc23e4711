package plain

import (
	"plantainfold.example/fold"
	"plantainfold.example/fold/place"
	"plantainfold.example/fold/sched"
)

// taskGroup describes tasks that must start together: their size and their number, which is 1 unless the job is a gang.
type taskGroup struct {
	size  fold.Resources
	count int
}

// queuedJob is a job in the queue and the index of its next task to start.
type queuedJob struct {
	spec     fold.Job
	nextTask int
}

// Queue starts tasks in the order in which their jobs were submitted. A strict queue stops at the first task that does not
// fit. Otherwise it continues with later tasks.
type Queue struct {
	pick    Pick
	strict  bool
	nodes   []place.Worker
	byName  map[string]int
	jobs    []*queuedJob
	specs   map[string]fold.Job
	started map[fold.TaskID]bool
}

// New returns a queue for idle workers.
func New(pick Pick, strict bool, nodes []place.Worker) *Queue {
	q := &Queue{
		pick: pick, strict: strict, nodes: nodes,
		byName: make(map[string]int), specs: make(map[string]fold.Job), started: make(map[fold.TaskID]bool),
	}
	for i, n := range nodes {
		q.byName[n.Name] = i
	}
	return q
}

// Submit appends a job to the queue.
func (q *Queue) Submit(_ fold.Instant, spec fold.Job) {
	q.specs[spec.ID] = spec
	q.jobs = append(q.jobs, &queuedJob{spec: spec})
}

// Confirm does nothing, because workers never refuse a start.
func (q *Queue) Confirm(string, []fold.StartResult) {}

// Stops returns nil, because the policy never stops a task.
func (q *Queue) Stops() []sched.Stop {
	return nil
}

// Observe frees the capacity of tasks that ended.
func (q *Queue) Observe(_ fold.Instant, worker string, events []fold.TaskEvent) {
	for _, e := range events {
		if q.started[e.Task] {
			delete(q.started, e.Task)
			n := &q.nodes[q.byName[worker]]
			n.Used = n.Used.Sub(q.specs[e.Task.Job].Resources)
		}
	}
}

// Decide returns the starts that fit now. All tasks of a gang start together or none.
func (q *Queue) Decide(_ fold.Instant, limit int) []sched.Start {
	var starts []sched.Start
	refused := make(map[taskGroup]bool)
	waiting := q.jobs[:0]
	for _, j := range q.jobs {
		for len(starts) < limit && j.nextTask < j.spec.Count && !(q.strict && len(refused) > 0) {
			placed := q.place(j, refused)
			if len(placed) == 0 {
				break
			}
			starts = append(starts, placed...)
		}
		if j.nextTask < j.spec.Count {
			waiting = append(waiting, j)
		}
	}
	q.jobs = waiting
	return starts
}

func (q *Queue) place(j *queuedJob, refused map[taskGroup]bool) []sched.Start {
	s := taskGroup{size: j.spec.Resources, count: 1}
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
		id := fold.TaskID{Job: j.spec.ID, Index: j.nextTask}
		j.nextTask++
		q.started[id] = true
		starts = append(starts, sched.Start{Worker: q.nodes[i].Name, Task: fold.WorkerTask{
			Task: id, Attempt: 1, Resources: s.size, Duration: j.spec.Duration,
		}})
	}
	return starts
}
