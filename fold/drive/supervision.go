package drive

import (
	"cmp"
	"context"
	"runtime/debug"
	"sync"
	"time"

	"plantainfold.example/fold"
	"plantainfold.example/fold/core"
	"plantainfold.example/fold/lease"
	"plantainfold.example/fold/relay"
)

const (
	// supervisionInterval is how often supervisors and their assignments are checked.
	supervisionInterval = 100 * time.Millisecond
	// openTimeout limits the call that asks an entry to open a session. It is shorter than a permission lasts, because a relay
	// with a longer round trip never has one.
	openTimeout = 900 * time.Millisecond
	// openWait is the time after which other entries are asked in place of one that has not answered this call.
	openWait = 400 * time.Millisecond
	// reopenDelay is how long an entry is not asked again after it failed to open a session or its session was lost.
	reopenDelay = 2 * time.Second
	// Sessions are opened until their total capacity is at least spareFactor times the number of hosts, so that enough is
	// left when some sessions are lost.
	spareFactor = 1.5
	// unreachedWeight is the number of hosts that each host counts for in addition if no supervisor reaches it.
	unreachedWeight = 10
	// sessionsWait is how long, at the beginning of a term, hosts for which no session has room stay unassigned before this
	// entry supervises them itself. They stay unassigned for longer while a session is being opened.
	sessionsWait = 600 * time.Millisecond
	// noContactTimeout is how long a supervisor may report nothing about a host before the assignment is sent again. A
	// host that does not answer is reported as silent after about two seconds; after more time without any report, the
	// assignment may have been lost.
	noContactTimeout = 5 * time.Second
	// ownerGCPercent is the garbage collection target (GOGC) of an owner of a large pool. It saves about a tenth of the
	// processor time. The memory limit in the settings still applies.
	ownerGCPercent = 400
	// A session is overloaded if its load exceeds overloadFactor times its share of all hosts by more than one host. The
	// share is in proportion to the session's capacity.
	overloadFactor = 1.3
	// maxReassignments limits the hosts that one round of balancing assigns to other supervisors.
	maxReassignments = 16
)

// assignment records which supervisor a host is assigned to.
type assignment struct {
	supervisor supervisor
	contact    core.Contact
	history    hostHistory
	// silent is true if the supervisor reported that the host does not answer.
	silent bool
	// lastContact is when the supervisor last passed on a report of the host or, if later, was sent the assignment again. At
	// first it is the time of the last session check before the assignment.
	lastContact fold.Instant
}

// unreached reports whether the host was silent when it was last heard of.
func (a *assignment) unreached() bool {
	return a.silent || a.history.moved
}

// supervision holds the supervisors, the assignments of hosts and the orders whose outcome is not known yet.
type supervision struct {
	mu sync.Mutex
	// ended is set once the owner gives no more permissions to relays.
	ended       bool
	local       *localRelay
	assignments map[string]*assignment
	// sessions are the sessions with relays on other entries, by id.
	sessions map[uint64]*session
	// opening holds the names of entries that are being asked to open a session.
	opening map[string]bool
	// retryAt holds, by entry name, when the entry may be asked again to open a session.
	retryAt     map[string]fold.Instant
	lastSession uint64
	// openOrders are the orders whose outcome is not known yet, by number.
	openOrders map[uint64]openOrder
	lastOrder  uint64
	// termStart is when the term began. lastCheck is when the sessions were last checked.
	termStart, lastCheck fold.Instant
	// records holds what each supervisor has reported, by name.
	records map[string]*contactRecord
	// lastSilentMove is when silent hosts were last assigned to other supervisors in a round.
	lastSilentMove fold.Instant
	// unreached is the number of unused hosts that no session has reached since they fell silent.
	unreached int
}

