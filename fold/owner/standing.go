package owner

import "plantainfold.example/fold"

// Mode says by which rule an entry has standing.
type Mode string

// Modes of standing.
const (
	// ModeNone is no standing.
	ModeNone Mode = "none"
	// ModeTable is a renewal within TTL.
	ModeTable Mode = "table"
	// ModeOutage is contact with a majority of entries of which none has table contact.
	ModeOutage Mode = "outage"
	// ModePeer is a configuration confirmed by a peer; it allows keyed work but no starts.
	ModePeer Mode = "peer"
)

// Standing reports by which rule the entry may start tasks and grant claims now.
func (m *Machine) Standing(now fold.Instant) Mode {
	switch {
	case !m.registered:
		return ModeNone
	case now.Sub(m.renewedAt) < TTL:
		return ModeTable
	case now.Sub(m.newestContact()) > TTL && m.hearsMajority(now):
		return ModeOutage
	default:
		return ModeNone
	}
}

// Fresh reports by which rule the configuration at the given revision may be taken as current for keyed work.
func (m *Machine) Fresh(now fold.Instant, revision int64) Mode {
	if now.Sub(m.confirmedAt) < TTL {
		return ModeTable
	}
	if m.Standing(now) == ModeOutage {
		return ModeOutage
	}
	for _, p := range m.entries {
		if now.Sub(p.confirmed) < TTL && p.beat.Revision <= revision {
			return ModePeer
		}
	}
	return ModeNone
}

// Eligible reports whether the entry may write what changes who may act; call Tick first.
func (m *Machine) Eligible(now fold.Instant) bool {
	return m.eligible != never && now.Sub(m.eligible) >= TTL
}

// Tick updates since when the entry has had table contact and a majority without a gap.
func (m *Machine) Tick(now fold.Instant) {
	if m.Standing(now) != ModeTable || now.Sub(m.renewedAt) > HeardTime || !m.hearsMajority(now) {
		m.eligible = never
		return
	}
	if m.eligible == never {
		m.eligible = now
	}
}

// Peers returns the rows of the registered entries other than this one.
func (m *Machine) Peers(now fold.Instant) []Entry {
	var rows []Entry
	for id, p := range m.entries {
		if id != m.self.ID && m.counts(now, p) {
			rows = append(rows, p.row.Value)
		}
	}
	return rows
}

// Heartbeats returns the fresh heartbeats of peers.
func (m *Machine) Heartbeats(now fold.Instant) []Beat {
	var beats []Beat
	for id, p := range m.entries {
		if id != m.self.ID && now.Sub(p.heard) < HeardTime {
			beats = append(beats, p.beat)
		}
	}
	return beats
}

// hearsMajority reports whether fresh heartbeats cover a strict majority of the registered entries, itself included.
func (m *Machine) hearsMajority(now fold.Instant) bool {
	registered, heard := 1, 1
	for id, p := range m.entries {
		if id == m.self.ID || !m.counts(now, p) {
			continue
		}
		registered++
		if now.Sub(p.heard) < HeardTime {
			heard++
		}
	}
	return 2*heard > registered
}

// counts reports whether an entry counts as registered.
func (m *Machine) counts(now fold.Instant, p *peer) bool {
	if !p.row.Value.Counts() {
		return false
	}
	gone := !p.listed && now.Sub(p.unlisted) > UnlistedTime && now.Sub(p.unchanged) > UnlistedTime
	return !gone
}
