package sched

import (
	"sort"

	"plantainfold.example/fold"
)

// Evict returns the stops for the running tasks that must leave a worker: services, because they never end by themselves,
// or every task if all is set. It returns each task once.
func (p *Pool) Evict(worker string, all bool) []Stop {
	w, ok := p.workers[worker]
	if !ok {
		return nil
	}
	var stops []Stop
	for id, t := range w.tasks {
		if t.phase == phaseRunning && !t.stopSent && (all || t.job.spec.Kind == fold.Service) {
			t.stopSent = true
			t.evicted = true
			stops = append(stops, Stop{Worker: worker, Task: id, Checkpoint: true})
		}
	}
	sort.Slice(stops, func(i, k int) bool { return stops[i].Task.String() < stops[k].Task.String() })
	return stops
}

// OnWorker returns the tasks that hold capacity of a worker; it reports false if the worker is not adopted.
func (p *Pool) OnWorker(worker string) ([]fold.TaskID, bool) {
	w, ok := p.workers[worker]
	if !ok {
		return nil, false
	}
	ids := make([]fold.TaskID, 0, len(w.tasks))
	for id := range w.tasks {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, k int) bool { return ids[i].String() < ids[k].String() })
	return ids, w.adopted
}

// Select returns the ids of the jobs that have not ended and for which match is true, with their waiting and active tasks.
func (p *Pool) Select(match func(fold.Job) bool) map[string]int {
	found := make(map[string]int)
	for id, j := range p.jobs {
		if match(j.spec) && !j.state().Ended() {
			found[id] = j.counts[phaseWaiting] + j.active()
		}
	}
	return found
}
