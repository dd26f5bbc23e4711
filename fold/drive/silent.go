package drive

import (
	"cmp"
	"slices"
	"time"

	"plantainfold.example/fold"
	"plantainfold.example/fold/core"
)

const (
	// silentMoveInterval is the time between rounds in which silent hosts are assigned to other supervisors. A relay gets no
	// new permission while it has releases to apply, so they are sent together.
	silentMoveInterval = time.Second
	// maxSilentMoves limits the hosts of such a round.
	maxSilentMoves = 200
	// silentRetryTime is how long a silent host is not assigned again to a supervisor that did not reach it.
	silentRetryTime = 10 * time.Second
	// balanceRetryTime is how long balancing leaves a host alone after a supervisor did not reach it, because others may not
	// reach it either. This entry hands over hosts beyond its capacity after silentRetryTime.
	balanceRetryTime = time.Minute
	// isolatedSilences is the number of hosts that must fall silent in a row before a supervisor counts as isolated.
	isolatedSilences = 3
	// isolatedTime is how long such a supervisor must have reported no answer. Hosts report within two seconds.
	isolatedTime = 2 * time.Second
	// isolatedRetryTime is how long after the last silence a supervisor that counts as isolated may get a host that answers
	// elsewhere, to find out whether it reaches hosts again.
	isolatedRetryTime = 10 * time.Second
)

// contactRecord records what a supervisor has reported about the hosts that it supervises.
type contactRecord struct {
	lastReport, lastSilence fold.Instant
	// silences counts the hosts that fell silent since the last report.
	silences int
}

// isolated reports whether the supervisor has lately reached no host.
func (r contactRecord) isolated(now fold.Instant) bool {
	return r.silences >= isolatedSilences && now.Sub(r.lastReport) > isolatedTime
}

// hostHistory records through which supervisors a host answered. It is kept when the host is assigned to another one.
type hostHistory struct {
	// moved is true if the host was assigned to another supervisor because it was silent, and has not reported since.
	moved bool
	// reachedBy is the name of the supervisor that last reported an answer. valid is false if there is none.
	reachedBy string
	valid     bool
	// silentSince is when the host was first reported as silent since its last report, or 0.
	silentSince fold.Instant
	// failedAt holds when a supervisor last reported the host as silent, by name, unless it has reached the host since.
	failedAt map[string]fold.Instant
}

// failed reports whether the supervisor reported the host as silent within the given time.
func (h *hostHistory) failed(supervisor string, now fold.Instant, within time.Duration) bool {
	at, ok := h.failedAt[supervisor]
	return ok && now.Sub(at) < within
}

func (h *hostHistory) recordReport(supervisor string) {
	h.moved, h.reachedBy, h.valid, h.silentSince = false, supervisor, true, 0
	delete(h.failedAt, supervisor)
}

func (h *hostHistory) recordSilence(supervisor string, now fold.Instant) {
	if h.failedAt == nil {
		h.failedAt = make(map[string]fold.Instant)
	}
	h.failedAt[supervisor] = now
	if h.silentSince == 0 {
		h.silentSince = now
	}
}

// failedAny reports whether any supervisor reported the host as silent within the given time.
func (h *hostHistory) failedAny(now fold.Instant, within time.Duration) bool {
	for s := range h.failedAt {
		if h.failed(s, now, within) {
			return true
		}
	}
	return false
}

// failedSilent reports whether the supervisor has failed to reach the host since the host fell silent.
func (h *hostHistory) failedSilent(supervisor string) bool {
	at, ok := h.failedAt[supervisor]
	return ok && at >= h.silentSince
}

// failedAll reports whether all sessions have failed to reach the host since it fell silent.
func (h *hostHistory) failedAll(sessions map[uint64]*session) bool {
	for _, s := range sessions {
		if !h.failedSilent(s.name()) {
			return false
		}
	}
	return true
}

