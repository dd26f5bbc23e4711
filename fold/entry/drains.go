package entry

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"plantainfold.example/fold"
	"plantainfold.example/fold/spec"
	"plantainfold.example/fold/store"
)

const (
	drainPrefix = "drain/"
	drainPeriod = time.Second
	// maxGrace bounds the grace of a drain.
	maxGrace = 7 * 24 * time.Hour
	// maxDrains bounds the drains that exist at the same time.
	maxDrains = 1000
)

// Drain begins a drain; beginning it again changes its grace.
func (e *Entry) Drain(ctx context.Context, c fold.Caller, d fold.Drain) (fold.DrainStatus, error) {
	if err := requireOperator(c); err != nil {
		return fold.DrainStatus{}, err
	}
	if err := e.checkDrain(d); err != nil {
		return fold.DrainStatus{}, err
	}
	d.Who, d.Began, d.Manifest = c.KeyID, time.Now().UnixMilli(), false
	_, err := e.change(ctx, c, func(headRow) (edit, error) {
		now := e.current.Load()
		if old, ok := now.drains[d.ID()]; ok {
			d.Began, d.Manifest = old.Began, old.Manifest
		} else if len(now.drains) >= maxDrains {
			return edit{}, fold.Refuse(fold.Invalid, "end old drains first", "there are %d drains", maxDrains)
		}
		one := edit{summary: fmt.Sprintf("drain %s with a grace of %s", d.ID(), time.Duration(d.Grace)*time.Millisecond)}
		return one, one.begin(d)
	})
	return fold.DrainStatus{Drain: d}, err
}

// Undrain returns what was drained to use.
func (e *Entry) Undrain(ctx context.Context, c fold.Caller, kind, name string) (fold.Revision, error) {
	if err := requireOperator(c); err != nil {
		return fold.Revision{}, err
	}
	id := fold.Drain{Kind: kind, Name: name}.ID()
	return e.change(ctx, c, func(headRow) (edit, error) {
		d, ok := e.current.Load().drains[id]
		switch {
		case !ok:
			return edit{}, fold.Refuse(fold.NotFound, "list the drains", "no drain %q", id)
		case d.Manifest:
			return edit{}, fold.Refuse(fold.Invalid, "remove it from retire and apply the manifest", "drain %s belongs to the manifest", id)
		case kind == fold.DrainEntry:
			return edit{}, fold.Refuse(fold.Invalid, "start the entry again; the drain ends with the entry", "entry %s has handed its pools over", name)
		}
		one := edit{summary: "drain " + id + " ended"}
		one.end(id)
		return one, nil
	})
}

// begin adds a drain to the edit.
func (one *edit) begin(d fold.Drain) error {
	put, err := store.PutOf(drainPrefix+d.ID(), d)
	one.delta.Drains = append(one.delta.Drains, d)
	one.writes = append(one.writes, fold.Txn{Puts: []fold.Put{put}, Deletes: []string{progressPrefix + d.ID()}})
	return err
}

// end removes a drain and its progress in the edit.
func (one *edit) end(id string) {
	one.delta.Undrained = append(one.delta.Undrained, id)
	one.writes = append(one.writes, fold.Txn{Deletes: []string{drainPrefix + id, progressPrefix + id}})
}

// retireWrites makes the drains of a manifest those of its retire list.
func retireWrites(one *edit, c fold.Caller, now *revision, m spec.Manifest) error {
	for _, r := range m.Retire {
		d := fold.Drain{Kind: r.Kind, Name: r.Name, Grace: r.Grace.Std().Milliseconds(), Who: c.KeyID, Began: time.Now().UnixMilli(), Manifest: true}
		if old, ok := now.drains[d.ID()]; ok {
			d.Began = old.Began
			if old.Manifest && old.Grace == d.Grace {
				continue
			}
		}
		if err := one.begin(d); err != nil {
			return err
		}
	}
	for id, d := range now.drains {
		if d.Manifest && !m.Retires(d.Kind, d.Name) {
			one.end(id)
		}
	}
	return nil
}

// checkDrain refuses drains of what does not exist.
func (e *Entry) checkDrain(d fold.Drain) error {
	if grace := time.Duration(d.Grace) * time.Millisecond; d.Grace < 0 || d.Grace > maxGrace.Milliseconds() {
		return fold.Refuse(fold.Invalid, "give a grace of 0 to 7 days, in milliseconds", "grace %s", grace)
	}
	var known bool
	m := e.current.Load().manifest
	switch d.Kind {
	case fold.DrainWorker, fold.DrainEndpoint, fold.DrainEntry:
		known = slices.ContainsFunc(*e.listed.Load(), func(in fold.Instance) bool { return string(in.Role) == d.Kind && in.Name == d.Name })
	case fold.DrainQueue:
		_, known = m.Queue(d.Name)
	case fold.DrainTeam:
		_, known = m.Team(d.Name)
	case fold.DrainService:
		_, known = m.Service(d.Name)
		known = known || slices.ContainsFunc(m.Queues, func(q spec.Queue) bool { return d.Name != "" && q.Service == d.Name })
	default:
		return fold.Refuse(fold.Invalid, "use worker, endpoint, service, queue, team or entry", "kind %q", d.Kind)
	}
	if !known {
		return fold.Refuse(fold.NotFound, "check the name in the instance list or the manifest", "no %s %q", d.Kind, d.Name)
	}
	return nil
}

