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
	for _, p := range c.active {
		if p.waitingTasks == 0 || c.now.Sub(p.readyAt) < explainAfter {
			continue
		}
		if lines++; lines > maxExplained {
			return
		}
		reasons := c.countReasons(p, c.openHostsFor(p))
		c.log.Info("Tasks wait.", "step", p.stepName(), "queue", p.job.queue.Name, "team", p.job.spec.Team, "tasks", p.waitingTasks, "live", p.liveRunCount(),
			"since", c.now.Sub(p.readyAt).String(), "rank", c.rank(p), "hosts", reasons.open, "full", reasons.full, "denied", reasons.denied,
			"unasked", reasons.unasked, "limit", reasons.limit, "record", !p.fitsRecord(), "asking", p.advice.callPending)
	}
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
		switch {
		case !p.allowed(h) || p.advice.deniedIDs[h.info.ID]:
			w.denied++
		case c.slots(p, h, h.info.Capacity.Sub(h.used)) == 0:
			w.full++
		case !p.permitted(h, c.now):
			w.unasked++
		}
	}
	return w
}
