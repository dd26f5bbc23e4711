package owner

import (
	"time"

	"plantainfold.example/fold"
)

// Durations of the membership protocol.
const (
	// TTL is how long a renewal gives an entry standing. An entry whose row stays unchanged for as long can be fenced.
	TTL = 4 * time.Second
	// MaxHeartbeatAge is the maximum age of a heartbeat that is used as evidence.
	MaxHeartbeatAge = 2 * time.Second
	// RemovalTime is how long an entry must be absent from the instance list before its instance counts as removed.
	RemovalTime = 30 * time.Second
	// MaxListGap is the maximum time between two readings of the instance list that count as one continuous absence.
	MaxListGap = 10 * time.Second
	// SettleTime is how long the membership must be unchanged before units move to their preferred entries.
	SettleTime = 10 * time.Second
)

// never is an instant so early that every age computed from it exceeds all limits.
const never = fold.Instant(-1 << 62)

// Machine is the membership state of one entry. It does no I/O and is not safe for concurrent use.
type Machine struct {
	self       Entry
	registered bool

	// renewedAt is when the last successful renewal was sent.
	renewedAt fold.Instant
	// confirmedAt is when the last successful read of the configuration head was sent.
	confirmedAt fold.Instant
	// viewedAt is when the last successful read of the view row was sent.
	viewedAt fold.Instant
	// listedAt is when the instance list was last read.
	listedAt fold.Instant
	// evidenceStart is when the entry last joined or detected a pause. It cannot vote until it has read everything again.
	evidenceStart fold.Instant
	// lastCheck is when the machine last checked for a pause.
	lastCheck fold.Instant
	// connectedSince is since when the entry has had table contact and a majority without a gap, or never.
	connectedSince fold.Instant
	// changedAt is when the membership last changed.
	changedAt fold.Instant

	view Versioned[View]
	// highestView is the highest view number seen in a row or a heartbeat.
	highestView int64
	// highestRevision is the highest configuration revision seen in a heartbeat or applied here.
	highestRevision int64
	// newestRenewal is the newest renewal that this entry made or learned of by heartbeats. Its instant is never too early.
	newestRenewal versionTime

	entries map[string]*peer
	units   map[string]Versioned[Unit]
	specs   map[string]Spec
	// released maps each unit that is being handed over to the version at which its use ended.
	released map[string]int64
	// plannedSince maps each unit with a better owner to the version of its row and the instant when that was first planned.
	plannedSince map[string]versionTime
}

// versionTime is a row version with an instant. For a renewal the instant is when the write took effect, or shortly after.
type versionTime struct {
	version int64
	at      fold.Instant
}

// peer is the state of another entry, or of an earlier incarnation of this one.
type peer struct {
	row Versioned[Entry]
	// unchangedSince is since when the row has been unchanged.
	unchangedSince fold.Instant
	// unlistedSince is since when the instance list has not contained the entry.
	unlistedSince fold.Instant
	// listed is whether the last reading of the instance list contained the entry.
	listed bool
	// beat is the last heartbeat that answered a request of this entry.
	beat Beat
	// lastContact is the instant just before that request was sent.
	lastContact fold.Instant
}

// New returns a machine for an entry that is not registered yet.
func New(self Entry) *Machine {
	return &Machine{
		self:           self,
		renewedAt:      never,
		confirmedAt:    never,
		viewedAt:       never,
		listedAt:       never,
		evidenceStart:  never,
		lastCheck:      never,
		connectedSince: never,
		newestRenewal:  versionTime{at: never},
		entries:        make(map[string]*peer),
		units:          make(map[string]Versioned[Unit]),
		specs:          make(map[string]Spec),
		released:       make(map[string]int64),
		plannedSince:   make(map[string]versionTime),
	}
}

// Self returns the current row, which the next renewal replaces.
func (m *Machine) Self() Entry {
	return m.self
}

// Registered reports whether the row of this incarnation is in the table service.
func (m *Machine) Registered() bool {
	return m.registered
}

// RecordRenewal records that the row was written. Sent is the instant just before the request.
func (m *Machine) RecordRenewal(sent fold.Instant, row Entry, version int64) {
	row.State = m.self.State
	m.self = row
	if !m.registered {
		m.registered = true
		m.evidenceStart = max(m.evidenceStart, sent)
	}
	m.recordEntry(sent, Versioned[Entry]{Key: m.entryKey(row.ID), Value: row, Version: version})
	m.renewedAt = max(m.renewedAt, sent)
	m.updateNewestRenewal(versionTime{version: version, at: sent})
}