// refuseDrained refuses new work on a queue, service or team that is being retired.
func (e *Entry) refuseDrained(q spec.Queue, team string) error {
	service := strings.TrimPrefix(q.Name, spec.ServiceQueue(""))
	if q.Service != "" {
		service = q.Service
	}
	drains := e.current.Load().drains
	for _, d := range []fold.Drain{
		{Kind: fold.DrainQueue, Name: q.Name}, {Kind: fold.DrainTeam, Name: team}, {Kind: fold.DrainService, Name: service},
	} {
		if _, ok := drains[d.ID()]; ok && (d.Kind != fold.DrainService || service != q.Name) {
			return fold.Refuse(fold.Forbidden, "use another queue, or ask an operator", "%s %s is being retired", d.Kind, d.Name)
		}
	}
	return nil
}

// applyDrains takes drained workers and endpoints out of use in the instance list that the entry works with.
func (e *Entry) applyDrains() {
	drains := e.current.Load().drains
	list := slices.Clone(*e.listed.Load())
	for i, in := range list {
		if _, ok := drains[fold.Drain{Kind: string(in.Role), Name: in.Name}.ID()]; ok && in.Role != fold.RoleEntry {
			list[i].State = fold.Leaving
		}
	}
	e.instances.Store(&list)
	e.routers.update(e.clock.Now(), list)
	for _, p := range e.allPools() {
		p.mu.Lock()
		for _, d := range drains {
			if d.Kind == fold.DrainWorker {
				p.sched.SetLeaving(d.Name, true)
			}
		}
		p.mu.Unlock()
	}
}

// drainStep carries drains out in what this entry owns and records how far they have come.
func (e *Entry) drainStep(ctx context.Context) {
	drains := e.current.Load().drains
	for _, d := range drains {
		switch d.Kind {
		case fold.DrainWorker:
			e.evict(d)
		case fold.DrainQueue, fold.DrainTeam:
			e.cancelDrained(d)
		case fold.DrainEntry:
			e.leave(ctx, d)
		}
	}
	e.progressStep(ctx, drains)
}

// expired reports whether the grace of a drain ends within the time that a stop itself takes.
func expired(d fold.Drain, now time.Time) bool {
	return now.UnixMilli() >= d.Began+d.Grace-stopGrace.Milliseconds()
}

// evict tells the tasks of a drained worker to save their state and stop: services at once, others at the end of the
// grace.
func (e *Entry) evict(d fold.Drain) {
	if e.requireStanding() != nil {
		return
	}
	for _, p := range e.allPools() {
		p.evict(d.Name, expired(d, time.Now()))
	}
}

// evict tells the tasks of a worker to stop; the worker's link repeats a stop that fails.
func (p *pool) evict(name string, all bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l, ok := p.links[name]
	if !ok || !l.adopted {
		return
	}
	stops := p.sched.Evict(name, all)
	for _, s := range stops {
		l.addStop(s)
	}
	if len(stops) > 0 {
		p.log.Info("Checkpointing and stopping the tasks of a drained worker.", "worker", name, "tasks", len(stops))
	}
}

// cancelDrained cancels what is left of a drained queue or team at the end of the grace.
func (e *Entry) cancelDrained(d fold.Drain) {
	if !expired(d, time.Now()) || e.requireStanding() != nil {
		return
	}
	for _, p := range e.allPools() {
		p.mu.Lock()
		left := p.sched.Select(matchOf(d))
		for id := range left {
			p.sched.Cancel(id)
		}
		p.mu.Unlock()
		if len(left) > 0 {
			p.wakeDecisions()
		}
	}
}

// matchOf selects the jobs that a drain of a queue, team or service covers.
func matchOf(d fold.Drain) func(fold.Job) bool {
	switch d.Kind {
	case fold.DrainQueue:
		return func(j fold.Job) bool { return j.Queue == d.Name }
	case fold.DrainTeam:
		return func(j fold.Job) bool { return j.Team == d.Name }
	default:
		return func(j fold.Job) bool { return j.Queue == spec.ServiceQueue(d.Name) }
	}
}
