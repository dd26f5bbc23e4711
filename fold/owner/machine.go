package owner

import (
	"time"

	"plantainfold.example/fold"
)

// Times of the membership protocol.
const (
	// TTL is how long a renewal gives standing, and how long a row must stay unchanged before it may be fenced.
	TTL = 4 * time.Second
	// HeardTime is the greatest age of a heartbeat that counts.
	HeardTime = 2 * time.Second
	// UnlistedTime is how long an entry must be absent from the instance list before it stops counting.
	UnlistedTime = 30 * time.Second
	// ListGap is the greatest time between two readings of the instance list that show one absence without a gap.
	ListGap = 10 * time.Second
	// SettleTime is how long a membership must be unchanged before units move to a preferred entry.
	SettleTime = 10 * time.Second
)

// never is an instant so early that every age since then is large.
const never = fold.Instant(-1 << 62)

// Machine holds what one entry knows of the membership. It does no I/O and is not safe for concurrent use.
type Machine struct {
	self       Entry
	registered bool

	renewedAt   fold.Instant
	confirmedAt fold.Instant
	viewedAt    fold.Instant
	listedAt    fold.Instant
	// floor is when the entry last joined or noticed a pause; what it read before that does not count for its votes.
	floor   fold.Instant
	watched fold.Instant
	steady  fold.Instant
	changed fold.Instant

	view Seen[View]
	// newer is the highest view number heard of, and revision the highest configuration heard of.
	newer    int64
	revision int64
	contact  contact

	entries  map[string]*peer
	units    map[string]Seen[Unit]
	specs    map[string]Spec
	released map[string]int64
}

// contact is the newest renewal that the entry knows of, its own or relayed; at is never too early.
type contact struct {
	version int64
	at      fold.Instant
}

// peer is what is known of another entry, or of an earlier incarnation of this one.
type peer struct {
	row       Seen[Entry]
	unchanged fold.Instant
	unlisted  fold.Instant
	listed    bool
	beat      Beat
	// heard is the instant before the request that the last heartbeat answers.
	heard fold.Instant
}

// New returns a machine for an entry that is not registered yet.
func New(self Entry) *Machine {
	return &Machine{
		self:        self,
		renewedAt:   never,
		confirmedAt: never,
		viewedAt:    never,
		listedAt:    never,
		floor:       never,
		watched:     never,
		steady:      never,
		contact:     contact{at: never},
		entries:     make(map[string]*peer),
		units:       make(map[string]Seen[Unit]),
		specs:       make(map[string]Spec),
		released:    make(map[string]int64),
	}
}

// Self returns the row that the next renewal should write over.
func (m *Machine) Self() Entry {
	return m.self
}

// Registered reports whether the row of this incarnation is in the table service.
func (m *Machine) Registered() bool {
	return m.registered
}

// Renewed records that the row was written; sent is the instant before the request.
func (m *Machine) Renewed(sent fold.Instant, row Entry, version int64) {
	row.State = m.self.State
	m.self = row
	if !m.registered {
		m.registered = true
		m.floor = max(m.floor, sent)
	}
	m.sawEntry(sent, Seen[Entry]{Key: m.keyOf(row.ID), Value: row, Version: version})
	m.renewedAt = max(m.renewedAt, sent)
	m.learn(contact{version: version, at: sent})
}

// Lost reports whether the rows last read show that this incarnation was fenced or replaced.
func (m *Machine) Lost() bool {
	if !m.registered {
		return false
	}
	p, ok := m.entries[m.self.ID]
	return !ok || p.row.Value.Incarnation != m.self.Incarnation || !p.row.Value.Counts()
}

// LostRow records that another entry fenced this incarnation; the machine starts again with the given one.
func (m *Machine) LostRow(incarnation string) {
	m.self.Incarnation = incarnation
	m.self.Beat = 0
	m.registered = false
	m.renewedAt = never
	m.confirmedAt = never
	m.viewedAt = never
	m.steady = never
	m.released = make(map[string]int64)
}

// Confirmed records that the configuration head was read; sent is the instant before the request.
func (m *Machine) Confirmed(sent fold.Instant) {
	m.confirmedAt = max(m.confirmedAt, sent)
}

// SawView records a read of the view row; sent is the instant before the request, and Version 0 means no row.
func (m *Machine) SawView(sent fold.Instant, view Seen[View]) {
	m.viewedAt = max(m.viewedAt, sent)
	if view.Version >= m.view.Version {
		m.view = view
	}
	m.newer = max(m.newer, view.Value.Number)
}

// SawEntries records the entry rows of one scan.
func (m *Machine) SawEntries(now fold.Instant, rows []Seen[Entry]) {
	present := make(map[string]bool, len(rows))
	for _, row := range rows {
		present[row.Value.ID] = true
		m.sawEntry(now, row)
	}
	for id := range m.entries {
		if !present[id] {
			delete(m.entries, id)
			m.changed = now
		}
	}
}