// IncarnationLost reports whether the rows last read show that this incarnation was fenced or replaced.
func (m *Machine) IncarnationLost() bool {
	if !m.registered {
		return false
	}
	p, ok := m.entries[m.self.ID]
	return !ok || p.row.Value.Incarnation != m.self.Incarnation || !p.row.Value.Registered()
}

// RestartAs records that this incarnation was fenced or replaced, and resets the machine to the given new incarnation.
func (m *Machine) RestartAs(incarnation string) {
	m.self.Incarnation = incarnation
	m.self.Beat = 0
	m.registered = false
	m.renewedAt = never
	m.confirmedAt = never
	m.viewedAt = never
	m.connectedSince = never
	m.released = make(map[string]int64)
}

// RecordHeadRead records that the configuration head was read. Sent is the instant just before the request.
func (m *Machine) RecordHeadRead(sent fold.Instant) {
	m.confirmedAt = max(m.confirmedAt, sent)
}

// RecordView records a read of the view row. Sent is the instant just before the request. Version 0 means that there is no
// row.
func (m *Machine) RecordView(sent fold.Instant, view Versioned[View]) {
	m.viewedAt = max(m.viewedAt, sent)
	if view.Version >= m.view.Version {
		m.view = view
	}
	m.highestView = max(m.highestView, view.Value.Number)
}

// RecordEntries records the entry rows of one scan and forgets the entries that the scan did not return.
func (m *Machine) RecordEntries(now fold.Instant, rows []Versioned[Entry]) {
	present := make(map[string]bool, len(rows))
	for _, row := range rows {
		present[row.Value.ID] = true
		m.recordEntry(now, row)
	}
	for id := range m.entries {
		if !present[id] {
			delete(m.entries, id)
			m.changedAt = now
		}
	}
}

// RecordUnits records the unit rows of one scan, except rows that are older than the known ones.
func (m *Machine) RecordUnits(rows []Versioned[Unit]) {
	units := make(map[string]Versioned[Unit], len(rows))
	for _, row := range rows {
		if old := m.units[row.Key]; old.Version > row.Version {
			row = old
		}
		units[row.Key] = row
		if version, ok := m.released[row.Key]; ok && version < row.Version {
			delete(m.released, row.Key)
		}
	}
	m.units = units
}

// SetSpecs sets the units that must have an owner.
func (m *Machine) SetSpecs(specs []Spec) {
	m.specs = make(map[string]Spec, len(specs))
	for _, s := range specs {
		m.specs[s.ID] = s
	}
}

// RecordInstances records the entry names of one reading of the platform's instance list.
func (m *Machine) RecordInstances(now fold.Instant, names []string) {
	listed := make(map[string]bool, len(names))
	for _, name := range names {
		listed[name] = true
	}
	for id, p := range m.entries {
		if p.listed || now.Sub(m.listedAt) > MaxListGap {
			p.unlistedSince = now
		}
		p.listed = listed[id]
	}
	m.listedAt = now
}

// RecordAnswer records the answer to a heartbeat. Sent is the instant just before the request. Only an answer proves that
// the peer was reachable after a known instant: a request can wait for any time before it is read.
func (m *Machine) RecordAnswer(sent fold.Instant, b Beat) {
	m.recordBeat(sent, b)
	p, ok := m.entries[b.ID]
	if !ok || b.ID == m.self.ID || p.row.Value.Incarnation != b.Incarnation || sent < p.lastContact {
		return
	}
	p.beat = b
	p.lastContact = sent
}

// RecordRequest records a heartbeat that arrived as a request. It does not prove that the peer is reachable.
func (m *Machine) RecordRequest(now fold.Instant, b Beat) {
	m.recordBeat(now, b)
}

// Beat returns the heartbeat to send. It rounds the age of the confirmation up and the age of the contact down, so that
// rounding never gives a receiver more rights.
func (m *Machine) Beat(now fold.Instant, revision int64) Beat {
	m.detectPause(now)
	m.highestRevision = max(m.highestRevision, revision)
	return Beat{
		ID:             m.self.ID,
		Incarnation:    m.self.Incarnation,
		Contact:        ageMillis(now, m.newestRenewal.at),
		ContactVersion: m.newestRenewal.version,
		Revision:       revision,
		KnownRevision:  m.highestRevision,
		Confirmed:      ageMillis(now.Add(time.Millisecond), m.confirmedAt),
		View:           m.highestView,
		CanVote:        m.canVote(),
		Eligible:       m.self.State == StateLive && m.Eligible(now),
	}
}

