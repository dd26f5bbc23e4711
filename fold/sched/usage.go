package sched

import (
	"sort"

	"plantainfold.example/fold"
)

// Usage is what a team uses and waits for in the pool.
type Usage struct {
	Team      string
	Weight    int
	Used      fold.Resources
	Allotment fold.Resources
	// Waiting counts tasks.
	Waiting int
}

// Usage returns the teams that use or wait for capacity, in order of name.
func (p *Pool) Usage() []Usage {
	waiting := make(map[string]int)
	for _, j := range p.jobs {
		if !j.halted() {
			waiting[j.spec.Team] += j.counts[phaseWaiting]
		}
	}
	var list []Usage
	for name, t := range p.teams {
		u := Usage{Team: name, Weight: t.share, Used: t.used, Allotment: t.allotment, Waiting: waiting[name]}
		if u.Waiting > 0 || !u.Used.IsZero() {
			list = append(list, u)
		}
	}
	sort.Slice(list, func(i, k int) bool { return list[i].Team < list[k].Team })
	return list
}

// Overcommitted counts the workers whose tasks hold more than their capacity; it must be 0.
func (p *Pool) Overcommitted() int {
	n := 0
	for name, w := range p.workers {
		node, ok := p.index.Node(name)
		if !ok {
			continue
		}
		var held fold.Resources
		for _, t := range w.tasks {
			held = held.Add(t.size)
		}
		if !held.Fits(node.Capacity) {
			n++
		}
	}
	return n
}

// WaitTime returns how long the task of a start waited, in milliseconds.
func (p *Pool) WaitTime(s Start) (int64, bool) {
	j, ok := p.jobs[s.Task.Task.Job]
	if !ok {
		return 0, false
	}
	for i := len(j.places) - 1; i >= 0; i-- {
		if j.places[i].Task == s.Task.Task && j.places[i].Attempt == s.Task.Attempt {
			return j.places[i].Waited, true
		}
	}
	return 0, false
}
