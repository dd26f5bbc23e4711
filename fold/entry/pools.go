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

// loadTimeout is the timeout for loading a pool from the table service.
const loadTimeout = 5 * time.Second

// syncPools opens the pools that the entry owns and closes the others, including pools opened at an earlier epoch.
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

// openPool loads and starts a pool. If that fails, the next call of syncPools tries again.
func (e *Entry) openPool(id string, epoch int64) {
	ctx, cancel := context.WithTimeout(context.Background(), loadTimeout)
	defer cancel()
	p, err := newPool(ctx, e, id, epoch)
	if err != nil {
		e.log.Warn("Cannot load a pool. Trying again.", "pool", id, "error", err)
		return
	}
	if !e.addPool(p) {
		p.close()
	}
}

// addPool starts a pool and adds it to the open ones. It reports false if the entry does not own the pool any more: the entry may
// have handed it over while it was loaded.
func (e *Entry) addPool(p *pool) bool {
	e.revisionMu.Lock()
	defer e.revisionMu.Unlock()
	p.setStates(*e.instances.Load())
	e.poolsMu.Lock()
	defer e.poolsMu.Unlock()
	var owned map[string]owner.Holding
	e.withMachine(func(m *owner.Machine) { owned = m.Owned() })
	if owned[store.PoolPrefix+p.id].Epoch != p.epoch {
		return false
	}
	p.start()
	e.pools[p.id] = p
	return true
}

// pool returns the open pool with this id, or nil.
func (e *Entry) pool(id string) *pool {
	e.poolsMu.Lock()
	defer e.poolsMu.Unlock()
	return e.pools[id]
}

// allPools returns all open pools.
func (e *Entry) allPools() []*pool {
	e.poolsMu.Lock()
	defer e.poolsMu.Unlock()
	all := make([]*pool, 0, len(e.pools))
	for _, p := range e.pools {
		all = append(all, p)
	}
	return all
}

// stopPools closes the pools for which drop returns true.
func (e *Entry) stopPools(drop func(id string) bool) {
	for _, p := range e.allPools() {
		if !drop(p.id) {
			continue
		}
		e.removePool(p.id)
		p.close()
	}
}

// stopPool closes a pool and records its state, for a planned handover.
func (e *Entry) stopPool(ctx context.Context, id string) {
	p := e.pool(id)
	if p == nil {
		return
	}
	e.removePool(id)
	p.closeRecorded(ctx)
}

func (e *Entry) removePool(id string) {
	e.poolsMu.Lock()
	defer e.poolsMu.Unlock()
	delete(e.pools, id)
}

// setMembers installs a layout and sets the workers of each pool.
func (e *Entry) setMembers(l *layout) {
	e.layout.Store(l)
	e.revisionMu.Lock()
	defer e.revisionMu.Unlock()
	members := membersOf(l, *e.instances.Load())
	for _, p := range e.allPools() {
		p.setMembers(members[p.id])
		p.dropRemoved(e.isRemoved)
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

// headroom returns the headroom that the pools of this entry advertise.
func (e *Entry) headroom() []spread.PoolCapacity {
	var all []spread.PoolCapacity
	for _, p := range e.allPools() {
		all = append(all, p.headroom())
	}
	return all
}

// standing reports by which rule the entry may start tasks and grant claims now.
func (e *Entry) standing() owner.Mode {
	var mode owner.Mode
	e.withMachine(func(m *owner.Machine) { mode = m.Standing(e.clock.Now()) })
	return mode
}

// requireStanding refuses work while the entry has no standing.
func (e *Entry) requireStanding() error {
	if e.standing() == owner.ModeNone {
		return fold.Refuse(fold.Unavailable, "use another entry, or retry in a second", "entry %s has no standing", e.settings.Name)
	}
	return nil
}

// requireFresh refuses work that needs a key while the configuration in force may be out of date.
func (e *Entry) requireFresh() error {
	fresh := owner.ModeNone
	number := e.current.Load().number
	e.withMachine(func(m *owner.Machine) { fresh = m.ConfigMode(e.clock.Now(), number) })
	if fresh == owner.ModeNone {
		return fold.Refuse(fold.Unavailable, "use another entry, or retry in a second", "entry %s cannot confirm the configuration", e.settings.Name)
	}
	return nil
}