// record returns the record of a supervisor. The caller holds the lock.
func (l *supervision) record(s supervisor) *contactRecord {
	if l.records == nil {
		l.records = make(map[string]*contactRecord)
	}
	r, ok := l.records[s.name()]
	if !ok {
		r = &contactRecord{}
		l.records[s.name()] = r
	}
	return r
}

// usable reports whether a supervisor with n hosts may get hosts that answer elsewhere. One that was isolated gets a single
// host at first. The caller holds the lock.
func (l *supervision) usable(s supervisor, n int, now fold.Instant) bool {
	r := l.record(s)
	return !r.isolated(now) || n == 0 && now.Sub(r.lastSilence) > isolatedRetryTime
}

// tryOtherSupervisors assigns those of the given silent hosts to other supervisors that were not moved since they last
// reported, because only the connection between supervisor and host may be interrupted.
func (d *Driver) tryOtherSupervisors(hosts []string) {
	if len(hosts) == 0 {
		return
	}
	l := &d.supervision
	l.mu.Lock()
	defer l.mu.Unlock()
	d.withCell(func(c *core.Cell) {
		load := l.load()
		for _, id := range hosts {
			contact, known := c.Contact(id)
			a, ok := l.assignments[id]
			if known && ok && a.silent && !a.history.moved {
				d.moveSilentHost(c, contact, a, load)
			}
		}
	})
}

// moveSilentHosts assigns silent hosts to supervisors that have not failed to reach them lately. It leaves out hosts that may
// have runs: the next supervisor may grant leases, so each move delays the moment when they count as lost.
func (d *Driver) moveSilentHosts() {
	l := &d.supervision
	l.mu.Lock()
	defer l.mu.Unlock()
	now := d.parts.Clock.Now()
	if now.Sub(l.lastSilentMove) < silentMoveInterval {
		return
	}
	l.lastSilentMove, l.unreached = now, 0
	d.withCell(func(c *core.Cell) {
		var silent []core.Contact
		for _, contact := range c.Contacts() {
			if a, ok := l.assignments[contact.Host.ID]; ok && a.silent && c.Unused(contact.Host.ID) {
				silent = append(silent, contact)
			}
		}
		slices.SortStableFunc(silent, func(a, b core.Contact) int {
			return cmp.Compare(l.assignments[a.Host.ID].lastContact, l.assignments[b.Host.ID].lastContact)
		})
		load, moves := l.load(), 0
		for _, contact := range silent {
			a := l.assignments[contact.Host.ID]
			if a.history.failedAll(l.sessions) {
				l.unreached++
			}
			if moves < maxSilentMoves && d.moveSilentHost(c, contact, a, load) {
				moves++
			}
		}
	})
}

// moveSilentHost assigns a silent host to a supervisor that has not failed to reach it lately, and returns false if there is
// none. The supervisor that last reached the host comes first, then other sessions, this entry, isolated supervisors, and those
// that have failed since the host fell silent, the earliest first. The caller holds the locks of the supervision and the cell.
func (d *Driver) moveSilentHost(c *core.Cell, contact core.Contact, a *assignment, load map[supervisor]int) bool {
	l, now := &d.supervision, c.Now()
	load[l.local] += 0
	room := false
	chosen := l.leastLoaded(contact.Host, load, func(s supervisor, n int) (rank int64, ok bool) {
		if s == a.supervisor || n >= s.capacity() {
			return 0, false
		}
		room = room || s != l.local
		switch {
		case a.history.failedSilent(s.name()):
			rank = 4 + int64(a.history.failedAt[s.name()])
		case a.history.valid && s.name() == a.history.reachedBy:
		case l.record(s).isolated(now):
			rank = 3
		case s == l.local:
			rank = 2
		default:
			rank = 1
		}
		return rank, !a.history.failed(s.name(), now, silentRetryTime)
	})
	if chosen == nil && !room && a.supervisor != l.local {
		chosen = l.local
	}
	if chosen == nil {
		return false
	}
	a.history.moved = true
	d.log.Debug("Assigned a host that does not answer to another entry.", "host", contact.Host.ID, "entry", chosen.name())
	d.reassign(c, contact, a, chosen, load)
	return true
}
