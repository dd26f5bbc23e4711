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
	eligible    fold.Instant
	changed     fold.Instant

	entries map[string]*peer
	units   map[string]Seen[Unit]
	specs   map[string]Spec
}

// peer is what is known of another entry, or of an earlier incarnation of this one.
type peer struct {
	row       Seen[Entry]
	unchanged fold.Instant
	unlisted  fold.Instant
	listed    bool
	beat      Beat
	heard     fold.Instant
	contact   fold.Instant
	confirmed fold.Instant
}

// New returns a machine for an entry that is not registered yet.
func New(self Entry) *Machine {
	return &Machine{
		self:        self,
		renewedAt:   never,
		confirmedAt: never,
		eligible:    never,
		entries:     make(map[string]*peer),
		units:       make(map[string]Seen[Unit]),
		specs:       make(map[string]Spec),
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
	m.registered = true
	m.sawEntry(sent, Seen[Entry]{Value: row, Version: version})
	m.renewedAt = max(m.renewedAt, sent)
}

// LostRow records that another entry fenced this incarnation; the machine starts again with the given one.
func (m *Machine) LostRow(incarnation string) {
	m.self.Incarnation = incarnation
	m.self.Beat = 0
	m.registered = false
	m.renewedAt = never
	m.confirmedAt = never
	m.eligible = never
}

// Confirmed records that the configuration head was read; sent is the instant before the request.
func (m *Machine) Confirmed(sent fold.Instant) {
	m.confirmedAt = max(m.confirmedAt, sent)
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

// SawUnits records the unit rows of one scan.
func (m *Machine) SawUnits(rows []Seen[Unit]) {
	m.units = make(map[string]Seen[Unit], len(rows))
	for _, row := range rows {
		m.units[row.Key] = row
	}
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
		if p.listed && !listed[id] {
			p.unlisted = now
		}
		p.listed = listed[id]
	}
}

// Heard records a heartbeat; beats of incarnations other than the registered one are ignored.
func (m *Machine) Heard(now fold.Instant, b Beat) {
	p, ok := m.entries[b.ID]
	if !ok || b.ID == m.self.ID || p.row.Value.Incarnation != b.Incarnation || !p.row.Value.Counts() {
		return
	}
	p.beat = b
	p.heard = now
	p.contact = max(p.contact, ago(now, b.Contact))
	p.confirmed = max(p.confirmed, ago(now, b.Confirmed))
}

// Beat returns the heartbeat to send.
func (m *Machine) Beat(now fold.Instant, revision int64) Beat {
	return Beat{
		ID:          m.self.ID,
		Incarnation: m.self.Incarnation,
		Contact:     age(now, m.newestContact()),
		Revision:    revision,
		Confirmed:   age(now, m.confirmedAt),
	}
}

func (m *Machine) sawEntry(now fold.Instant, row Seen[Entry]) {
	p, ok := m.entries[row.Value.ID]
	if !ok {
		p = &peer{unchanged: now, unlisted: now, heard: never, contact: never, confirmed: never}
		m.entries[row.Value.ID] = p
		m.changed = now
	}
	if p.row.Version != row.Version {
		p.unchanged = now
	}
	if p.row.Value.Incarnation != row.Value.Incarnation || p.row.Value.State != row.Value.State {
		m.changed = now
		p.heard = never
	}
	p.row = row
}

func (m *Machine) newestContact() fold.Instant {
	newest := m.renewedAt
	for _, p := range m.entries {
		newest = max(newest, p.contact)
	}
	return newest
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
		r.Due = true
		return r
	}
	r.Version = p.row.Version
	mine := p.row.Value.Incarnation == m.self.Incarnation && p.row.Value.State != StateFenced
	free := !p.row.Value.Counts() || now.Sub(p.unchanged) >= TTL
	r.Due = mine || (!m.registered && free)
	if m.registered && !mine {
		// The write fails, which tells the caller that this incarnation was fenced.
		r.Version = -1
		r.Due = true
	}
	return r
}

// Took records that this entry became the owner of a unit.
func (m *Machine) Took(unit string, row Unit, version int64) {
	m.units[unit] = Seen[Unit]{Key: unit, Version: version, Value: row}
}

// Gave records that a unit was handed to another entry.
func (m *Machine) Gave(unit string, next Unit, version int64) {
	m.units[unit] = Seen[Unit]{Key: unit, Version: version, Value: next}
}

// Leave makes the entry take no more units.
func (m *Machine) Leave() {
	m.self = m.self.WithState(StateLeaving)
}
