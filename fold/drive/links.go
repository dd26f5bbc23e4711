package drive

import (
	"context"
	"runtime/debug"
	"slices"
	"sync"
	"time"

	"plantainfold.example/fold"
	"plantainfold.example/fold/core"
	"plantainfold.example/fold/lease"
	"plantainfold.example/fold/relay"
)

const (
	// linksEvery is how often carriers and what they look after are checked.
	linksEvery = 100 * time.Millisecond
	// carryTime bounds the question whether an entry opens a session; helperRest is how long one is left alone after it did
	// not, or after its session was lost.
	carryTime  = 400 * time.Millisecond
	helperRest = 2 * time.Second
	// spareRoom is how much more room than hosts the helpers have together, so that the loss of some leaves enough.
	spareRoom = 1.5
	// helpersTime is how long hosts wait for helpers at the beginning of a term before this entry looks after them itself.
	helpersTime = 600 * time.Millisecond
	// unheardTime is how long a carrier may tell nothing of a host before it is told again to look after it; looks take at
	// most two seconds, and a host that does not answer is told of.
	unheardTime = 5 * time.Second
	// ownerGC is the growth of the heap, in percent, at which an owner of a large pool collects; it spares about a tenth of
	// its processor time and stays below the limit that the settings give the process.
	ownerGC = 400
	// moveShare is how much more than its share a carrier has before hosts move away from it, maxMoves how many at a time.
	moveShare = 1.3
	maxMoves  = 16
)

// seat says who looks after a host.
type seat struct {
	by      carrier
	contact core.Contact
	// tried says that another carrier was tried since the host was last heard.
	tried bool
	// silent says that the carrier has told that the host does not answer.
	silent bool
	// heard is when the carrier last told of the host, or was told to look after it.
	heard fold.Instant
}

// links are the ways to the hosts.
type links struct {
	mu    sync.Mutex
	own   *own
	seats map[string]*seat
	// sessions are those of other entries, by id; asking are the names of entries that are asked to open one.
	sessions map[uint64]*session
	asking   map[string]bool
	rest     map[string]fold.Instant
	ids      uint64
	// sent are the orders without an outcome.
	sent   map[uint64]sent
	number uint64
	// began is the beginning of the term, checked when the links were last checked.
	began, checked fold.Instant
}

// runLinks keeps each host with a carrier until ctx ends.
func (d *Driver) runLinks(ctx context.Context) {
	for ctx.Err() == nil {
		d.checkSessions()
		d.openSessions(ctx)
		d.seatHosts()
		if !d.pause(ctx, linksEvery) {
			return
		}
	}
}

// checkSessions ends the sessions of relays that are silent. A pause of this process counts for none of them.
func (d *Driver) checkSessions() {
	l := &d.links
	now := d.parts.Clock.Now()
	var lost []*session
	l.mu.Lock()
	stalled := max(0, now.Sub(l.checked)-2*linksEvery)
	l.checked = now
	for _, s := range l.sessions {
		s.heard = s.heard.Add(stalled)
		if now.Sub(s.heard) > lostAfter {
			lost = append(lost, s)
		}
	}
	l.mu.Unlock()
	for _, s := range lost {
		d.endSession(s, "it does not call")
	}
}

// endSession ends a session: the outcome of its orders is unknown, and its hosts go to other carriers.
func (d *Driver) endSession(s *session, why string) {
	l := &d.links
	now := d.parts.Clock.Now()
	var open []sent
	hosts := 0
	l.mu.Lock()
	if l.sessions[s.id] != s {
		l.mu.Unlock()
		return
	}
	heard := now.Sub(s.heard)
	delete(l.sessions, s.id)
	s.closed = true
	l.rest[s.name()] = now.Add(helperRest)
	for n, o := range l.sent {
		if o.by == s {
			open = append(open, o)
			delete(l.sent, n)
		}
	}
	d.with(func(c *core.Cell) {
		for id, seat := range l.seats {
			if seat.by == s {
				d.leave(c, id, seat)
				delete(l.seats, id)
				hosts++
			}
		}
	})
	s.wake()
	l.mu.Unlock()
	d.log.Info("A relay of the pool was lost.", "entry", s.name(), "session", s.id, "hosts", hosts, "orders", len(open), "heard", heard.String(), "why", why)
	d.seatHosts()
	d.resolve(open, fold.Unknown.New("the relay %s was lost", s.name()))
}