// runSupervision keeps each host assigned to a supervisor until ctx ends.
func (d *Driver) runSupervision(ctx context.Context) {
	for ctx.Err() == nil {
		d.logPermission()
		d.checkSessions()
		d.openSessions(ctx)
		d.assignHosts()
		d.moveSilentHosts()
		if !d.pause(ctx, supervisionInterval) {
			return
		}
	}
}

// logPermission logs when this owner stops renewing leases and when it renews them again.
func (d *Driver) logPermission() {
	d.mu.Lock()
	renewing, sinceCommit := d.mayRenewLocked(), d.parts.Clock.Now().Sub(d.lastCommit)
	changed := renewing == d.renewalPaused
	d.renewalPaused = !renewing
	d.mu.Unlock()
	switch {
	case changed && renewing:
		d.log.Info("Renewing leases again.")
	case changed:
		d.log.Warn("Stopped renewing leases because no commit has succeeded.", "sinceCommit", sinceCommit.String())
	}
}

// checkSessions ends the sessions whose relays have stopped calling. Time during which this process was stalled does
// not count as silence of a relay.
func (d *Driver) checkSessions() {
	l := &d.supervision
	now := d.parts.Clock.Now()
	var lost []*session
	l.mu.Lock()
	stalled := max(0, now.Sub(l.lastCheck)-2*supervisionInterval)
	l.lastCheck = now
	for _, s := range l.sessions {
		s.lastContact = s.lastContact.Add(stalled)
		if !s.opening && now.Sub(s.lastContact) > sessionTimeout {
			lost = append(lost, s)
		}
	}
	l.mu.Unlock()
	for _, s := range lost {
		d.endSession(s, "the relay has stopped calling")
	}
}

// endSession ends a session. The outcome of its orders becomes unknown, and its hosts are assigned to other supervisors.
func (d *Driver) endSession(s *session, reason string) {
	l := &d.supervision
	now := d.parts.Clock.Now()
	var openOrders []openOrder
	hosts := 0
	l.mu.Lock()
	if l.sessions[s.id] != s {
		l.mu.Unlock()
		return
	}
	sinceContact := now.Sub(s.lastContact)
	delete(l.sessions, s.id)
	s.closed = true
	l.retryAt[s.name()] = now.Add(reopenDelay)
	for n, o := range l.openOrders {
		if o.supervisor == s {
			openOrders = append(openOrders, o)
			delete(l.openOrders, n)
		}
	}
	d.withCell(func(c *core.Cell) {
		for id, assigned := range l.assignments {
			if assigned.supervisor == s {
				d.recordLeases(c, id, assigned)
				delete(l.assignments, id)
				hosts++
			}
		}
	})
	s.wakeCalls()
	l.mu.Unlock()
	d.log.Info("Ended the session with a relay.", "entry", s.name(), "session", s.id, "hosts", hosts, "orders", len(openOrders), "since", sinceContact.String(), "why", reason)
	d.assignHosts()
	d.resolveOrders(openOrders, fold.Unknown.New("the session with the relay on entry %s ended before it reported the outcome of the order", s.name()))
}

// recordLeases tells the cell, when a host is taken from its supervisor, how long the leases that the supervisor granted
// may last. The caller holds the locks of the supervision and the cell.
func (d *Driver) recordLeases(c *core.Cell, id string, a *assignment) {
	// RecordLease counts from this time.
	now := c.Now()
	end := now
	if remote, ok := a.supervisor.(*session); ok {
		end = max(end, remote.permittedUntil)
	}
	c.RecordLease(id, end.Sub(now)+lease.MaxDuration(d.parts.Times.Lease))
}

// maxBoundedHosts limits the hosts that LeaseBounds names. Each takes about 25 bytes of the owner's row.
const maxBoundedHosts = 500

