package sched

import (
	"plantainfold.example/fold"
	"plantainfold.example/fold/place"
)

// Team is what the manifest and the table service say of a team in this pool.
type Team struct {
	Name string
	// Share is the team's weight when the pool is full.
	Share int
	// Allotment is the part of the team's limit that this pool holds.
	Allotment fold.Resources
}

// team is the state of one team in the pool.
type team struct {
	share     int
	allotment fold.Resources
	used      fold.Resources
	queue     []*job
}

// Pool schedules the jobs of one pool on its workers. It is not safe for concurrent use.
type Pool struct {
	id      string
	index   *place.Index
	teams   map[string]*team
	jobs    map[string]*job
	workers map[string]*worker
	held    bool
	orphans map[fold.TaskID]string
}

// worker is the state of one worker of the pool.
type worker struct {
	adopted bool
	leaving bool
	tasks   map[fold.TaskID]*task
}

// New returns a pool without workers and jobs.
func New(id string) *Pool {
	return &Pool{
		id:      id,
		index:   place.New(),
		teams:   make(map[string]*team),
		jobs:    make(map[string]*job),
		workers: make(map[string]*worker),
		orphans: make(map[fold.TaskID]string),
	}
}

// SetTeam sets the share and the allotment of a team.
func (p *Pool) SetTeam(t Team) {
	state := p.team(t.Name)
	state.share = max(t.Share, 1)
	state.allotment = t.Allotment
}

// SetHeld stops or allows the start of tasks that were accepted under an earlier owner.
func (p *Pool) SetHeld(held bool) {
	p.held = held
}

// SetLeaving stops or allows new starts on a worker.
func (p *Pool) SetLeaving(name string, leaving bool) {
	if w, ok := p.workers[name]; ok {
		w.leaving = leaving
	}
}

// Needs returns for each team what it uses and waits for in this pool.
func (p *Pool) Needs() map[string]fold.Resources {
	needs := make(map[string]fold.Resources, len(p.teams))
	capacity, _ := p.index.Totals()
	for name, t := range p.teams {
		need := t.used
		for _, j := range t.queue {
			need = need.Add(j.spec.Resources.Times(int64(j.count(phaseWaiting))))
		}
		needs[name] = need.Min(capacity.Max(t.used))
	}
	return needs
}

// Used returns what a team uses in this pool.
func (p *Pool) Used(name string) fold.Resources {
	return p.team(name).used
}

// Status returns the counts of the pool.
func (p *Pool) Status() fold.PoolStatus {
	capacity, used := p.index.Totals()
	s := fold.PoolStatus{Pool: p.id, Workers: len(p.workers), Capacity: capacity, Used: used}
	for _, w := range p.workers {
		if w.adopted {
			s.Adopted++
		}
	}
	for _, j := range p.jobs {
		s.Waiting += j.count(phaseWaiting)
		s.Running += j.count(phaseStarting) + j.count(phaseRunning)
	}
	return s
}

// Largest returns the largest capacity of any worker in each dimension.
func (p *Pool) Largest() fold.Resources {
	return p.index.Largest()
}

func (p *Pool) team(name string) *team {
	t, ok := p.teams[name]
	if !ok {
		t = &team{share: 1}
		p.teams[name] = t
	}
	return t
}