// leave notes how long a carrier that is to leave a host alone may have renewed its leases; the caller holds the lock of
// the links and of the cell.
func (d *Driver) leave(c *core.Cell, id string, s *seat) {
	now := d.parts.Clock.Now()
	end := now
	if by, ok := s.by.(*session); ok {
		end = max(end, by.until)
	}
	c.RecordLease(id, end.Sub(now)+lease.MaxDuration(d.parts.Times.Lease))
}

// openSessions asks entries to help while the hosts are more than this entry can look after.
func (d *Driver) openSessions(ctx context.Context) {
	l := &d.links
	var hosts int
	d.with(func(c *core.Cell) { hosts = len(c.Contacts()) })
	if hosts <= d.parts.RelayCapacity {
		return
	}
	d.collect.Do(func() { debug.SetGCPercent(ownerGC) })
	now := d.parts.Clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	room := 0
	busy := make(map[string]bool)
	for _, s := range l.sessions {
		room += s.room()
		busy[s.name()] = true
	}
	for _, h := range d.parts.RelayEntries() {
		if float64(room) >= spareRoom*float64(hosts) {
			return
		}
		if busy[h.Name()] || l.rest[h.Name()] > now {
			continue
		}
		room += h.Capacity()
		if l.asking[h.Name()] {
			continue
		}
		l.asking[h.Name()] = true
		l.ids++
		s := &session{id: l.ids, helper: h, clock: d.parts.Clock, ready: make(chan struct{}), heard: now, texts: make(map[string]bool)}
		d.spawn(func() { d.openSession(ctx, s) })
	}
}

func (d *Driver) openSession(ctx context.Context, s *session) {
	l := &d.links
	// The relay may call before the answer arrives.
	l.mu.Lock()
	l.sessions[s.id] = s
	l.mu.Unlock()
	call, cancel := context.WithTimeout(ctx, carryTime)
	err := s.helper.OpenSession(call, d.term.Epoch(), s.id, d.parts.Clock.Now())
	cancel()
	l.mu.Lock()
	delete(l.asking, s.name())
	l.mu.Unlock()
	if err != nil && ctx.Err() == nil {
		d.endSession(s, err.Error())
		return
	}
	d.log.Info("A relay of the pool.", "entry", s.name(), "session", s.id, "room", s.room())
	d.seatHosts()
}

// seatHosts gives each host a carrier and tells carriers of changes.
func (d *Driver) seatHosts() {
	l := &d.links
	l.mu.Lock()
	defer l.mu.Unlock()
	d.with(func(c *core.Cell) {
		contacts := c.Contacts()
		named := make(map[string]bool, len(contacts))
		load := l.load()
		helped := len(contacts) > d.parts.RelayCapacity
		for _, contact := range contacts {
			id := contact.Host.ID
			named[id] = true
			s, ok := l.seats[id]
			switch {
			case !ok:
				by := l.choose(contact.Host, load, helped, nil)
				if by == nil && helped && (len(l.asking) > 0 || c.Now().Sub(l.began) < helpersTime) {
					// A helper is about to come.
					continue
				}
				if by == nil {
					by = l.own
				}
				l.place(contact, by, load)
			case s.contact.Host.Incarnation != contact.Host.Incarnation || s.contact.Host.Address != contact.Host.Address:
				s.contact = contact
				s.by.give(relay.Orders{Contacts: []relay.Contact{contactOf(contact)}})
			case c.Now().Sub(s.heard) > unheardTime && !s.silent:
				d.log.Warn("Nothing is heard of a host.", "host", id, "entry", s.by.name(), "since", c.Now().Sub(s.heard).String())
				s.heard = c.Now()
				s.by.give(relay.Orders{Releases: []string{id}, Contacts: []relay.Contact{contactOf(contact)}})
			}
		}
		for id, s := range l.seats {
			if !named[id] {
				s.by.give(relay.Orders{Releases: []string{id}})
				d.leave(c, id, s)
				delete(l.seats, id)
				load[s.by]--
			}
		}
		if helped {
			d.balance(c, contacts, load)
		}
	})
}

