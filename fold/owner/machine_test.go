package owner

import (
	"testing"
	"time"

	"plantainfold.example/fold"
)

// start is an instant that is later than all limits of age in the rules.
const start = fold.Instant(time.Hour)

// newMember returns a machine of entry a, which is in a view of three entries and has just read all rows.
func newMember() *Machine {
	now := start
	m := New(Entry{ID: "a", Incarnation: "a1", State: StateLive})
	m.RecordRenewal(now, m.Self(), 1)
	m.RecordEntries(now, []Versioned[Entry]{
		{Key: "entry/a", Version: 1, Value: m.Self()},
		{Key: "entry/b", Version: 2, Value: Entry{ID: "b", Incarnation: "b1", State: StateLive}},
		{Key: "entry/c", Version: 3, Value: Entry{ID: "c", Incarnation: "c1", State: StateLive}},
	})
	m.RecordView(now, Versioned[View]{Version: 4, Value: View{Number: 1, Members: map[string]string{"a": "a1", "b": "b1", "c": "c1"}}})
	m.RecordHeadRead(now)
	m.Tick(now)
	return m
}

func beatOfB() Beat {
	return Beat{ID: "b", Incarnation: "b1", Contact: -1, Confirmed: -1, View: 1, CanVote: true, Eligible: true}
}

// renewFor simulates heartbeats, renewals and ticks every half second from one instant to another.
func renewFor(m *Machine, from, to fold.Instant) {
	for now := from; now <= to; now = now.Add(500 * time.Millisecond) {
		m.RecordAnswer(now, beatOfB())
		for _, id := range []string{"b", "c"} {
			row := m.entries[id].row
			row.Version += 10
			m.recordEntry(now, row)
		}
		m.RecordRenewal(now, m.Self(), m.entries["a"].row.Version+10)
		m.Tick(now)
	}
}

// Guards against standing in an outage by heartbeats that do not prove recent contact with a majority.
func TestOutageNeedsAnsweredHeartbeats(t *testing.T) {
	later := start.Add(time.Minute)
	for _, c := range []struct {
		name string
		do   func(m *Machine)
		want Mode
	}{
		{"an answered heartbeat", func(m *Machine) { m.RecordAnswer(later, beatOfB()) }, ModeOutage},
		{"a heartbeat that arrived as a request", func(m *Machine) { m.RecordRequest(later, beatOfB()) }, ModeNone},
		{"an answer to an old request", func(m *Machine) { m.RecordAnswer(later.Add(-3*time.Second), beatOfB()) }, ModeNone},
		{"a peer that joined and has read nothing", func(m *Machine) {
			b := beatOfB()
			b.CanVote = false
			m.RecordAnswer(later, b)
		}, ModeNone},
		{"a peer that knows a newer view", func(m *Machine) {
			b := beatOfB()
			b.View = 2
			m.RecordAnswer(later, b)
		}, ModeNone},
		{"a peer that knows of table contact", func(m *Machine) {
			b := beatOfB()
			b.Contact, b.ContactVersion = 1000, 99
			m.RecordAnswer(later, b)
		}, ModeNone},
		{"a pause of this entry", func(m *Machine) {
			m.RecordAnswer(later, beatOfB())
			m.Tick(later.Add(-3 * time.Second))
			m.Tick(later)
		}, ModeNone},
	} {
		t.Run(c.name, func(t *testing.T) {
			m := newMember()
			m.lastCheck = never
			c.do(m)
			if got := m.Standing(later); got != c.want {
				t.Errorf("standing %s, want %s", got, c.want)
			}
		})
	}
}

// Guards against outage mode that never begins. Entries relay the same renewal to each other, and the delay of each
// message could make it look younger.
func TestRelayedContactAges(t *testing.T) {
	m := newMember()
	for n := range 20 {
		b := beatOfB()
		// The peer relays the renewal made at start, and each message takes half a second.
		b.ContactVersion, b.Contact = 1, int64(n)*500
		m.RecordAnswer(start.Add(time.Duration(n+1)*500*time.Millisecond), b)
	}
	if got := m.Beat(start.Add(10*time.Second), 0).Contact; got != 10_000 {
		t.Errorf("the age of the contact is %d ms, want 10000", got)
	}
}

