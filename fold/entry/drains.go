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
	// drainPrefix is the prefix of the rows of drains.
	drainPrefix = "drain/"
	// drainPeriod is the time between two steps that carry out the drains.
	drainPeriod = time.Second
	// maxGrace is the maximum grace period of a drain.
	maxGrace = 7 * 24 * time.Hour
	// maxDrains is the maximum number of drains that exist at the same time.
	maxDrains = 1000
)

// Drain starts a drain. For a drain that exists already, it changes the grace period.
func (e *Entry) Drain(ctx context.Context, c fold.Caller, d fold.Drain) (fold.DrainStatus, error) {
	if err := requireOperator(c); err != nil {
		return fold.DrainStatus{}, err
	}
	if err := e.checkDrain(d); err != nil {
		return fold.DrainStatus{}, err
	}
	d.Who, d.Began, d.Manifest = c.KeyID, time.Now().UnixMilli(), false
	_, err := e.commitChange(ctx, c, func(headRow) (edit, error) {
		current := e.current.Load()
		if old, ok := current.drains[d.ID()]; ok {
			d.Began, d.Manifest = old.Began, old.Manifest
		} else if len(current.drains) >= maxDrains {
			return edit{}, fold.Refuse(fold.Invalid, "end old drains first", "there are %d drains already", maxDrains)
		}
		ed := edit{summary: fmt.Sprintf("drain %s with a grace of %s", d.ID(), time.Duration(d.Grace)*time.Millisecond)}
		return ed, ed.addDrain(d)
	})
	return fold.DrainStatus{Drain: d}, err
}

// Undrain ends a drain, so that what it covered may be used again.
func (e *Entry) Undrain(ctx context.Context, c fold.Caller, kind, name string) (fold.Revision, error) {
	if err := requireOperator(c); err != nil {
		return fold.Revision{}, err
	}
	id := fold.Drain{Kind: kind, Name: name}.ID()
	return e.commitChange(ctx, c, func(headRow) (edit, error) {
		d, ok := e.current.Load().drains[id]
		switch {
		case !ok:
			return edit{}, fold.Refuse(fold.NotFound, "list the drains", "no drain %q", id)
		case d.Manifest:
			return edit{}, fold.Refuse(fold.Invalid, "remove it from retire and apply the manifest", "drain %s belongs to the manifest", id)
		case kind == fold.DrainEntry:
			return edit{}, fold.Refuse(fold.Invalid, "start the entry again; the drain ends with the entry", "entry %s hands over its pools and cannot be undrained", name)
		}
		ed := edit{summary: "drain " + id + " ended"}
		ed.removeDrain(id)
		return ed, nil
	})
}

// addDrain adds a drain to the edit and deletes the progress of an earlier drain of the same name.
func (ed *edit) addDrain(d fold.Drain) error {
	put, err := store.EncodePut(drainPrefix+d.ID(), d)
	ed.delta.Drains = append(ed.delta.Drains, d)
	ed.writes = append(ed.writes, fold.Txn{Puts: []fold.Put{put}, Deletes: []string{progressPrefix + d.ID()}})
	return err
}

// removeDrain makes the edit delete a drain and its progress.
func (ed *edit) removeDrain(id string) {
	ed.delta.Undrained = append(ed.delta.Undrained, id)
	ed.writes = append(ed.writes, fold.Txn{Deletes: []string{drainPrefix + id, progressPrefix + id}})
}

// retireWrites makes the edit start and end drains so that those of the manifest match its retire list.
func retireWrites(ed *edit, c fold.Caller, current *revision, m spec.Manifest) error {
	for _, r := range m.Retire {
		d := fold.Drain{Kind: r.Kind, Name: r.Name, Grace: r.Grace.Std().Milliseconds(), Who: c.KeyID, Began: time.Now().UnixMilli(), Manifest: true}
		if old, ok := current.drains[d.ID()]; ok {
			d.Began = old.Began
			if old.Manifest && old.Grace == d.Grace {
				continue
			}
		}
		if err := ed.addDrain(d); err != nil {
			return err
		}
	}
	for id, d := range current.drains {
		if d.Manifest && !m.Retires(d.Kind, d.Name) {
			ed.removeDrain(id)
		}
	}
	return nil
}

// checkDrain refuses a drain with a wrong grace period or of something that does not exist.
func (e *Entry) checkDrain(d fold.Drain) error {
	if grace := time.Duration(d.Grace) * time.Millisecond; d.Grace < 0 || d.Grace > maxGrace.Milliseconds() {
		return fold.Refuse(fold.Invalid, "give a grace of 0 to 7 days, in milliseconds", "grace %s", grace)
	}
	var known bool
	m := e.current.Load().manifest
	switch d.Kind {
	case fold.DrainWorker, fold.DrainEndpoint, fold.DrainEntry:
		known = slices.ContainsFunc(*e.platformInstances.Load(), func(in fold.Instance) bool { return string(in.Role) == d.Kind && in.Name == d.Name })
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

// refuseDrained refuses new work on a queue, service or team that is being drained.
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

// applyDrains updates the instance list that the entry works with, in which drained workers and endpoints are leaving. From then
// on no task starts on a drained worker. The caller holds e.revisionMu.
func (e *Entry) applyDrains(drains map[string]fold.Drain) {
	list := slices.Clone(*e.platformInstances.Load())
	for i, in := range list {
		if _, ok := drains[fold.Drain{Kind: string(in.Role), Name: in.Name}.ID()]; ok && in.Role != fold.RoleEntry {
			list[i].State = fold.Leaving
		}
	}
	e.instances.Store(&list)
	e.routers.update(e.clock.Now(), list)
	for _, p := range e.allPools() {
		p.setStates(list)
	}
}

// drainStep carries out the drains in the pools of this entry and records their progress.
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
	e.recordOwnDrains(ctx, drains)
}

// graceEnds reports whether the grace period of a drain ends within the time that stopping a task takes.
func graceEnds(d fold.Drain, now time.Time) bool {
	return now.UnixMilli() >= d.Began+d.Grace-stopGrace.Milliseconds()
}

// evict makes the tasks of a drained worker write a checkpoint and stop: services at once, others at the end of the
// grace period.
func (e *Entry) evict(d fold.Drain) {
	if e.requireStanding() != nil {
		return
	}
	for _, p := range e.allPools() {
		p.evict(d.Name, graceEnds(d, time.Now()))
	}
}

// evict queues stops for tasks of a worker: for all of them or for services only. The worker's link repeats a stop that
// fails.
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

// cancelDrained cancels the remaining jobs of a drained queue or team at the end of the grace period.
func (e *Entry) cancelDrained(d fold.Drain) {
	if !graceEnds(d, time.Now()) || e.requireStanding() != nil {
		return
	}
	for _, p := range e.allPools() {
		p.mu.Lock()
		remaining := p.sched.Select(drainFilter(d))
		for id := range remaining {
			p.sched.Cancel(id)
		}
		p.mu.Unlock()
		if len(remaining) > 0 {
			p.wakeDecisions()
		}
	}
}

// drainFilter returns a filter for the jobs that a drain of a queue, team or service covers.
func drainFilter(d fold.Drain) func(fold.Job) bool {
	switch d.Kind {
	case fold.DrainQueue:
		return func(j fold.Job) bool { return j.Queue == d.Name }
	case fold.DrainTeam:
		return func(j fold.Job) bool { return j.Team == d.Name }
	default:
		return func(j fold.Job) bool { return j.Queue == spec.ServiceQueue(d.Name) }
	}
}
