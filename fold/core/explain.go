package core

import "time"

const (
	// explainAfter is how long tasks wait before the log says why, explainEvery how often it says so again.
	explainAfter = 3 * time.Second
	explainEvery = 3 * time.Second
	// maxExplained bounds the lines of one round.
	maxExplained = 10
)

// explain logs why tasks wait, the most urgent first.
func (c *Cell) explain() {
	if c.now.Sub(c.explained) < explainEvery {
		return
	}
	c.explained = c.now
	lines := 0
	for _, p := range c.active {
		if p.free == 0 || c.now.Sub(p.readyAt) < explainAfter {
			continue
		}
		if lines++; lines > maxExplained {
			return
		}
		w := c.why(p, c.openFor(p))
		c.log.Info("Tasks wait.", "step", p.stepName(), "queue", p.job.queue.Name, "team", p.job.spec.Team, "tasks", p.free, "live", p.live(),
			"since", c.now.Sub(p.readyAt).String(), "rank", c.rank(p), "hosts", w.open, "full", w.full, "denied", w.denied,
			"unasked", w.unasked, "limit", w.limit, "asking", p.advice.asking)
	}
}

// reasons counts why the open hosts do not take a task.
type reasons struct {
	open, full, denied, unasked int
	// limit says that the team is at its limit.
	limit bool
}

func (c *Cell) why(p *part, hosts []*host) reasons {
	w := reasons{open: len(hosts), limit: !c.within(p.job.spec.Team, p.step.Size)}
	for _, h := range hosts {
		switch {
		case !p.allowed(h) || p.advice.no[h.info.ID]:
			w.denied++
		case c.slots(p, h, h.info.Capacity.Sub(h.used)) == 0:
			w.full++
		case !p.granted(h, c.now):
			w.unasked++
		}
	}
	return w
}
