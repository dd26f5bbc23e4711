package core

import (
	"maps"
	"slices"
	"time"

	"github.com/hashicorp/go-hclog"

	"plantainfold.example/fold"
	"plantainfold.example/fold/flow"
)

// Explanation tells where the tasks of a job would go if it were submitted now.
type Explanation struct {
	Queue string            `json:"queue"`
	Team  string            `json:"team"`
	Steps []StepExplanation `json:"steps"`
}

// StepExplanation tells where the tasks of a step would go now.
type StepExplanation struct {
	Step  int `json:"step"`
	Tasks int `json:"tasks"`
	// Class and Rank give the place of the step in the order of all waiting work; lower ranks come first.
	Class string `json:"class"`
	Rank  int    `json:"rank"`
	// TasksAhead counts the waiting tasks of other jobs that come first, as of the last round of decisions.
	TasksAhead int `json:"ahead"`
	// After lists the steps that must be done first. Nothing is placed before.
	After []int `json:"after,omitempty"`
	// NotBefore is the time until the step is due. Nothing is placed before.
	NotBefore time.Duration `json:"notbefore,omitempty"`
	// Hosts counts the hosts of the queue's service, Usable those that can take a task now.
	Hosts  int `json:"hosts"`
	Usable int `json:"usable"`
	// Excluded counts the other hosts by reason.
	Excluded map[string]int `json:"excluded,omitempty"`
	// Advised reports whether the adviser must approve the hosts first. Chosen then assumes that it approves all of them.
	Advised bool `json:"advised,omitempty"`
	// Chosen lists the hosts in the order in which they are chosen.
	Chosen []ChosenHost `json:"chosen,omitempty"`
	// Unplaced counts the tasks that find no host now.
	Unplaced int `json:"unplaced,omitempty"`
	// TeamLimit reports whether the limit of the team keeps the next task from starting.
	TeamLimit bool `json:"limit,omitempty"`
	// MayPreempt reports whether runs of other jobs may be stopped for the step.
	MayPreempt bool `json:"preempts,omitempty"`
}

// ChosenHost is a host that is chosen for tasks of a step.
type ChosenHost struct {
	Host  string `json:"host"`
	Tasks int    `json:"tasks"`
	// Score is the score of the host for the first of these tasks; the lowest is the best.
	Score float64 `json:"score"`
}

// explainedID stands for the id of the job. It sorts after all other ids, so that work of equal rank counts as ahead.
const explainedID = "~"

// classNames holds the names of the classes in explanations.
var classNames = [...]string{classLongRunning: "long-running", classTimely: "in time", classLate: "late", classOverRate: "over rate", classWorthless: "worthless"}

// Explain returns where the tasks of a job would go if the team submitted it to the queue now. It changes no state of the cell
// and writes no log.
func (c *Cell) Explain(queue, team string, spec flow.Job) (Explanation, error) {
	q, ok := c.queues[queue]
	if !ok {
		return Explanation{}, fold.Refuse(fold.NotFound, "name a queue of the configuration", "the configuration has no queue %q", queue)
	}
	known := slices.ContainsFunc(c.rules.Teams, func(r fold.TeamRule) bool { return r.Name == team })
	if !known && (team != "" || !q.Anonymous) {
		return Explanation{}, fold.Refuse(fold.NotFound, "name a team of the configuration", "the configuration has no team %q", team)
	}
	spec.ID, spec.Team, spec.Queue, spec.Accepted = explainedID, team, q, c.wall
	if err := spec.Validate(); err != nil {
		return Explanation{}, err
	}
	view := c.view(team)
	j := &job{spec: spec, queue: q, state: flow.Queued, parts: make([][]*part, spec.Occurrences())}
	view.setDeadlines(j)
	parts := slices.Clone(j.occurrence(0))
	for _, p := range parts {
		view.rankPart(p)
	}
	slices.SortStableFunc(parts, compareParts)
	explanation := Explanation{Queue: queue, Team: team, Steps: make([]StepExplanation, len(parts))}
	for _, p := range parts {
		explanation.Steps[p.index] = view.explainPart(p)
	}
	return explanation, nil
}