// place seats a host at a carrier; the caller holds the lock.
func (l *links) place(contact core.Contact, by carrier, load map[carrier]int) {
	l.seats[contact.Host.ID] = &seat{by: by, contact: contact, heard: l.checked}
	load[by]++
	by.give(relay.Orders{Contacts: []relay.Contact{contactOf(contact)}})
}

func contactOf(c core.Contact) relay.Contact {
	return relay.Contact{ID: c.Host.ID, Address: c.Host.Address, Incarnation: c.Host.Incarnation, Acked: c.Acked, MaxWait: c.MaxWait}
}

// load counts the hosts of each carrier that can take some; the caller holds the lock.
func (l *links) load() map[carrier]int {
	load := make(map[carrier]int)
	for _, s := range l.sessions {
		if s.told > 0 {
			load[s] = 0
		}
	}
	for _, s := range l.seats {
		load[s.by]++
	}
	return load
}

// choose returns the carrier with the least load for its room, those in the domain of the host first, or nil. Without
// helped it is this entry itself.
func (l *links) choose(h fold.Host, load map[carrier]int, helped bool, except carrier) carrier {
	if !helped && except != l.own {
		return l.own
	}
	var best carrier
	var bestScore float64
	for by, n := range load {
		if by == except || by == l.own || n >= by.room() {
			continue
		}
		score := float64(n) / float64(max(1, by.room()))
		if by.domain() != h.Domain {
			score += otherDomain
		}
		if best == nil || score < bestScore || score == bestScore && by.name() < best.name() {
			best, bestScore = by, score
		}
	}
	return best
}

// otherDomain is how much fuller, as a share of its room, a carrier in the host's own domain may be than one elsewhere:
// looks within a domain cost nothing on the links between them.
const otherDomain = 0.25

// balance moves hosts from carriers that have more than their share to the least loaded; the caller holds both locks.
func (d *Driver) balance(c *core.Cell, contacts []core.Contact, load map[carrier]int) {
	l := &d.links
	room := 0
	for by := range load {
		if by != l.own {
			room += by.room()
		}
	}
	if room == 0 {
		return
	}
	moves := 0
	for _, contact := range contacts {
		s, ok := l.seats[contact.Host.ID]
		if !ok || moves >= maxMoves {
			continue
		}
		share := float64(len(contacts)) * float64(s.by.room()) / float64(room)
		if s.by != l.own && float64(load[s.by]) <= moveShare*share+1 {
			continue
		}
		if by := l.choose(contact.Host, load, true, s.by); by != nil && (s.by == l.own || load[by]+1 < load[s.by]) {
			d.move(c, contact, s, by, load)
			moves++
		}
	}
}

// move gives a host to another carrier; the caller holds both locks.
func (d *Driver) move(c *core.Cell, contact core.Contact, s *seat, by carrier, load map[carrier]int) {
	s.by.give(relay.Orders{Releases: []string{contact.Host.ID}})
	d.leave(c, contact.Host.ID, s)
	load[s.by]--
	tried := s.tried
	d.links.place(contact, by, load)
	d.links.seats[contact.Host.ID].tried = tried
}

// tryOthers gives hosts that do not answer to other carriers, once for each silence: the way to them may be cut, not the
// hosts themselves.
func (d *Driver) tryOthers(hosts []string) {
	if len(hosts) == 0 {
		return
	}
	l := &d.links
	l.mu.Lock()
	defer l.mu.Unlock()
	d.with(func(c *core.Cell) {
		load := l.load()
		for _, contact := range c.Contacts() {
			s, ok := l.seats[contact.Host.ID]
			if !ok || s.tried || !slices.Contains(hosts, contact.Host.ID) {
				continue
			}
			by := l.choose(contact.Host, load, true, s.by)
			if by == nil && s.by != l.own {
				by = l.own
			}
			if by != nil {
				s.tried = true
				d.log.Debug("Another entry looks after a silent host.", "host", contact.Host.ID, "entry", by.name())
				d.move(c, contact, s, by, load)
			}
		}
	})
}

// forgetTexts lets relays forget the texts of jobs that have ended.
func (d *Driver) forgetTexts(jobs []string) {
	l := &d.links
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range l.sessions {
		for _, job := range jobs {
			if s.texts[job] {
				delete(s.texts, job)
				s.give(relay.Orders{Forget: []string{job}})
			}
		}
	}
}
