package owner

import (
	"iter"
	"maps"
	"slices"
	"strings"

	"plantainfold.example/fold"
)

// View is the row that lists the member entries. Before an entry changes or uses a view, majorities of its members and of
// the previous members must know its number. An entry that reaches only a majority of an outdated view therefore learns
// of the newer view from at least one of them.
type View struct {
	Number int64 `json:"number"`
	// Members maps each entry to the incarnation that is permitted to own units.
	Members map[string]string `json:"members"`
	// Previous lists the members of the previous view. A majority of them must know this view too.
	Previous []string `json:"previous,omitempty"`
}

// Change is a decision to replace the view, together with the fencing of the entries that leave it.
type Change struct {
	Version int64
	View    View
	Fences  []Versioned[Entry]
}

// contains reports whether this incarnation of the entry is in the view.
func (v View) contains(e Entry) bool {
	incarnation, ok := v.Members[e.ID]
	return ok && incarnation == e.Incarnation
}

// reachesMajority reports whether strict majorities of the current and the previous members have answered fresh heartbeats
// and know at least the given view number.
func (m *Machine) reachesMajority(now fold.Instant, number int64) bool {
	knows := func(id string) bool {
		if id == m.self.ID {
			return m.canVote() && m.highestView >= number
		}
		p, ok := m.entries[id]
		return ok && now.Sub(p.lastContact) < MaxHeartbeatAge && p.beat.CanVote && p.beat.View >= number
	}
	return m.majority(maps.Keys(m.view.Value.Members), knows) && m.majority(slices.Values(m.view.Value.Previous), knows)
}

// KnownByMajority reports whether fresh heartbeats show that majorities of the current and the previous members know the
// configuration revision.
func (m *Machine) KnownByMajority(now fold.Instant, revision int64) bool {
	knows := func(id string) bool {
		if id == m.self.ID {
			return m.canVote() && m.highestRevision >= revision
		}
		p, ok := m.entries[id]
		return ok && now.Sub(p.lastContact) < MaxHeartbeatAge && p.beat.CanVote && p.beat.KnownRevision >= revision
	}
	return m.majority(maps.Keys(m.view.Value.Members), knows) && m.majority(slices.Values(m.view.Value.Previous), knows)
}

// majority reports whether fn holds for more than half of the entries that may still run. It is true for no entries.
func (m *Machine) majority(ids iter.Seq[string], fn func(id string) bool) bool {
	total, yes := 0, 0
	for id := range ids {
		if id != m.self.ID && m.ended(id) {
			continue
		}
		total++
		if fn(id) {
			yes++
		}
	}
	return total == 0 || 2*yes > total
}

// ended reports whether the entry is certain not to run, because it left or its instance is gone.
func (m *Machine) ended(id string) bool {
	p, ok := m.entries[id]
	return ok && (p.row.Value.State == StateLeft || m.instanceGone(p))
}

// instanceGone reports whether an entry's instance has been absent from the instance list for RemovalTime without a gap.
func (m *Machine) instanceGone(p *peer) bool {
	return !p.listed && m.listedAt.Sub(p.unlistedSince) > RemovalTime && m.listedAt.Sub(p.unchangedSince) > RemovalTime
}

// nextView returns the next view, or nil if the current view matches the rows.
func (m *Machine) nextView(now fold.Instant) *Change {
	next := make(map[string]string)
	c := &Change{Version: m.view.Version}
	for id, p := range m.entries {
		row := p.row.Value
		if !row.Registered() {
			continue
		}
		if id != m.self.ID && now.Sub(p.unchangedSince) >= TTL {
			c.Fences = append(c.Fences, p.row)
			continue
		}
		fresh := now.Sub(p.lastContact) < MaxHeartbeatAge && p.beat.CanVote
		if m.view.Value.contains(row) || fresh || (id == m.self.ID && m.registered) {
			next[id] = row.Incarnation
		}
	}
	if len(c.Fences) == 0 && maps.Equal(next, m.view.Value.Members) {
		return nil
	}
	c.View = View{Number: m.view.Value.Number + 1, Members: next, Previous: slices.Sorted(maps.Keys(m.view.Value.Members))}
	slices.SortFunc(c.Fences, func(a, b Versioned[Entry]) int { return strings.Compare(a.Value.ID, b.Value.ID) })
	return c
}