// SawUnits records the unit rows of one scan; a row older than the one known is left out.
func (m *Machine) SawUnits(rows []Seen[Unit]) {
	units := make(map[string]Seen[Unit], len(rows))
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

// Listed records the entries in the platform's instance list.
func (m *Machine) Listed(now fold.Instant, names []string) {
	listed := make(map[string]bool, len(names))
	for _, name := range names {
		listed[name] = true
	}
	for id, p := range m.entries {
		if p.listed || now.Sub(m.listedAt) > ListGap {
			p.unlisted = now
		}
		p.listed = listed[id]
	}
	m.listedAt = now
}

// Heard records the answer to a heartbeat; sent is the instant before the request. Only answers prove that the peer
// was reachable after a known instant, because a request may have waited for any time before it was read.
func (m *Machine) Heard(sent fold.Instant, b Beat) {
	m.note(sent, b)
	p, ok := m.entries[b.ID]
	if !ok || b.ID == m.self.ID || p.row.Value.Incarnation != b.Incarnation || sent < p.heard {
		return
	}
	p.beat = b
	p.heard = sent
}

// Told records a heartbeat that arrived as a request. It gives no evidence that the peer is reachable.
func (m *Machine) Told(now fold.Instant, b Beat) {
	m.note(now, b)
}

// Beat returns the heartbeat to send. The age of the confirmation is rounded up and that of the contact down, so that
// neither gives a receiver more rights.
func (m *Machine) Beat(now fold.Instant, revision int64) Beat {
	m.watch(now)
	m.revision = max(m.revision, revision)
	return Beat{
		ID:          m.self.ID,
		Incarnation: m.self.Incarnation,
		Contact:     age(now, m.contact.at),
		Proof:       m.contact.version,
		Revision:    revision,
		Known:       m.revision,
		Confirmed:   age(now.Add(time.Millisecond), m.confirmedAt),
		View:        m.newer,
		Votes:       m.votes(),
		Eligible:    m.Eligible(now),
	}
}

// note learns what holds no matter when the heartbeat was sent.
func (m *Machine) note(at fold.Instant, b Beat) {
	m.newer = max(m.newer, b.View)
	m.revision = max(m.revision, b.Known)
	m.learn(contact{version: b.Proof, at: ago(at, b.Contact)})
}

// learn keeps the newest renewal. The estimate of one renewal only falls, so that relaying does not make it younger.
func (m *Machine) learn(c contact) {
	switch {
	case c.at == never:
	case c.version > m.contact.version:
		m.contact = c
	case c.version == m.contact.version:
		m.contact.at = min(m.contact.at, c.at)
	}
}

// watch notices that the entry was paused.
func (m *Machine) watch(now fold.Instant) {
	if m.watched != never && now.Sub(m.watched) > HeardTime {
		m.floor = now
		m.steady = never
	}
	m.watched = max(m.watched, now)
}

// votes reports whether the entry has read everything that others count on since it joined or was paused.
func (m *Machine) votes() bool {
	return m.registered && m.renewedAt >= m.floor && m.confirmedAt >= m.floor && m.viewedAt >= m.floor
}

func (m *Machine) sawEntry(now fold.Instant, row Seen[Entry]) {
	p, ok := m.entries[row.Value.ID]
	if !ok {
		p = &peer{unchanged: now, unlisted: now, heard: never}
		m.entries[row.Value.ID] = p
		m.changed = now
	}
	if row.Version < p.row.Version {
		return
	}
	if p.row.Version != row.Version {
		p.unchanged = now
	}
	if p.row.Value.Incarnation != row.Value.Incarnation || p.row.Value.State != row.Value.State {
		m.changed = now
	}
	if p.row.Value.Incarnation != row.Value.Incarnation {
		p.heard = never
		p.unlisted = now
	}
	p.row = row
}

func (m *Machine) keyOf(id string) string {
	if p, ok := m.entries[id]; ok && p.row.Key != "" {
		return p.row.Key
	}
	return EntryPrefix + id
}

func ago(now fold.Instant, ms int64) fold.Instant {
	if ms < 0 {
		return never
	}
	return now.Add(-time.Duration(ms) * time.Millisecond)
}

func age(now, at fold.Instant) int64 {
	if at == never {
		return -1
	}
	return now.Sub(at).Milliseconds()
}

// Renewal is the next write of the entry's own row.
type Renewal struct {
	Row     Entry
	Version int64
	// Due is false while the row of an earlier incarnation may still be in use.
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
	mine := p.row.Value.Incarnation == m.self.Incarnation && p.row.Value.Counts()
	free := !p.row.Value.Counts() || now.Sub(p.unchanged) >= TTL
	r.Due = mine || (!m.registered && free)
	return r
}

// Leave makes the entry take no more units.
func (m *Machine) Leave() {
	m.self = m.self.WithState(StateLeaving)
}

// Left ends the entry's standing after its row was marked as left.
func (m *Machine) Left() {
	m.registered = false
	m.renewedAt = never
	m.confirmedAt = never
}