// Guards against an older heartbeat that arrives late and makes its revision count as recently confirmed.
func TestLateHeartbeatConfirmsNothing(t *testing.T) {
	m := newMember()
	later := start.Add(time.Minute)
	newer, older := beatOfB(), beatOfB()
	newer.Revision, newer.Confirmed, newer.Contact, newer.ContactVersion = 2, 0, 0, 99
	older.Revision, older.Confirmed = 1, 0
	m.RecordAnswer(later, newer)
	m.RecordAnswer(later.Add(-time.Second), older)
	if got := m.ConfigMode(later, 1); got != ModeNone {
		t.Errorf("revision 1 is fresh by mode %s after revision 2 was confirmed", got)
	}
	if got := m.ConfigMode(later, 2); got != ModePeer {
		t.Errorf("revision 2 is fresh by mode %s, want %s", got, ModePeer)
	}
}

// Guards against an entry that resumes after a pause and writes views, owners or configurations by outdated evidence.
func TestPauseEndsEligibility(t *testing.T) {
	m := newMember()
	end := start.Add(6 * time.Second)
	renewFor(m, start, end)
	if !m.Eligible(end) {
		t.Fatal("not eligible after 6 s of contact")
	}
	woken := end.Add(3 * time.Second)
	if m.Eligible(woken) {
		t.Error("eligible after a pause of 3 s")
	}
	m.Tick(woken)
	m.RecordAnswer(woken, beatOfB())
	m.RecordRenewal(woken, m.Self(), 1000)
	m.Tick(woken)
	if m.Eligible(woken) {
		t.Error("eligible right after a pause, before view and configuration were read again")
	}
}

// Guards against an ownership that is restored by a scan from before a hand-over, and against use of a unit after a
// hand-over whose outcome is unknown.
func TestReleasedUnitStaysReleased(t *testing.T) {
	m := newMember()
	m.SetSpecs([]Spec{{ID: "once/00"}})
	mine := Versioned[Unit]{Key: "once/00", Version: 5, Value: Unit{Owner: "a", Incarnation: "a1", First: true}}
	m.RecordUnits([]Versioned[Unit]{mine})
	if len(m.Owned()) != 1 {
		t.Fatal("the unit is not owned")
	}
	m.Release([]HandOver{{Unit: "once/00", Version: 5}})
	m.RecordUnits([]Versioned[Unit]{mine})
	if len(m.Owned()) != 0 || m.EpochOf("once/00") != 0 {
		t.Error("the unit is used again at the epoch at which it was released")
	}
	renewFor(m, start, start.Add(6*time.Second))
	if gives := m.Plan(start.Add(6 * time.Second)).HandOvers; len(gives) != 1 {
		t.Errorf("%d hand-overs planned, want 1 because the released unit must be written again", len(gives))
	}
	m.RecordUnits([]Versioned[Unit]{{Key: "once/00", Version: 9, Value: Unit{Owner: "b", Incarnation: "b1"}}})
	m.RecordUnits([]Versioned[Unit]{mine})
	if len(m.Owned()) != 0 {
		t.Error("a scan from before the hand-over restored the ownership")
	}
}

// Guards against a unit without an owner that waits for a preferred entry which is not eligible.
func TestUnitDoesNotWaitForIneligiblePeer(t *testing.T) {
	m := newMember()
	m.SetSpecs([]Spec{{ID: "u0"}, {ID: "u1"}, {ID: "u2"}, {ID: "u3"}})
	end := start.Add(6 * time.Second)
	renewFor(m, start, end)
	b := beatOfB()
	b.Eligible = false
	m.RecordAnswer(end.Add(time.Millisecond), b)
	if got := len(m.Plan(end.Add(time.Millisecond)).TakeOvers); got != 4 {
		t.Errorf("%d takeovers planned, want all 4 units", got)
	}
}

// Guards against an entry that counts as ended after a few readings of an instance list that is wrong or unreachable.
func TestGoneNeedsAnAbsenceWithoutGap(t *testing.T) {
	names := []string{"a", "b", "c"}
	for _, c := range []struct {
		name  string
		reads map[int][]string
		want  bool
	}{
		{"absent in every reading", map[int][]string{0: names, 8: {"a"}, 16: {"a"}, 24: {"a"}, 32: {"a"}, 40: {"a"}}, true},
		{"listed again in between", map[int][]string{0: names, 8: {"a"}, 16: {"a"}, 24: names, 32: {"a"}, 40: {"a"}}, false},
		{"no reading for a while", map[int][]string{0: names, 8: {"a"}, 40: {"a"}}, false},
		{"no reading since the first absence", map[int][]string{0: names, 8: {"a"}}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			m := newMember()
			for s := range 60 {
				if list, ok := c.reads[s]; ok {
					m.RecordInstances(start.Add(time.Duration(s)*time.Second), list)
				}
			}
			if got := m.ended("c"); got != c.want {
				t.Errorf("ended %v, want %v", got, c.want)
			}
		})
	}
}
