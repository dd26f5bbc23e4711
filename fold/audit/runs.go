package audit

import (
	"cmp"
	"math"
	"slices"

	"plantainfold.example/fold"
)

// boundary is the begin or the end of a run.
type boundary struct {
	at    fold.Instant
	begin bool
	run   Run
}

// boundaries returns the begins and ends of runs, ordered by time. At the same instant, ends come first.
func boundaries(runs []Run) []boundary {
	all := make([]boundary, 0, 2*len(runs))
	for _, run := range runs {
		all = append(all, boundary{at: run.Begin, begin: true, run: run}, boundary{at: endOf(run), run: run})
	}
	slices.SortStableFunc(all, func(a, b boundary) int {
		if a.at != b.at {
			return cmp.Compare(a.at, b.at)
		}
		switch {
		case a.begin == b.begin:
			return 0
		case a.begin:
			return 1
		default:
			return -1
		}
	})
	return all
}

func endOf(r Run) fold.Instant {
	if r.End == 0 {
		return math.MaxInt64
	}
	// A run of zero length must still begin before it ends.
	return max(r.End, r.Begin+1)
}

// checkCapacity finds instants at which the runs on a worker use more than its capacity.
func checkCapacity(r *report, h History) {
	used := make(map[string]fold.Resources)
	for _, e := range boundaries(h.Runs) {
		name := e.run.Worker
		if !e.begin {
			used[name] = used[name].Sub(e.run.Resources)
			continue
		}
		used[name] = used[name].Add(e.run.Resources)
		if capacity, known := h.Capacity[name]; known && !used[name].Fits(capacity) {
			r.addFinding("worker %s holds %s of %s at %d after task %s", name, used[name], capacity, e.at, e.run.Task)
		}
	}
}

// checkDuplicateRuns finds tasks that have two runs at the same time.
func checkDuplicateRuns(r *report, h History) {
	running := make(map[fold.TaskID]string)
	count := make(map[fold.TaskID]int)
	for _, e := range boundaries(h.Runs) {
		id := e.run.Task
		if !e.begin {
			count[id]--
			continue
		}
		if count[id] > 0 {
			r.addFinding("task %s runs on %s and on %s at %d", id, running[id], e.run.Worker, e.at)
		}
		count[id]++
		running[id] = e.run.Worker
	}
}

// checkLimits finds starts that exceed the limit of a team. Once a limit was lowered for MaxSpreadTime, it applies to new
// starts, but running tasks are permitted to finish.
func checkLimits(r *report, h History) {
	teams := make(map[string]string, len(h.Jobs))
	for _, j := range h.Jobs {
		teams[j.Job.ID] = j.Job.Team
	}
	used := make(map[string]fold.Resources)
	for _, e := range boundaries(h.Runs) {
		team, known := teams[e.run.Task.Job]
		if !known {
			continue
		}
		if !e.begin {
			used[team] = used[team].Sub(e.run.Resources)
			continue
		}
		used[team] = used[team].Add(e.run.Resources)
		if limit, set := limitAt(h.Limits, team, e.at); set && !used[team].Fits(limit) {
			r.addFinding("team %s runs %s of %s at %d after task %s", team, used[team], limit, e.at, e.run.Task)
		}
	}
}

// limitAt returns the largest limit of a team that was in force within MaxSpreadTime before an instant.
func limitAt(limits []Limit, team string, at fold.Instant) (fold.Resources, bool) {
	var largest, last fold.Resources
	set := false
	for _, l := range limits {
		if l.Team != team || l.From > at {
			continue
		}
		if l.From <= at.Add(-MaxSpreadTime) {
			largest = l.Limit
		}
		last = l.Limit
		largest = largest.Max(last)
		set = true
	}
	return largest, set
}

// checkLostTasks finds accepted jobs with tasks that never finished, if all jobs should have ended.
func checkLostTasks(r *report, h History) {
	if !h.Ended {
		return
	}
	finished := finishedRuns(h.Runs)
	for _, j := range h.Jobs {
		if !j.Accepted || j.Cancelled || j.Job.Kind == fold.Service {
			continue
		}
		missing := 0
		for i := range j.Job.Count {
			if finished[fold.TaskID{Job: j.Job.ID, Index: j.Job.FirstTask + i}] == 0 {
				missing++
			}
		}
		if missing > j.Unknown {
			r.addFinding("%d tasks of accepted job %s never finished, %d were reported as unknown", missing, j.Job.ID, j.Unknown)
		}
	}
}

func finishedRuns(runs []Run) map[fold.TaskID]int {
	finished := make(map[fold.TaskID]int)
	for _, run := range runs {
		if run.State == fold.Done || run.State == fold.Failed {
			finished[run.Task]++
		}
	}
	return finished
}

// withBaseIDs returns the runs with the ids of the original jobs in place of the ids of moved parts, so that a task has
// the same id wherever it runs.
func withBaseIDs(runs []Run) []Run {
	base := make([]Run, len(runs))
	for i, r := range runs {
		r.Task.Job = fold.BaseID(r.Task.Job)
		base[i] = r
	}
	return base
}
