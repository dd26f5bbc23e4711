package entry

import (
	"context"
	"strings"
	"time"

	"plantainfold.example/fold"
	"plantainfold.example/fold/owner"
	"plantainfold.example/fold/spread"
	"plantainfold.example/fold/store"
)

const loadTime = 5 * time.Second

// syncPools opens the pools that the entry owns at their epoch and closes all others.
func (e *Entry) syncPools(owned map[string]owner.Holding) {
	e.stopPools(func(id string) bool {
		e.poolsMu.Lock()
		defer e.poolsMu.Unlock()
		return owned[store.PoolPrefix+id].Epoch != e.pools[id].epoch
	})
	for unit, holding := range owned {
		id, ok := strings.CutPrefix(unit, store.PoolPrefix)
		if !ok || e.pool(id) != nil {
			continue
		}
		e.openPool(id, holding.Epoch)
	}
}

func (e *Entry) openPool(id string, epoch int64) {
	ctx, cancel := context.WithTimeout(context.Background(), loadTime)
	defer cancel()
	p, err := newPool(ctx, e, id, epoch)
	if err != nil {
		e.log.Warn("Cannot load a pool. Trying again.", "pool", id, "error", err)
		return
	}
	p.start()
	e.poolsMu.Lock()
	defer e.poolsMu.Unlock()
	e.pools[id] = p
}

func (e *Entry) pool(id string) *pool {
	e.poolsMu.Lock()
	defer e.poolsMu.Unlock()
	return e.pools[id]
}

func (e *Entry) allPools() []*pool {
	e.poolsMu.Lock()
	defer e.poolsMu.Unlock()
	all := make([]*pool, 0, len(e.pools))
	for _, p := range e.pools {
		all = append(all, p)
	}
	return all
}

// stopPools closes the pools for which drop is true.
func (e *Entry) stopPools(drop func(id string) bool) {
	for _, p := range e.allPools() {
		if !drop(p.id) {
			continue
		}
		e.forgetPool(p.id)
		p.close()
	}
}

// stopPool records the state of a pool and closes it, for a planned hand-over.
func (e *Entry) stopPool(ctx context.Context, id string) {
	p := e.pool(id)
	if p == nil {
		return
	}
	e.forgetPool(id)
	p.finish(ctx)
}

func (e *Entry) forgetPool(id string) {
	e.poolsMu.Lock()
	defer e.poolsMu.Unlock()
	delete(e.pools, id)
}

// setMembers tells each pool which workers belong to it.
func (e *Entry) setMembers(l *layout) {
	e.layout.Store(l)
	members := membersOf(l, *e.instances.Load())
	for _, p := range e.allPools() {
		p.setMembers(members[p.id])
		p.dropGone(e.isGone)
	}
}

// membersOf returns the workers of each pool by name.
func membersOf(l *layout, instances []fold.Instance) map[string]map[string]fold.Instance {
	members := make(map[string]map[string]fold.Instance)
	for _, in := range instances {
		id := l.poolOf(in)
		if in.Role != fold.RoleWorker || id == "" {
			continue
		}
		if members[id] == nil {
			members[id] = make(map[string]fold.Instance)
		}
		members[id][in.Name] = in
	}
	return members
}

// headroom returns what the entry's pools advertise.
func (e *Entry) headroom() []spread.Room {
	var rooms []spread.Room
	for _, p := range e.allPools() {
		rooms = append(rooms, p.room())
	}
	return rooms
}

// standing reports by which rule the entry may start tasks now.
func (e *Entry) standing() owner.Mode {
	var mode owner.Mode
	e.member(func(m *owner.Machine) { mode = m.Standing(e.clock.Now()) })
	return mode
}

func (e *Entry) requireStanding() error {
	if e.standing() == owner.ModeNone {
		return fold.Refuse(fold.Unavailable, "use another entry, or retry in a second", "entry %s has no standing", e.settings.Name)
	}
	return nil
}

// requireFresh refuses keyed work when the configuration may be out of date.
func (e *Entry) requireFresh() error {
	fresh := owner.ModeNone
	number := e.current.Load().number
	e.member(func(m *owner.Machine) { fresh = m.Fresh(e.clock.Now(), number) })
	if fresh == owner.ModeNone {
		return fold.Refuse(fold.Unavailable, "use another entry, or retry in a second", "entry %s cannot confirm the configuration", e.settings.Name)
	}
	return nil
}
