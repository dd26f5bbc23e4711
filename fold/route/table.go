package route

import (
	"math/rand/v2"

	"plantainfold.example/fold"
)

// Window is how many requests an entry has under way at one endpoint; 16 entries share its 64 connections.
const Window = 4

// target is one endpoint.
type target struct {
	instance fold.Instance
	inflight int
	running  int
}

// Table holds the endpoints of one service. It is not safe for concurrent use.
type Table struct {
	targets map[string]*target
	order   []string
	domain  string
	random  *rand.Rand
}

// New returns a table without endpoints for an entry in the failure domain.
func New(domain string, random *rand.Rand) *Table {
	return &Table{targets: make(map[string]*target), domain: domain, random: random}
}

// Update replaces the endpoints; leaving ones get no new requests.
func (t *Table) Update(instances []fold.Instance) {
	t.order = t.order[:0]
	present := make(map[string]bool, len(instances))
	for _, in := range instances {
		if in.State != fold.Live {
			continue
		}
		present[in.Name] = true
		t.order = append(t.order, in.Name)
		if old, ok := t.targets[in.Name]; ok {
			old.instance = in
			continue
		}
		t.targets[in.Name] = &target{instance: in}
	}
	for name, old := range t.targets {
		if !present[name] && old.inflight == 0 {
			delete(t.targets, name)
		}
	}
}

// Acquire takes a place at the less loaded of two random endpoints with a free window, skipping the avoided ones.
func (t *Table) Acquire(avoid map[string]bool) (fold.Instance, bool) {
	var free []*target
	for _, name := range t.order {
		candidate := t.targets[name]
		if candidate.inflight < Window && !avoid[name] {
			free = append(free, candidate)
		}
	}
	if len(free) == 0 {
		return fold.Instance{}, false
	}
	chosen := free[t.random.IntN(len(free))]
	other := free[t.random.IntN(len(free))]
	if t.cost(other) < t.cost(chosen) {
		chosen = other
	}
	chosen.inflight++
	return chosen.instance, true
}

// Release returns a place; running is the load that the endpoint reported, or -1.
func (t *Table) Release(name string, running int) {
	done, ok := t.targets[name]
	if !ok {
		return
	}
	done.inflight--
	if running >= 0 {
		done.running = running
	}
}

// cost orders endpoints by load, then by locality.
func (t *Table) cost(c *target) float64 {
	cost := float64(c.inflight) + float64(c.running)
	if c.instance.Domain != t.domain {
		cost += 0.5
	}
	return cost
}
