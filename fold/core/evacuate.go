package core

import "slices"

// setEvacuated closes the hosts of the evacuated failure domains for new runs and opens all others. Runs that a host has
// been asked to start go on; runs whose start was not sent yet wait for another host.
func (c *Cell) setEvacuated() {
	closed, dropped := 0, 0
	for _, h := range c.hostsByID {
		h.evacuated = slices.Contains(c.rules.Evacuated, h.info.Domain)
		if !h.evacuated {
			continue
		}
		closed++
		for _, r := range h.copyRuns() {
			if r.phase == phasePlanned {
				c.detach(r)
				c.stopGang(r)
				dropped++
			}
		}
	}
	c.log.Info("Applied the evacuated failure domains.", "domains", c.rules.Evacuated, "hosts", closed, "droppedPlans", dropped)
}
