package owner

import (
	"slices"
	"sort"
	"strings"

	"github.com/cespare/xxhash/v2"

	"plantainfold.example/fold"
)

// maxDeletions is the maximum number of rows that one plan deletes.
const maxDeletions = 16

// TakeOver is a decision to become the owner of a unit; Version is 0 for a unit without a row.
type TakeOver struct {
	Unit    string
	Version int64
}

// RowOf returns the unit row that makes the given entry the owner.
func (t TakeOver) RowOf(self Entry) Unit {
	return Unit{Owner: self.ID, Incarnation: self.Incarnation, First: t.Version == 0}
}

// HandOver is a decision to hand an owned unit to another entry.
type HandOver struct {
	Unit    string
	Version int64
	To      Entry
}

// Plan lists the rows that an entry should write now.
type Plan struct {
	// Change replaces the view. Nothing else is planned until majorities know the new view.
	Change *Change
	// TakeOvers are the units without an owner that this entry should own.
	TakeOvers []TakeOver
	// HandOvers are the owned units that another entry should own.
	HandOvers []HandOver
	// Deletions are rows to delete: those of entries that left or were fenced and whose instances are gone.
	Deletions []Versioned[Entry]
}

// Plan decides what to write. An entry writes nothing until it has had table contact and a majority for TTL.
func (m *Machine) Plan(now fold.Instant) Plan {
	var plan Plan
	if !m.connectedForTTL(now) || m.self.State != StateLive || !m.reachesMajority(now, m.view.Value.Number) {
		return plan
	}
	if plan.Change = m.nextView(now); plan.Change != nil || !m.inNewestView() {
		return plan
	}
	plan.Deletions = m.rowsToDelete()
	settled := now.Sub(m.changedAt) > SettleTime
	live := m.candidates(now)
	for _, id := range m.sortedSpecs() {
		row := m.units[id]
		best := preferredOwner(m.specs[id], live)
		switch {
		case m.ownerless(row.Value):
			if best.ID == m.self.ID {
				plan.TakeOvers = append(plan.TakeOvers, TakeOver{Unit: id, Version: row.Version})
			}
		case m.owns(row.Value) && (m.wasReleased(row) || (best.ID != m.self.ID && settled && m.ownedForSettleTime(now, row))):
			plan.HandOvers = append(plan.HandOvers, HandOver{Unit: id, Version: row.Version, To: best})
		}
	}
	return plan
}

// ownedForSettleTime reports whether the unit has been owned here for SettleTime. Otherwise a unit that a leaving entry has
// just handed over could go back to it, because its row was still live when this entry last read it.
func (m *Machine) ownedForSettleTime(now fold.Instant, row Versioned[Unit]) bool {
	if since, ok := m.plannedSince[row.Key]; ok && since.version == row.Version {
		return now.Sub(since.at) > SettleTime
	}
	m.plannedSince[row.Key] = versionTime{version: row.Version, at: now}
	return false
}

// HandOvers returns the hand-over of all owned units, for a planned stop.
func (m *Machine) HandOvers(now fold.Instant) []HandOver {
	var gives []HandOver
	var others []Entry
	for _, e := range m.candidates(now) {
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
			gives = append(gives, HandOver{Unit: id, Version: row.Version, To: preferredOwner(m.specs[id], others)})
		}
	}
	return gives
}

// SuccessorExpected reports whether a live peer answers heartbeats and votes. Such a peer may soon be able to own units.
func (m *Machine) SuccessorExpected(now fold.Instant) bool {
	for id, p := range m.entries {
		if id != m.self.ID && p.row.Value.State == StateLive && now.Sub(p.lastContact) < MaxHeartbeatAge && p.beat.CanVote {
			return true
		}
	}
	return false
}

// Release ends the use of units before they are given away. A unit stays released at its epoch, because the outcome
// of the write that gives it away may be unknown.
func (m *Machine) Release(gives []HandOver) {
	for _, g := range gives {
		m.released[g.Unit] = g.Version
	}
}

