package core

import (
	"slices"

	"plantainfold.example/fold"
	"plantainfold.example/fold/lease"
)

// maxEndedIncarnations limits the incarnations that are stored in host.endedIncarnations.
const maxEndedIncarnations = 8

// mayHaveRestarted reports whether the roster alone shows that the host has started again. Incarnations are numbered by the time
// of day, which may have gone back, and the roster may be older than the last report. Another incarnation is therefore accepted
// only if its number is higher and the roster has changed to it; otherwise the next report decides.
func (h *host) mayHaveRestarted(incarnation int64, rosterChanged bool) bool {
	return incarnation > h.info.Incarnation && (h.seenAt == 0 || rosterChanged) && !slices.Contains(h.endedIncarnations, incarnation)
}

// answeredByNewer reports whether the answer to a request shows that the host has started again. The request must have been sent
// after the current incarnation was last known to be the newest one.
func (h *host) answeredByNewer(incarnation int64, sent fold.Instant) bool {
	return sent >= h.seenAt && !slices.Contains(h.endedIncarnations, incarnation)
}

// askListedHost prepares a host whose roster row describes another incarnation than the newest one for the request whose answer
// decides between them. changed reports whether the row is new.
func (c *Cell) askListedHost(h *host, address string, changed bool) {
	if changed && (h.silentSince != 0 || !h.listed) {
		h.info.Address = address
	}
	if !h.listed {
		h.listed, h.described, c.hostsChanged = true, false, true
	}
}

// handleRestart applies a new incarnation of a host. Runs of the earlier incarnation have ended. Unanswered orders to it are treated as if
// the new one could still receive them, though a fold.Runner sends it none.
func (c *Cell) handleRestart(h *host, incarnation int64) {
	firstIncarnation := h.info.Incarnation == 0
	h.info.Incarnation = incarnation
	c.hostsChanged = true
	// ownLeaseEnd stays: a relay that the owner does not reach may renew leases on the new incarnation.
	h.enforcesFence = false
	// The host has forgotten the fence. Until it receives the fence again, an earlier owner may renew leases there. The bound of the
	// first known incarnation is that of the host.
	if !firstIncarnation {
		h.foreignLeaseEnd = max(c.foreignLeaseEnd(), c.now.Add(lease.MaxDuration(c.times.Lease)))
	}
	h.compared, h.moreEnds, h.described = false, false, false
	h.lastEnd, h.nextAck, h.lastAck = 0, 0, 0
	h.health, h.speed = health{}, hostSpeed{}
	for _, u := range h.unconfirmedStarts {
		if c.now.Sub(u.failedAt) < maxOrderDelay {
			h.forbiddenStarts = append(h.forbiddenStarts, unconfirmedStart{key: u.key, failedAt: u.failedAt})
			c.hostsWithForbiddenStarts[h.info.ID] = true
		}
	}
	h.unconfirmedStarts = nil
	if firstIncarnation {
		return
	}
	c.log.Info("Host started again.", "host", h.info.ID, "born", incarnation, "runs", len(h.runs))
	for _, r := range h.copyRuns() {
		if r.phase == phaseOrdered || r.tries > 1 || r.inherited {
			// An order may still arrive at the new incarnation: the first one, a repeated one, or one of an earlier owner.
			// A stop sent there makes it refuse the run, even if the earlier incarnation has confirmed one.
			r.incarnation, r.stopAckedAt = incarnation, 0
			if r.stopping {
				c.sendStop(r)
			}
			c.stopRun(r)
			continue
		}
		if r.phase == phaseRunning && r.reportedAt == 0 {
			// The start was confirmed, but no report has listed the run: the new incarnation may have confirmed it. Its first
			// complete report shows whether the run is there.
			r.incarnation = incarnation
			continue
		}
		c.loseRun(r, "host started again")
	}
}
