package audit

import (
	"cmp"
	"math"
	"slices"

	"plantainfold.example/fold"
)

// edge is the begin or the end of a run.
type edge struct {
	at    fold.Instant
	begin bool
	run   Run
}

// edges returns the begins and ends of runs in order of time, ends first at the same instant.
func edges(runs []Run) []edge {
	all := make([]edge, 0, 2*len(runs))
	for _, run := range runs {
		all = append(all, edge{at: run.Begin, begin: true, run: run}, edge{at: endOf(run), run: run})
	}
	slices.SortStableFunc(all, func(a, b edge) int {
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
	// A run without length still begins before it ends.
	return max(r.End, r.Begin+1)
}

// checkCapacity finds instants at which the runs on a worker hold more than its capacity.
func checkCapacity(r *report, h History) {
	used := make(map[string]fold.Resources)
	for _, e := range edges(h.Runs) {
		name := e.run.Worker
		if !e.begin {
			used[name] = used[name].Sub(e.run.Resources)
			continue
		}
		used[name] = used[name].Add(e.run.Resources)
		if capacity, known := h.Capacity[name]; known && !used[name].Fits(capacity) {
			r.add("worker %s holds %s of %s at %d after task %s", name, used[name], capacity, e.at, e.run.Task)
		}
	}
}

// checkPlaces finds tasks that run in two places at once.
func checkPlaces(r *report, h History) {
	running := make(map[fold.TaskID]string)
	count := make(map[fold.TaskID]int)
	for _, e := range edges(h.Runs) {
		id := e.run.Task
		if !e.begin {
			count[id]--
			continue
		}
		if count[id] > 0 {
			r.add("task %s runs on %s and on %s at %d", id, running[id], e.run.Worker, e.at)
		}
		count[id]++
		running[id] = e.run.Worker
	}
}

// checkLimits finds starts that bring a team over its limit. A lowered limit allows no new starts after Spread, but
// what runs may end.
func checkLimits(r *report, h History) {
	teams := make(map[string]string, len(h.Jobs))
	for _, j := range h.Jobs {
		teams[j.Job.ID] = j.Job.Team
	}
	used := make(map[string]fold.Resources)
	for _, e := range edges(h.Runs) {
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
			r.add("team %s runs %s of %s at %d after task %s", team, used[team], limit, e.at, e.run.Task)
		}
	}
}

// limitAt returns the largest limit that was in force within Spread before an instant.
func limitAt(limits []Limit, team string, at fold.Instant) (fold.Resources, bool) {
	var largest, last fold.Resources
	set := false
	for _, l := range limits {
		if l.Team != team || l.From > at {
			continue
		}
		if l.From <= at.Add(-Spread) {
			largest = l.Limit
		}
		last = l.Limit
		largest = largest.Max(last)
		set = true
	}
	return largest, set
}

// checkWork finds accepted jobs with tasks that never finished, once all should have ended.
func checkWork(r *report, h History) {
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
			r.add("%d tasks of accepted job %s never finished, %d were reported as unknown", missing, j.Job.ID, j.Unknown)
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

// baseRuns returns the runs with the ids of jobs in place of those of moved parts, so that a task is the same wherever
// it runs.
func baseRuns(runs []Run) []Run {
	base := make([]Run, len(runs))
	for i, r := range runs {
		r.Task.Job = fold.BaseID(r.Task.Job)
		base[i] = r
	}
	return base
}