// RowOf returns the unit row that makes the receiving entry the owner.
func (g HandOver) RowOf() Unit {
	return Unit{Owner: g.To.ID, Incarnation: g.To.Incarnation, HandedOverAt: g.Version}
}

// Holding is a unit that this incarnation owns.
type Holding struct {
	Epoch int64
	// First is set if the unit had no owner before.
	First bool
	// HandedOverAt is the epoch of the previous owner if it handed the unit over, or 0 after a takeover.
	HandedOverAt int64
}

// Owned returns the units that this incarnation owns by the last scan.
func (m *Machine) Owned() map[string]Holding {
	owned := make(map[string]Holding)
	for id, row := range m.units {
		if m.owns(row.Value) && !m.wasReleased(row) {
			owned[id] = Holding{Epoch: row.Version, First: row.Value.First, HandedOverAt: row.Value.HandedOverAt}
		}
	}
	return owned
}

// VersionOf returns the version of a unit's row by the last scan, or 0.
func (m *Machine) VersionOf(unit string) int64 {
	return m.units[unit].Version
}

// EpochOf returns the epoch at which this incarnation owns the unit, or 0.
func (m *Machine) EpochOf(unit string) int64 {
	if row := m.units[unit]; m.owns(row.Value) && !m.wasReleased(row) {
		return row.Version
	}
	return 0
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
	if !ok || p.row.Value.Incarnation != row.Value.Incarnation || !p.row.Value.Registered() {
		return Entry{}, false
	}
	return p.row.Value, true
}

func (m *Machine) owns(u Unit) bool {
	return m.registered && u.Owner == m.self.ID && u.Incarnation == m.self.Incarnation
}

func (m *Machine) wasReleased(row Versioned[Unit]) bool {
	version, ok := m.released[row.Key]
	return ok && version == row.Version
}

// ownerless reports whether the incarnation that owns the unit is not in the view.
func (m *Machine) ownerless(u Unit) bool {
	return !m.view.Value.contains(Entry{ID: u.Owner, Incarnation: u.Incarnation})
}

// candidates returns the members of the view that can own units: this entry, and the peers with fresh heartbeats that are
// not leaving and are eligible. Without the last condition a unit would wait for a peer that cannot own it yet.
func (m *Machine) candidates(now fold.Instant) []Entry {
	var live []Entry
	if m.self.State == StateLive {
		live = append(live, m.self)
	}
	for id, p := range m.entries {
		row := p.row.Value
		if id != m.self.ID && row.State == StateLive && m.view.Value.contains(row) && now.Sub(p.lastContact) < MaxHeartbeatAge && p.beat.Eligible {
			live = append(live, row)
		}
	}
	return live
}

// rowsToDelete returns the rows to delete: those of entries that left or were fenced and whose instances are gone.
func (m *Machine) rowsToDelete() []Versioned[Entry] {
	var rows []Versioned[Entry]
	for id, p := range m.entries {
		_, member := m.view.Value.Members[id]
		member = member || slices.Contains(m.view.Value.Previous, id)
		if !member && !p.row.Value.Registered() && m.instanceGone(p) {
			rows = append(rows, p.row)
		}
	}
	slices.SortFunc(rows, func(a, b Versioned[Entry]) int { return strings.Compare(a.Value.ID, b.Value.ID) })
	return rows[:min(len(rows), maxDeletions)]
}

func (m *Machine) sortedSpecs() []string {
	ids := make([]string, 0, len(m.specs))
	for id := range m.specs {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	return ids
}

// preferredOwner returns the best owner by rendezvous hashing. It prefers an entry in the region of the unit but in another
// failure domain, so that the loss of one domain does not stop both a pool and its owner.
func preferredOwner(spec Spec, live []Entry) Entry {
	var best Entry
	var bestClass int
	var bestWeight uint64
	for _, e := range live {
		class := localityOf(spec, e)
		weight := xxhash.Sum64String(spec.ID + "\x00" + e.ID)
		if best.ID == "" || class > bestClass || (class == bestClass && weight > bestWeight) {
			best, bestClass, bestWeight = e, class, weight
		}
	}
	return best
}

func localityOf(spec Spec, e Entry) int {
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
