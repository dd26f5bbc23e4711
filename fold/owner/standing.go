package owner

import "plantainfold.example/fold"

// Mode is the rule by which an entry has standing, the permission to start tasks and grant claims.
type Mode string

// Modes of standing.
const (
	// ModeNone is no standing.
	ModeNone Mode = "none"
	// ModeTable requires a renewal within TTL.
	ModeTable Mode = "table"
	// ModeOutage requires contact with a majority of entries, none of which has table contact.
	ModeOutage Mode = "outage"
	// ModePeer requires a configuration confirmed by a peer. It permits work under API keys but no starts of tasks.
	ModePeer Mode = "peer"
)

// Standing returns the rule by which the entry is permitted to start tasks and grant claims now.
func (m *Machine) Standing(now fold.Instant) Mode {
	switch {
	case !m.registered:
		return ModeNone
	case now.Sub(m.renewedAt) < TTL:
		return ModeTable
	case now.Sub(m.newestRenewal.at) > TTL && m.inNewestView() && m.reachesMajority(now, m.view.Value.Number):
		return ModeOutage
	default:
		return ModeNone
	}
}

// ConfigMode returns the rule by which the configuration at the given revision counts as current for work under API keys.
func (m *Machine) ConfigMode(now fold.Instant, revision int64) Mode {
	if now.Sub(m.confirmedAt) < TTL {
		return ModeTable
	}
	if revision >= m.highestRevision && m.Standing(now) == ModeOutage {
		return ModeOutage
	}
	for _, p := range m.entries {
		confirmed := instantBefore(p.lastContact, p.beat.Confirmed)
		if p.lastContact != never && now.Sub(confirmed) < TTL && p.beat.Revision <= revision {
			return ModePeer
		}
	}
	return ModeNone
}

// Eligible reports whether the entry is permitted to write the view, owners of units and the configuration.
func (m *Machine) Eligible(now fold.Instant) bool {
	return m.connectedForTTL(now) && m.inNewestView() && m.reachesMajority(now, m.view.Value.Number)
}

// Tick updates since when the entry has had table contact and a majority without a gap. Call it at each heartbeat.
func (m *Machine) Tick(now fold.Instant) {
	m.detectPause(now)
	if !m.connected(now) {
		m.connectedSince = never
		return
	}
	if m.connectedSince == never {
		m.connectedSince = now
	}
}

// Peers returns the rows of the other registered entries whose instances are not known to be gone.
func (m *Machine) Peers(fold.Instant) []Entry {
	var rows []Entry
	for id, p := range m.entries {
		if id != m.self.ID && p.row.Value.Registered() && !m.instanceGone(p) {
			rows = append(rows, p.row.Value)
		}
	}
	return rows
}

// Heartbeats returns the fresh heartbeats of peers.
func (m *Machine) Heartbeats(now fold.Instant) []Beat {
	var beats []Beat
	for id, p := range m.entries {
		if id != m.self.ID && now.Sub(p.lastContact) < MaxHeartbeatAge {
			beats = append(beats, p.beat)
		}
	}
	return beats
}

// inNewestView reports whether this incarnation is in the last view read and no newer view has been seen.
func (m *Machine) inNewestView() bool {
	return m.view.Value.contains(m.self) && m.highestView <= m.view.Value.Number
}

// connected reports whether the entry has table contact and a majority now.
func (m *Machine) connected(now fold.Instant) bool {
	return m.canVote() && now.Sub(m.renewedAt) < TTL && m.reachesMajority(now, 0)
}

// connectedForTTL reports whether the entry has had table contact and a majority for TTL without a gap.
func (m *Machine) connectedForTTL(now fold.Instant) bool {
	return m.connectedSince != never && now.Sub(m.lastCheck) <= MaxHeartbeatAge && now.Sub(m.connectedSince) >= TTL && m.connected(now)
}
