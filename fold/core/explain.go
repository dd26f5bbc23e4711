package core

import "time"

const (
	// explainAfter is how long tasks wait before the log gives the reasons.
	explainAfter = 3 * time.Second
	// explainEvery is the interval between such logs.
	explainEvery = 3 * time.Second
	// maxExplained is the maximum number of steps in one log.
	maxExplained = 10
)

// logWaiting logs why tasks wait, for the most urgent steps first.
func (c *Cell) logWaiting() {
	if c.now.Sub(c.lastExplained) < explainEvery {
		return
	}
	c.lastExplained = c.now
	lines := 0
	closed := make(map[string]map[string]int)
	for _, p := range c.active {
		if p.waitingTasks == 0 || c.now.Sub(p.readyAt) < explainAfter {
			continue
		}
		if lines++; lines > maxExplained {
			return
		}
		service := p.job.queue.Service
		if closed[service] == nil {
			closed[service] = c.countClosed(service)
		}
		reasons := c.countReasons(p, c.openHostsFor(p))
		fields := []any{
			"step", p.stepName(), "queue", p.job.queue.Name, "team", p.job.spec.Team, "tasks", p.waitingTasks, "live", p.liveRunCount(),
			"since", c.now.Sub(p.readyAt).String(), "rank", c.rank(p), "hosts", reasons.open, "full", reasons.full, "denied", reasons.denied,
			"unasked", reasons.unasked, "closed", closed[service], "limit", reasons.limit, "record", !p.fitsRecord(), "asking", len(p.advice.pending) > 0,
			"failing", p.failingTasks,
		}
		c.log.Info("Tasks wait.", append(fields, c.explainAdvice(p)...)...)
	}
}

// countClosed counts the hosts of a service that take no new runs, by reason.
func (c *Cell) countClosed(service string) map[string]int {
	closed := make(map[string]int)
	for _, h := range c.hostsByID {
		if h.info.Service != service {
			continue
		}
		if reason := h.whyClosed(c.now); reason != "" {
			closed[reason]++
		}
	}
	return closed
}

// explainAdvice returns the fields of a log line that tell what the adviser has answered about a step.
func (c *Cell) explainAdvice(p *part) []any {
	a := &p.advice
	if p.job.queue.Advice == nil || a.lastCall == 0 {
		return nil
	}
	valid := 0
	for h := range a.tickets {
		if p.permitted(h, c.now) {
			valid++
		}
	}
	fields := []any{
		"sinceCall", c.now.Sub(a.lastCall).String(), "unsuccessful", a.unsuccessful, "allApproved", len(a.approvedIDs), "tickets", valid, "expiredTickets", a.expiredTickets,
	}
	if a.lastAnswer.at == 0 {
		return fields
	}
	return append(fields, "sinceAnswer", c.now.Sub(a.lastAnswer.at).String(), "asked", a.lastAnswer.asked, "approved", a.lastAnswer.approved, "error", a.lastAnswer.err)
}

// reasons counts the open hosts by the reason for which they cannot take a task.
type reasons struct {
	open, full, denied, unasked int
	// limit reports whether the team has reached its limit.
	limit bool
}

func (c *Cell) countReasons(p *part, hosts []*host) reasons {
	w := reasons{open: len(hosts), limit: !c.withinLimit(p.job.spec.Team, p.step.Size)}
	for _, h := range hosts {
		switch c.whyExcluded(p, h) {
		case excludedLabel, excludedDenied:
			w.denied++
		case excludedFull:
			w.full++
		case excludedUnasked:
			w.unasked++
		}
	}
	return w
}

// Reasons for which an open host cannot take a task of a part.
const (
	excludedLabel   = "no label"
	excludedDenied  = "denied"
	excludedFull    = "full"
	excludedUnasked = "not asked"
)

// whyExcluded returns the reason for which an open host cannot take a task of the part now, or "" if it can.
func (c *Cell) whyExcluded(p *part, h *host) string {
	switch {
	case !p.allowed(h):
		return excludedLabel
	case p.advice.deniedIDs[h.info.ID]:
		return excludedDenied
	case c.slots(p, h, h.info.Capacity.Sub(h.used)) == 0:
		return excludedFull
	case !p.permitted(h, c.now):
		return excludedUnasked
	default:
		return ""
	}
}
