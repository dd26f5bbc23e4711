package owner

import (
	"sort"

	"github.com/cespare/xxhash/v2"

	"plantainfold.example/fold"
)

// Fence is a decision to end the incarnation of an entry whose row has not changed for TTL.
type Fence struct {
	Row Seen[Entry]
}

// Take is a decision to become the owner of a unit; Version is 0 for a unit without a row.
type Take struct {
	Unit    string
	Version int64
}

// RowOf returns the row by which the entry becomes the owner.
func (t Take) RowOf(self Entry) Unit {
	return Unit{Owner: self.ID, Incarnation: self.Incarnation, First: t.Version == 0}
}

// Give is a decision to hand an owned unit to another entry.
type Give struct {
	Unit    string
	Version int64
	To      Entry
}

// Plan is what an entry should write now.
type Plan struct {
	Fences []Fence
	Takes  []Take
	Gives  []Give
}

// Plan decides what to write; an entry that is not eligible writes nothing.
func (m *Machine) Plan(now fold.Instant) Plan {
	var plan Plan
	if !m.Eligible(now) || m.self.State != StateLive {
		return plan
	}
	for id, p := range m.entries {
		if id != m.self.ID && p.row.Value.Counts() && now.Sub(p.unchanged) >= TTL {
			plan.Fences = append(plan.Fences, Fence{Row: p.row})
		}
	}
	settled := now.Sub(m.changed) > SettleTime
	live := m.live(now)
	for _, id := range m.sortedSpecs() {
		spec := m.specs[id]
		row := m.units[id]
		best := preferred(spec, live)
		switch {
		case m.ownerless(row.Value) && best.ID == m.self.ID:
			plan.Takes = append(plan.Takes, Take{Unit: id, Version: row.Version})
		case m.owns(row.Value) && best.ID != m.self.ID && settled:
			plan.Gives = append(plan.Gives, Give{Unit: id, Version: row.Version, To: best})
		}
	}
	return plan
}

// Gives returns the hand-over of all owned units, for a planned stop.
func (m *Machine) Gives(now fold.Instant) []Give {
	var gives []Give
	var others []Entry
	for _, e := range m.live(now) {
		if e.ID != m.self.ID {
			others = append(others, e)
		}
	}
	if len(others) == 0 {
		return nil
	}
	for _, id := range m.sortedSpecs() {
		row := m.units[id]
		if m.owns(row.Value) {
			gives = append(gives, Give{Unit: id, Version: row.Version, To: preferred(m.specs[id], others)})
		}
	}
	return gives
}

// Holding is a unit that this incarnation owns.
type Holding struct {
	Epoch int64
	// First says that the unit had no owner before.
	First bool
}

// Owned returns the units that this incarnation owns by the last scan.
func (m *Machine) Owned() map[string]Holding {
	owned := make(map[string]Holding)
	for id, row := range m.units {
		if m.owns(row.Value) {
			owned[id] = Holding{Epoch: row.Version, First: row.Value.First}
		}
	}
	return owned
}

// EpochOf returns the version of a unit's row by the last scan, or 0.
func (m *Machine) EpochOf(unit string) int64 {
	return m.units[unit].Version
}

// OwnerOf returns the entry that owns a unit by the last scan.
func (m *Machine) OwnerOf(unit string) (Entry, bool) {
	row, ok := m.units[unit]
	if !ok {
		return Entry{}, false
	}
	if m.owns(row.Value) {
		return m.self, true
	}
	p, ok := m.entries[row.Value.Owner]
	if !ok || p.row.Value.Incarnation != row.Value.Incarnation || !p.row.Value.Counts() {
		return Entry{}, false
	}
	return p.row.Value, true
}

func (m *Machine) owns(u Unit) bool {
	return m.registered && u.Owner == m.self.ID && u.Incarnation == m.self.Incarnation
}

// ownerless reports whether a unit's owner is fenced, has left or was replaced by a new incarnation.
func (m *Machine) ownerless(u Unit) bool {
	if u.Owner == "" {
		return true
	}
	p, ok := m.entries[u.Owner]
	return !ok || p.row.Value.Incarnation != u.Incarnation || !p.row.Value.Counts()
}

// live returns the entries that may own units: this one and peers with fresh heartbeats that are not leaving.
func (m *Machine) live(now fold.Instant) []Entry {
	var live []Entry
	if m.self.State == StateLive {
		live = append(live, m.self)
	}
	for id, p := range m.entries {
		if id != m.self.ID && p.row.Value.State == StateLive && now.Sub(p.heard) < HeardTime {
			live = append(live, p.row.Value)
		}
	}
	return live
}

func (m *Machine) sortedSpecs() []string {
	ids := make([]string, 0, len(m.specs))
	for id := range m.specs {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	return ids
}

// preferred returns the best owner by rendezvous hashing. It prefers the region of the unit but another failure
// domain, so that the loss of one domain does not take a pool together with its owner.
func preferred(spec Spec, live []Entry) Entry {
	var best Entry
	var bestClass int
	var bestWeight uint64
	for _, e := range live {
		class := classOf(spec, e)
		weight := xxhash.Sum64String(spec.ID + "\x00" + e.ID)
		if best.ID == "" || class > bestClass || (class == bestClass && weight > bestWeight) {
			best, bestClass, bestWeight = e, class, weight
		}
	}
	return best
}

func classOf(spec Spec, e Entry) int {
	switch {
	case spec.Region == "":
		return 0
	case e.Region == spec.Region && e.Domain != spec.Domain:
		return 2
	case e.Region == spec.Region:
		return 1
	default:
		return 0
	}
}
