package sched

import (
	"sort"

	"plantainfold.example/fold"
)

// Usage reports the use and the waiting tasks of a team in the pool.
type Usage struct {
	Team string
	// Weight is the weight of the team.
	Weight    int
	Used      fold.Resources
	Allotment fold.Resources
	// Waiting is the number of waiting tasks.
	Waiting int
}

// Usage returns the teams with active or waiting tasks, sorted by name.
func (p *Pool) Usage() []Usage {
	waiting := make(map[string]int)
	for _, j := range p.jobs {
		if !j.halted() {
			waiting[j.spec.Team] += j.counts[phaseWaiting]
		}
	}
	var list []Usage
	for name, t := range p.teams {
		u := Usage{Team: name, Weight: t.weight, Used: t.used, Allotment: t.allotment, Waiting: waiting[name]}
		if u.Waiting > 0 || !u.Used.IsZero() {
			list = append(list, u)
		}
	}
	sort.Slice(list, func(i, k int) bool { return list[i].Team < list[k].Team })
	return list
}

// Overcommitted counts the workers whose tasks hold more than the capacity of the worker. It must be 0.
func (p *Pool) Overcommitted() int {
	n := 0
	for name, w := range p.workers {
		node, ok := p.index.Node(name)
		if !ok {
			continue
		}
		var used fold.Resources
		for _, t := range w.tasks {
			used = used.Add(t.size)
		}
		if !used.Fits(node.Capacity) {
			n++
		}
	}
	return n
}

// WaitTime returns how long the task of a start waited, in milliseconds; it reports false if the placement is not kept.
func (p *Pool) WaitTime(s Start) (int64, bool) {
	j, ok := p.jobs[s.Task.Task.Job]
	if !ok {
		return 0, false
	}
	for i := len(j.placements) - 1; i >= 0; i-- {
		if j.placements[i].Task == s.Task.Task && j.placements[i].Attempt == s.Task.Attempt {
			return j.placements[i].Waited, true
		}
	}
	return 0, false
}
