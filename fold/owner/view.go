package owner

import (
	"maps"
	"slices"
	"strings"

	"plantainfold.example/fold"
)

// View is the row that names the entries whose majority counts. Whoever changes it, or acts on it, first makes sure
// that majorities of the members before and after the change know its number. So an entry cut off with the majority of
// an outdated view hears of the newer one from at least one of them.
type View struct {
	Number int64 `json:"number"`
	// Members maps each entry to the incarnation that may own units.
	Members map[string]string `json:"members"`
	// Previous are the members of the view before, whose majority must know this one too.
	Previous []string `json:"previous,omitempty"`
}

// Change is a decision to replace the view, together with the fencing of the entries that leave it.
type Change struct {
	Version int64
	View    View
	Fences  []Seen[Entry]
}

// has reports whether this incarnation of the entry is in the view.
func (v View) has(e Entry) bool {
	incarnation, ok := v.Members[e.ID]
	return ok && incarnation == e.Incarnation
}

func (v View) memberIDs() []string {
	return slices.Sorted(maps.Keys(v.Members))
}

// hearsMajority reports whether fresh heartbeats cover a strict majority of the view and of the one before it, of
// members that know at least the given view number.
func (m *Machine) hearsMajority(now fold.Instant, number int64) bool {
	knows := func(id string) bool {
		if id == m.self.ID {
			return m.votes() && m.newer >= number
		}
		p, ok := m.entries[id]
		return ok && now.Sub(p.heard) < HeardTime && p.beat.Votes && p.beat.View >= number
	}
	return m.majority(m.view.Value.memberIDs(), knows) && m.majority(m.view.Value.Previous, knows)
}

// KnownByMajority reports whether fresh heartbeats show that a majority of the view knows the configuration revision.
func (m *Machine) KnownByMajority(now fold.Instant, revision int64) bool {
	knows := func(id string) bool {
		if id == m.self.ID {
			return m.votes() && m.revision >= revision
		}
		p, ok := m.entries[id]
		return ok && now.Sub(p.heard) < HeardTime && p.beat.Votes && p.beat.Known >= revision
	}
	return m.majority(m.view.Value.memberIDs(), knows) && m.majority(m.view.Value.Previous, knows)
}

// majority reports whether fn holds for more than half of the entries that may still run; it holds for none of none.
func (m *Machine) majority(ids []string, fn func(id string) bool) bool {
	total, yes := 0, 0
	for _, id := range ids {
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

// ended reports whether the entry certainly does not run: it left, or its instance is gone.
func (m *Machine) ended(id string) bool {
	p, ok := m.entries[id]
	return ok && (p.row.Value.State == StateLeft || m.gone(p))
}

// gone reports whether an entry's instance has been absent from the instance list for UnlistedTime without a gap.
func (m *Machine) gone(p *peer) bool {
	return !p.listed && m.listedAt.Sub(p.unlisted) > UnlistedTime && m.listedAt.Sub(p.unchanged) > UnlistedTime
}

// change returns the next view, or nil if the view fits the rows.
func (m *Machine) change(now fold.Instant) *Change {
	next := make(map[string]string)
	c := &Change{Version: m.view.Version}
	for id, p := range m.entries {
		row := p.row.Value
		if !row.Counts() {
			continue
		}
		if id != m.self.ID && now.Sub(p.unchanged) >= TTL {
			c.Fences = append(c.Fences, p.row)
			continue
		}
		fresh := now.Sub(p.heard) < HeardTime && p.beat.Votes
		if m.view.Value.has(row) || fresh || (id == m.self.ID && m.registered) {
			next[id] = row.Incarnation
		}
	}
	if len(c.Fences) == 0 && maps.Equal(next, m.view.Value.Members) {
		return nil
	}
	c.View = View{Number: m.view.Value.Number + 1, Members: next, Previous: m.view.Value.memberIDs()}
	slices.SortFunc(c.Fences, func(a, b Seen[Entry]) int { return strings.Compare(a.Value.ID, b.Value.ID) })
	return c
}
