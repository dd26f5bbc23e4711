package core

import "time"

const (
	// paceHigh and paceLow are the shares of the target at which filling tasks beside a serving task are slowed down and
	// sped up again; the gap keeps the pace from swinging.
	paceHigh = 0.8
	paceLow  = 0.5
	// paceStep is the change of pace upwards, in percent; downwards the pace halves.
	paceStep = 25
	// paceEvery separates changes; the load that hosts report covers half a second.
	paceEvery = 600 * time.Millisecond
	// paceLeast is the pace below which filling tasks stand still.
	paceLeast = 10
)

// pace slows filling tasks down where serving tasks near their target, and lets them go on where there is slack.
func (c *Cell) pace() {
	for _, h := range c.ranked {
		serves, fills := h.mix()
		if !fills || !h.adopted {
			continue
		}
		worst := 0.0
		for _, r := range h.order {
			if target := r.task.part.step.Target; target > 0 && r.phase == phaseRunning {
				worst = max(worst, float64(r.load)/float64(target))
			}
		}
		for _, r := range h.order {
			if r.task.part.step.Fill && r.phase == phaseRunning && !r.stopping && c.now.Sub(r.paceAt) >= paceEvery {
				c.setPace(r, nextPace(r.pace, worst, serves))
			}
		}
	}
}

// nextPace is the pace of a filling task, in percent, beside serving tasks of which the worst is at a share of its
// target.
func nextPace(pace int, worst float64, serves bool) int {
	switch {
	case !serves:
		return 100
	case worst >= 1:
		return 0
	case worst > paceHigh:
		pace /= 2
		if pace < paceLeast {
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
	if pace == r.pace && r.pace == r.paced {
		return
	}
	r.pace, r.paceAt = pace, c.now
	c.orders.Paces = append(c.orders.Paces, Pace{Host: r.host.info, Task: r.key().task, Run: r.number, Percent: pace})
}

// ApplyPace takes the answer to an order to pace.
func (c *Cell) ApplyPace(p Pace, err error) {
	h, ok := c.hosts[p.Host.ID]
	if !ok || err != nil {
		return
	}
	if r, ok := h.runs[runKey{task: p.Task, run: p.Run}]; ok {
		r.paced = p.Percent
	}
}
