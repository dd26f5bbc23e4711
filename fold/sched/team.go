package sched

import "plantainfold.example/fold"

// Team is what the manifest and the table service say of a team in this pool.
type Team struct {
	Name string
	// Weight is the team's weight when the pool is full.
	Weight int
	// Allotment is the part of the team's limit that this pool holds.
	Allotment fold.Resources
}

// team is the state of one team in the pool.
type team struct {
	name      string
	share     int
	allotment fold.Resources
	used      fold.Resources
	// wanted is the size of all waiting tasks that may start.
	wanted fold.Resources
	queue  queue
	// leaving is the size of running tasks that were told to make room.
	leaving fold.Resources
	// fair is the team's part of the capacity by weight, among the teams that use or want some.
	fair float64
	// low is the instant since which the team is below its share with work waiting, or 0.
	low fold.Instant
}

// ratio is the team's dominant part of the capacity for each unit of its share.
func (t *team) ratio(capacity fold.Resources) float64 {
	return t.used.Dominant(capacity) / float64(t.share)
}

// allows reports whether the team may start r more.
func (t *team) allows(r fold.Resources) bool {
	return t.used.Add(r).Fits(t.allotment)
}

func (p *Pool) team(name string) *team {
	t, ok := p.teams[name]
	if !ok {
		t = &team{name: name, share: 1, queue: queue{byKey: make(map[laneKey]*lane)}}
		p.teams[name] = t
		p.order = append(p.order, t)
	}
	return t
}

// SetTeam sets the share and the allotment of a team.
func (p *Pool) SetTeam(t Team) {
	state := p.team(t.Name)
	state.share = max(t.Weight, 1)
	state.allotment = t.Allotment
}

// Needs returns for each team what it uses and waits for in this pool.
func (p *Pool) Needs() map[string]fold.Resources {
	needs := make(map[string]fold.Resources, len(p.teams))
	capacity, _ := p.index.Totals()
	for name, t := range p.teams {
		needs[name] = t.used.Add(t.wanted).Min(capacity.Max(t.used))
	}
	return needs
}

// Used returns what a team uses in this pool.
func (p *Pool) Used(name string) fold.Resources {
	return p.team(name).used
}