// view returns a copy of the cell for decisions about a job of the team that is not in the cell. The hosts and what decisions
// about such a job change are copied; everything else is shared and must not be changed.
func (c *Cell) view(teamName string) *Cell {
	v := *c
	v.log = hclog.NewNullLogger()
	v.candidateBuffer = nil
	v.runTimeFactors = maps.Clone(c.runTimeFactors)
	v.teams = maps.Clone(c.teams)
	if t, ok := c.teams[teamName]; ok {
		copied := *t
		v.teams[teamName] = &copied
	}
	v.hosts = make(map[string]*host, len(c.hostsByID))
	v.hostsByID = make([]*host, len(c.hostsByID))
	for i, h := range c.hostsByID {
		copied := *h
		v.hosts[h.info.ID], v.hostsByID[i] = &copied, &copied
	}
	v.open = make(map[string][]*host)
	v.maxFree = make(map[string]fold.Resources)
	v.openCapacity = make(map[string]openCapacity)
	v.updateOpenHosts()
	return &v
}

// explainPart decides about a part in a view and charges the chosen hosts of the view.
func (c *Cell) explainPart(p *part) StepExplanation {
	e := StepExplanation{
		Step: p.index, Tasks: len(p.tasks), Class: classNames[c.class(p)], Rank: p.rank, After: p.step.After,
		Advised: p.job.queue.Advice != nil, Unplaced: p.waitingTasks, MayPreempt: !p.step.Gang && c.mayPreempt(p), Excluded: make(map[string]int),
	}
	if due := p.job.spec.Due(0); due > c.wall {
		e.NotBefore = time.Duration(due-c.wall) * time.Millisecond
	}
	var held heldRoom
	defer func() { held.release() }()
	for _, other := range c.active {
		if other.job.state.Final() || compareParts(other, p) > 0 {
			continue
		}
		e.TasksAhead += other.waitingTasks
		for _, r := range other.reservations {
			if h, ok := c.hosts[r.host.info.ID]; ok {
				held.charge(h, other.step.Claim())
			}
		}
	}
	c.countExcluded(p, &e)
	if len(e.After) > 0 || e.NotBefore > 0 {
		return e
	}
	c.placeExplained(p, &e)
	return e
}

// countExcluded counts the hosts of the part's service by the reason for which they cannot take a task.
func (c *Cell) countExcluded(p *part, e *StepExplanation) {
	for _, h := range c.hostsByID {
		if h.info.Service != p.job.queue.Service {
			continue
		}
		e.Hosts++
		reason := h.whyClosed(c.now)
		if reason == "" {
			reason = c.whyExcluded(p, h)
		}
		if reason == "" {
			e.Usable++
			continue
		}
		e.Excluded[reason]++
	}
}

// placeExplained chooses hosts for the tasks of a part as planPart and planGang do, as if the adviser had approved all hosts.
func (c *Cell) placeExplained(p *part, e *StepExplanation) {
	hosts, next := c.openHostsFor(p), p.step.Size
	var gang []*host
	if p.step.Gang {
		gang, next = c.chooseGangHosts(p, hosts), p.step.Size.Times(int64(len(p.tasks)))
	}
	at := make(map[*host]int)
	for i := range p.tasks {
		var h *host
		switch {
		case !p.step.Gang:
			h = c.chooseHost(p, &p.tasks[i], hosts, nil)
		case gang != nil:
			h = gang[i]
		}
		if h == nil {
			e.TeamLimit = !c.withinLimit(p.job.spec.Team, next)
			return
		}
		if _, ok := at[h]; !ok {
			at[h] = len(e.Chosen)
			e.Chosen = append(e.Chosen, ChosenHost{Host: h.info.ID, Score: c.score(p, &p.tasks[i], h, p.step.Claim())})
		}
		e.Chosen[at[h]].Tasks++
		e.Unplaced--
		c.claim(p, h)
	}
}
