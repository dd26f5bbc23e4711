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
	case now.Sub(m.contact.at) > TTL && m.current() && m.hearsMajority(now, m.view.Value.Number):
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
	if revision >= m.revision && m.Standing(now) == ModeOutage {
		return ModeOutage
	}
	for _, p := range m.entries {
		confirmed := ago(p.heard, p.beat.Confirmed)
		if p.heard != never && now.Sub(confirmed) < TTL && p.beat.Revision <= revision {
			return ModePeer
		}
	}
	return ModeNone
}

// Eligible reports whether the entry may write what changes who may act.
func (m *Machine) Eligible(now fold.Instant) bool {
	return m.lasting(now) && m.current() && m.hearsMajority(now, m.view.Value.Number)
}

// Tick updates since when the entry has had table contact and a majority without a gap; call it at each heartbeat.
func (m *Machine) Tick(now fold.Instant) {
	m.watch(now)
	if !m.steadyNow(now) {
		m.steady = never
		return
	}
	if m.steady == never {
		m.steady = now
	}
}

// Peers returns the rows of the other entries that may still run.
func (m *Machine) Peers(fold.Instant) []Entry {
	var rows []Entry
	for id, p := range m.entries {
		if id != m.self.ID && p.row.Value.Counts() && !m.gone(p) {
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

// current reports whether this incarnation is in the newest view that it knows of.
func (m *Machine) current() bool {
	return m.view.Value.has(m.self) && m.newer <= m.view.Value.Number
}

// steadyNow reports whether the entry has table contact and a majority now.
func (m *Machine) steadyNow(now fold.Instant) bool {
	return m.votes() && now.Sub(m.renewedAt) < TTL && m.hearsMajority(now, 0)
}

// lasting reports whether the entry has had table contact and a majority for TTL without a gap.
func (m *Machine) lasting(now fold.Instant) bool {
	return m.steady != never && now.Sub(m.watched) <= HeardTime && now.Sub(m.steady) >= TTL && m.steadyNow(now)
}