// LeaseBounds returns bounds of all leases that this owner and earlier ones have granted, counted from now. Run must have returned, so
// that this entry grants no more; relays in other entries get no further permissions, and may renew leases until theirs end.
func (d *Driver) LeaseBounds() lease.Bounds {
	l := &d.supervision
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ended = true
	left := make(map[string]time.Duration)
	if l.local != nil {
		left = l.local.relay.LeasesLeft()
	}
	var bounds lease.Bounds
	d.withCell(func(c *core.Cell) {
		bounds = c.LeaseBounds(func(host string) time.Duration {
			granted := left[host]
			if a, ok := l.assignments[host]; ok {
				if remote, ok := a.supervisor.(*session); ok {
					granted = max(granted, remote.permittedUntil.Sub(c.Now())+lease.MaxDuration(d.parts.Times.Lease))
				}
			}
			return granted
		}, maxBoundedHosts)
	})
	return bounds
}

// openSessions asks other entries to open sessions if the pool has more hosts than this entry can supervise. Sessions whose
// relays reach no host do not count, and more are opened while no supervisor reaches some of the hosts.
func (d *Driver) openSessions(ctx context.Context) {
	l := &d.supervision
	var hosts int
	d.withCell(func(c *core.Cell) { hosts = len(c.Contacts()) })
	if hosts <= d.parts.RelayCapacity {
		return
	}
	d.raiseGCPercent.Do(func() { debug.SetGCPercent(ownerGCPercent) })
	now := d.parts.Clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	capacity := 0
	connected := make(map[string]bool)
	for _, s := range l.sessions {
		if useful := s.eventsNumber > 0 || l.opening[s.name()] || !s.opening; useful && !l.record(s).isolated(now) {
			capacity += s.capacity()
		}
		connected[s.name()] = true
	}
	for _, e := range d.parts.RelayEntries() {
		if float64(capacity) >= spareFactor*float64(hosts+unreachedWeight*l.unreached) {
			return
		}
		if connected[e.Name()] || l.retryAt[e.Name()] > now {
			continue
		}
		capacity += e.Capacity()
		if l.opening[e.Name()] {
			continue
		}
		l.opening[e.Name()] = true
		l.lastSession++
		s := &session{id: l.lastSession, entry: e, clock: d.parts.Clock, ready: make(chan struct{}), lastContact: now, specs: make(map[string]bool)}
		d.spawn(func() { d.openSession(ctx, s) })
	}
}

func (d *Driver) openSession(ctx context.Context, s *session) {
	l := &d.supervision
	// The session is registered first because the relay may call before the answer arrives.
	l.mu.Lock()
	l.sessions[s.id], s.opening = s, true
	l.mu.Unlock()
	call, cancel := context.WithTimeout(ctx, openTimeout)
	d.spawn(func() {
		if d.pause(call, openWait) {
			l.mu.Lock()
			delete(l.opening, s.name())
			l.mu.Unlock()
		}
	})
	err := s.entry.OpenSession(call, d.term.Epoch(), s.id, d.parts.Clock.Now())
	cancel()
	l.mu.Lock()
	delete(l.opening, s.name())
	s.opening = false
	// A call of the relay shows that the session is open, even if the answer is lost.
	opened := err == nil || s.eventsNumber > 0
	if opened {
		s.lastContact = max(s.lastContact, d.parts.Clock.Now())
	}
	l.mu.Unlock()
	// Once ctx has ended, a failed call is handled and logged like a successful one; the session stays registered.
	if !opened && ctx.Err() == nil {
		d.endSession(s, err.Error())
		return
	}
	d.log.Info("Opened a session with a relay.", "entry", s.name(), "session", s.id, "capacity", s.capacity())
	d.assignHosts()
}

