package sched

import "plantainfold.example/fold"

// Team holds the settings of a team in this pool, from the manifest and the table service.
type Team struct {
	Name string
	// Weight is the weight by which a full pool is divided among the teams.
	Weight int
	// Allotment is the part of the team's limit that this pool holds.
	Allotment fold.Resources
}

// team is the state of one team in the pool.
type team struct {
	name   string
	weight int
	// allotment is the part of the team's limit that this pool holds.
	allotment fold.Resources
	// used is the capacity that the tasks of the team hold.
	used fold.Resources
	// waitingSize is the total size of the waiting tasks of jobs that are neither cancelled nor parked.
	waitingSize fold.Resources
	queue       queue
	// preemptedSize is the total size of the team's tasks that are preempted and still hold capacity.
	preemptedSize fold.Resources
	// fairShare is the team's weight divided by that of all teams with active or waiting tasks.
	fairShare float64
	// belowSince is when the team was first seen below its fair share with a startable job, or 0.
	belowSince fold.Instant
}

// weightedUse returns the team's dominant share of the capacity divided by its weight.
func (t *team) weightedUse(capacity fold.Resources) float64 {
	return t.used.Dominant(capacity) / float64(t.weight)
}

// allows reports whether r more fits into the team's allotment.
func (t *team) allows(r fold.Resources) bool {
	return t.used.Add(r).Fits(t.allotment)
}

// team returns the state of a team and creates it if needed.
func (p *Pool) team(name string) *team {
	t, ok := p.teams[name]
	if !ok {
		t = &team{name: name, weight: 1, queue: queue{byKey: make(map[laneKey]*lane)}}
		p.teams[name] = t
		p.teamList = append(p.teamList, t)
	}
	return t
}

// SetTeam sets the weight and the allotment of a team.
func (p *Pool) SetTeam(t Team) {
	state := p.team(t.Name)
	state.weight = max(t.Weight, 1)
	state.allotment = t.Allotment
}

// Needs returns for each team the capacity that its active and waiting tasks need, at most that of the pool or what it
// uses.
func (p *Pool) Needs() map[string]fold.Resources {
	needs := make(map[string]fold.Resources, len(p.teams))
	capacity, _ := p.index.Totals()
	for name, t := range p.teams {
		needs[name] = t.used.Add(t.waitingSize).Min(capacity.Max(t.used))
	}
	return needs
}

// Used returns the capacity that the tasks of a team hold in this pool.
func (p *Pool) Used(name string) fold.Resources {
	return p.team(name).used
}
