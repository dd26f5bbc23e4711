package core

import "time"

const (
	// paceHigh is the share of the latency target above which fill tasks on the same host are slowed down.
	paceHigh = 0.8
	// paceLow is the share below which they are sped up again. The gap between the two prevents oscillation.
	paceLow = 0.5
	// paceStep is the increase of the pace, in percent. A decrease halves the pace.
	paceStep = 25
	// paceInterval is the minimum time between changes. The load that hosts report covers half a second.
	paceInterval = 600 * time.Millisecond
	// minPace is the lowest pace, in percent. Fill tasks pause instead of running below it.
	minPace = 10
	// unknownPace is the confirmed pace of a run that an earlier owner started. No report tells the pace of a fill task.
	unknownPace = -1
)

// adjustPaces slows fill tasks down on hosts where latencies approach their targets and speeds them up where they do not.
func (c *Cell) adjustPaces() {
	for _, h := range c.hostsByID {
		hasTargets, hasFill := h.runKinds()
		if !hasFill || !h.enforcesFence {
			continue
		}
		worst := 0.0
		for _, r := range h.runList {
			if target := r.task.part.step.Target; target > 0 && r.phase == phaseRunning {
				worst = max(worst, float64(r.load)/float64(target))
			}
		}
		for _, r := range h.runList {
			if r.task.part.step.Fill && r.phase == phaseRunning && !r.stopping && c.now.Sub(r.pacedAt) >= paceInterval {
				c.setPace(r, nextPace(r.pace, worst, hasTargets))
			}
		}
	}
}

// nextPace returns the new pace of a fill task, in percent. worst is the highest ratio of latency to target on the host;
// hasTargets reports whether tasks with a latency target run there.
func nextPace(pace int, worst float64, hasTargets bool) int {
	switch {
	case !hasTargets:
		return 100
	case worst >= 1:
		return 0
	case worst > paceHigh:
		pace /= 2
		if pace < minPace {
			return 0
		}
		return pace
	case worst < paceLow:
		return min(100, pace+paceStep)
	default:
		return pace
	}
}

func (c *Cell) setPace(r *run, pace int) {
	if pace == r.pace && r.pace == r.ackedPace {
		return
	}
	r.pace, r.pacedAt = pace, c.now
	c.orders.Paces = append(c.orders.Paces, Pace{Host: r.host.info, Task: r.key().task, Run: r.number, Percent: pace})
}

// ApplyPace applies the answer to an order that sets a pace.
func (c *Cell) ApplyPace(p Pace, err error) {
	h, ok := c.hosts[p.Host.ID]
	if !ok || err != nil {
		return
	}
	if r, ok := h.runs[runKey{task: p.Task, run: p.Run}]; ok {
		r.ackedPace = p.Percent
	}
}