// assignHosts assigns each host to a supervisor and sends the changes to the supervisors.
func (d *Driver) assignHosts() {
	l := &d.supervision
	l.mu.Lock()
	defer l.mu.Unlock()
	d.withCell(func(c *core.Cell) {
		contacts := c.Contacts()
		listed := make(map[string]bool, len(contacts))
		load := l.load()
		useSessions := len(contacts) > d.parts.RelayCapacity
		for _, contact := range contacts {
			id := contact.Host.ID
			listed[id] = true
			a, ok := l.assignments[id]
			switch {
			case !ok:
				chosen := l.chooseSupervisor(contact.Host, load, useSessions, c.Now())
				if chosen == nil && useSessions && (len(l.opening) > 0 || c.Now().Sub(l.termStart) < sessionsWait) {
					// Wait, because a session may open soon.
					continue
				}
				if chosen == nil {
					chosen = l.local
				}
				l.assign(contact, chosen, load)
			case a.contact.Host.Incarnation != contact.Host.Incarnation || a.contact.Host.Address != contact.Host.Address:
				a.contact = contact
				a.supervisor.enqueue(relay.Orders{Contacts: []relay.Contact{contactOf(contact)}})
			case c.Now().Sub(a.lastContact) > noContactTimeout && !a.silent:
				d.log.Warn("The supervisor of a host reports nothing about it; assigning the host again.", "host", id, "entry", a.supervisor.name(), "since", c.Now().Sub(a.lastContact).String())
				a.lastContact = c.Now()
				// The new contact of the relay does not know the leases that the old one requested.
				d.recordLeases(c, id, a)
				a.supervisor.enqueue(relay.Orders{Releases: []string{id}, Contacts: []relay.Contact{contactOf(contact)}})
			}
		}
		for id, a := range l.assignments {
			if !listed[id] {
				a.supervisor.enqueue(relay.Orders{Releases: []string{id}})
				d.recordLeases(c, id, a)
				delete(l.assignments, id)
				load[a.supervisor]--
			}
		}
		if useSessions {
			d.balance(c, contacts, load)
		}
	})
}

// assign assigns a host to a supervisor. The caller holds the lock.
func (l *supervision) assign(contact core.Contact, to supervisor, load map[supervisor]int) {
	l.assignments[contact.Host.ID] = &assignment{supervisor: to, contact: contact, lastContact: l.lastCheck}
	load[to]++
	to.enqueue(relay.Orders{Contacts: []relay.Contact{contactOf(contact)}})
}

func contactOf(c core.Contact) relay.Contact {
	return relay.Contact{ID: c.Host.ID, Address: c.Host.Address, Incarnation: c.Host.Incarnation, Acked: c.Acked, MaxWait: c.MaxWait}
}

// load returns the number of hosts of each supervisor. A session without hosts is included once it has sent an event
// message. The caller holds the lock.
func (l *supervision) load() map[supervisor]int {
	load := make(map[supervisor]int)
	for _, s := range l.sessions {
		if s.eventsNumber > 0 {
			load[s] = 0
		}
	}
	for _, a := range l.assignments {
		load[a.supervisor]++
	}
	return load
}

// chooseSupervisor returns the local relay if useSessions is false. Otherwise it returns the session with the lowest load
// relative to its capacity, or nil if none has room. Sessions that are not isolated and those in the host's failure domain are
// preferred.
func (l *supervision) chooseSupervisor(h fold.Host, load map[supervisor]int, useSessions bool, now fold.Instant) supervisor {
	if !useSessions {
		return l.local
	}
	return l.leastLoaded(h, load, func(s supervisor, n int) (rank int64, ok bool) {
		if !l.usable(s, n, now) {
			rank = 1
		}
		return rank, s != l.local && n < s.capacity()
	})
}

// leastLoaded returns the supervisor of the lowest rank, and among these the one with the lowest load relative to its capacity,
// or nil if rankOf accepts none.
func (l *supervision) leastLoaded(h fold.Host, load map[supervisor]int, rankOf func(s supervisor, n int) (rank int64, ok bool)) supervisor {
	var best supervisor
	var bestRank int64
	var bestScore float64
	for s, n := range load {
		rank, ok := rankOf(s, n)
		if !ok {
			continue
		}
		score := float64(n) / float64(max(1, s.capacity()))
		if s.domain() != h.Domain {
			score += otherDomainPenalty
		}
		if best == nil || cmp.Or(cmp.Compare(rank, bestRank), cmp.Compare(score, bestScore), cmp.Compare(s.name(), best.name())) < 0 {
			best, bestRank, bestScore = s, rank, score
		}
	}
	return best
}