// recordBeat records the parts of a heartbeat that are valid no matter when it was sent.
func (m *Machine) recordBeat(at fold.Instant, b Beat) {
	m.highestView = max(m.highestView, b.View)
	m.highestRevision = max(m.highestRevision, b.KnownRevision)
	m.updateNewestRenewal(versionTime{version: b.ContactVersion, at: instantBefore(at, b.Contact)})
}

// updateNewestRenewal keeps the newest renewal. The estimated instant of one renewal only moves back, so that a relayed
// renewal does not look younger.
func (m *Machine) updateNewestRenewal(c versionTime) {
	switch {
	case c.at == never:
	case c.version > m.newestRenewal.version:
		m.newestRenewal = c
	case c.version == m.newestRenewal.version:
		m.newestRenewal.at = min(m.newestRenewal.at, c.at)
	}
}

// detectPause detects a pause of the process by the time since the last call, and resets the evidence after one.
func (m *Machine) detectPause(now fold.Instant) {
	if m.lastCheck != never && now.Sub(m.lastCheck) > MaxHeartbeatAge {
		m.evidenceStart = now
		m.connectedSince = never
	}
	m.lastCheck = max(m.lastCheck, now)
}

// canVote reports whether the entry has renewed its row and read configuration and view since it joined or was paused.
func (m *Machine) canVote() bool {
	return m.registered && m.renewedAt >= m.evidenceStart && m.confirmedAt >= m.evidenceStart && m.viewedAt >= m.evidenceStart
}

func (m *Machine) recordEntry(now fold.Instant, row Versioned[Entry]) {
	p, ok := m.entries[row.Value.ID]
	if !ok {
		p = &peer{unchangedSince: now, unlistedSince: now, lastContact: never}
		m.entries[row.Value.ID] = p
		m.changedAt = now
	}
	if row.Version < p.row.Version {
		return
	}
	// The write that fences an entry does not show that the entry runs.
	if p.row.Version != row.Version && row.Value.State != StateFenced {
		p.unchangedSince = now
	}
	if p.row.Value.Incarnation != row.Value.Incarnation || p.row.Value.State != row.Value.State {
		m.changedAt = now
	}
	if p.row.Value.Incarnation != row.Value.Incarnation {
		p.lastContact = never
		p.unlistedSince = now
	}
	p.row = row
}

func (m *Machine) entryKey(id string) string {
	if p, ok := m.entries[id]; ok && p.row.Key != "" {
		return p.row.Key
	}
	return EntryPrefix + id
}

func instantBefore(now fold.Instant, ms int64) fold.Instant {
	if ms < 0 {
		return never
	}
	return now.Add(-time.Duration(ms) * time.Millisecond)
}

func ageMillis(now, at fold.Instant) int64 {
	if at == never {
		return -1
	}
	return now.Sub(at).Milliseconds()
}

// Renewal is the next write of the entry's own row.
type Renewal struct {
	Row     Entry
	Version int64
	// Due is false when the row must not be written, for example while an earlier incarnation may still use it.
	Due bool
}

// Renewal returns the next write of the entry's own row.
func (m *Machine) Renewal(now fold.Instant) Renewal {
	r := Renewal{Row: m.self.WithBeat()}
	p, known := m.entries[m.self.ID]
	if !known {
		r.Due = !m.registered
		return r
	}
	r.Version = p.row.Version
	ownRow := p.row.Value.Incarnation == m.self.Incarnation && p.row.Value.Registered()
	replaceable := !p.row.Value.Registered() || now.Sub(p.unchangedSince) >= TTL
	r.Due = ownRow || (!m.registered && replaceable)
	return r
}

// Leave marks the entry as leaving, so that it becomes the owner of no more units.
func (m *Machine) Leave() {
	m.self = m.self.WithState(StateLeaving)
}

// RecordLeft records that the entry's row is marked as left, which ends the entry's standing.
func (m *Machine) RecordLeft() {
	m.registered = false
	m.renewedAt = never
	m.confirmedAt = never
}