// otherDomainPenalty is added to the relative load of a supervisor outside the host's failure domain, so that more calls
// stay within a domain, where they do not load the network between domains.
const otherDomainPenalty = 0.25

// balance moves hosts that answer from the local relay and from overloaded sessions to the least loaded sessions. The caller
// holds the locks of the supervision and the cell.
func (d *Driver) balance(c *core.Cell, contacts []core.Contact, load map[supervisor]int) {
	l := &d.supervision
	now, capacity := c.Now(), 0
	for s, n := range load {
		if s != l.local && l.usable(s, n, now) {
			capacity += s.capacity()
		}
	}
	if capacity == 0 {
		return
	}
	answering, hosts := l.answeringLoad(load)
	reassigned := 0
	for _, contact := range contacts {
		a, ok := l.assignments[contact.Host.ID]
		if !ok || a.unreached() || reassigned >= maxReassignments {
			continue
		}
		share := float64(hosts) * float64(a.supervisor.capacity()) / float64(capacity)
		if a.supervisor != l.local && float64(answering[a.supervisor]) <= overloadFactor*share+1 {
			continue
		}
		if candidate := l.balanceTarget(contact.Host, a, load, answering, now); candidate != nil {
			d.reassign(c, contact, a, candidate, load)
			answering[a.supervisor]--
			answering[candidate]++
			reassigned++
		}
	}
}

// answeringLoad returns the number of hosts that answer of each supervisor in load, and of all of them. Silent hosts do not stay
// with a supervisor, so balancing does not count them as load. The caller holds the lock.
func (l *supervision) answeringLoad(load map[supervisor]int) (answering map[supervisor]int, hosts int) {
	answering = make(map[supervisor]int, len(load))
	for s := range load {
		answering[s] = 0
	}
	for _, a := range l.assignments {
		if !a.unreached() {
			answering[a.supervisor]++
			hosts++
		}
	}
	return answering, hosts
}

// balanceTarget returns the session that balancing assigns a host to, or nil if none is better. The caller holds the lock.
func (l *supervision) balanceTarget(h fold.Host, a *assignment, load, answering map[supervisor]int, now fold.Instant) supervisor {
	if a.history.failedAny(now, balanceRetryTime) && (a.supervisor != l.local || load[l.local] <= l.local.capacity()) {
		return nil
	}
	candidate := l.leastLoaded(h, answering, func(s supervisor, _ int) (int64, bool) {
		return 0, s != l.local && s != a.supervisor && load[s] < s.capacity() && l.usable(s, load[s], now) && !a.history.failed(s.name(), now, silentRetryTime)
	})
	if candidate != nil && a.supervisor != l.local && answering[candidate]+1 >= answering[a.supervisor] {
		return nil
	}
	return candidate
}

// reassign moves a host to another supervisor. The caller holds the locks of the supervision and the cell.
func (d *Driver) reassign(c *core.Cell, contact core.Contact, a *assignment, to supervisor, load map[supervisor]int) {
	a.supervisor.enqueue(relay.Orders{Releases: []string{contact.Host.ID}})
	d.recordLeases(c, contact.Host.ID, a)
	load[a.supervisor]--
	d.supervision.assign(contact, to, load)
	d.supervision.assignments[contact.Host.ID].history = a.history
}

// dropSpecs tells relays to drop the specifications of jobs that have ended.
func (d *Driver) dropSpecs(jobs []string) {
	l := &d.supervision
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range l.sessions {
		for _, job := range jobs {
			if s.specs[job] {
				delete(s.specs, job)
				s.enqueue(relay.Orders{Forget: []string{job}})
			}
		}
	}
}
