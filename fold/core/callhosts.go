package core

import (
	"cmp"
	"slices"
	"time"

	"plantainfold.example/fold"
)

// candidate is a host that a call may name.
type candidate struct {
	host *host
	// slots is the expected number of waiting tasks that the host takes if it is approved.
	slots float64
	// preempts reports whether runs must be preempted to make this room.
	preempts bool
}

// chooseCallHosts returns the ids of hosts with room for the waiting tasks of a part, and the expected number of tasks that they
// take: hosts near its data first, then hosts approved earlier, then those with most slots. It leaves out the hosts of pending
// calls.
func (c *Cell) chooseCallHosts(p *part) (hosts []string, slots float64) {
	need := float64(max(1, p.waitingTasks))
	for _, call := range p.advice.pending {
		need -= call.slots
	}
	minValidity := time.Duration(0)
	if p.step.Gang {
		// A gang needs all tickets at the same time, so tickets that expire soon are renewed together with the missing
		// ones.
		minValidity = p.job.queue.Advice.Validity / 2
	}
	var candidates []candidate
	potential := 0.0
	for _, h := range c.openApproved(p) {
		if p.advice.isPending(h.info.ID) {
			continue
		}
		slots, validity := c.slots(p, h, h.info.Capacity.Sub(h.used)), minValidity
		if n := float64(p.reservedOn(h)); n > slots {
			// The room appears when the runs that were stopped for it have ended.
			slots, validity = n, max(minValidity, c.times.Stop)
		}
		potential += slots
		switch {
		case p.permitted(h, c.now.Add(validity)):
			// Slots with a valid ticket need no call.
			need -= slots
		case slots > 0:
			candidates = append(candidates, candidate{host: h, slots: slots})
		}
	}
	if need <= 0 {
		return nil, 0
	}
	candidates, more := c.addUnasked(p, candidates, need)
	if p.step.Gang && potential+more < float64(p.waitingTasks) {
		// Tickets are useless for a gang that does not fit as a whole.
		return nil, 0
	}
	if c.mayPreempt(p) && (p.step.LongRunning || len(candidates) == 0) {
		candidates = c.addPreemptible(p, candidates, need)
	}
	slices.SortStableFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.preference(p), a.preference(p)), cmp.Compare(b.speedSlots(p), a.speedSlots(p)))
	})
	for _, option := range candidates {
		if len(hosts) >= maxCallHosts || slots >= need*callHeadroom && len(hosts) >= minCallHosts {
			break
		}
		slots += option.slots
		hosts = append(hosts, option.host.info.ID)
	}
	return hosts, slots
}

// candidateFactor bounds the search for hosts: it stops at this multiple of the hosts and slots that a call needs, and the
// call names the best of them. Scanning all hosts for each call would dominate the decision time of a large pool.
const candidateFactor = 4

// addUnasked appends open hosts with free slots that the adviser has not answered for yet, and returns the number of their
// slots. The scan starts after the last host of the previous one. It covers all hosts for gangs and for steps that prefer a
// rack.
func (c *Cell) addUnasked(p *part, candidates []candidate, need float64) (all []candidate, more float64) {
	hosts := c.openHostsFor(p)
	approvalRate := c.approvalRate(p.job.queue.Name)
	expected := 0.0
	first := 0
	if len(hosts) > 0 {
		first = c.nextCallStart % len(hosts)
	}
	for i := range hosts {
		h := hosts[(first+i)%len(hosts)]
		if !h.acceptsWork(c.now) || !p.allowed(h) || p.advice.deniedIDs[h.info.ID] || p.advice.approvedIDs[h.info.ID] || p.advice.isPending(h.info.ID) {
			continue
		}
		slots := c.slots(p, h, h.info.Capacity.Sub(h.used))
		if slots == 0 {
			continue
		}
		more += slots
		candidates = append(candidates, candidate{host: h, slots: slots * approvalRate})
		expected += slots * approvalRate
		if p.step.Rack == "" && !p.step.Gang && expected >= candidateFactor*callHeadroom*need && len(candidates) >= candidateFactor*minCallHosts {
			c.nextCallStart = (first + i + 1) % len(hosts)
			break
		}
	}
	return candidates, more
}

// addPreemptible appends hosts that have room for the part only if other runs are preempted, if the candidates have too few
// slots.
func (c *Cell) addPreemptible(p *part, candidates []candidate, need float64) []candidate {
	expected := 0.0
	listed := make(map[*host]bool, len(candidates))
	for _, option := range candidates {
		expected += option.slots
		listed[option.host] = true
	}
	if expected >= need*callHeadroom {
		return candidates
	}
	approvalRate := c.approvalRate(p.job.queue.Name)
	for _, h := range c.openHostsFor(p) {
		if listed[h] || !h.acceptsWork(c.now) || !p.allowed(h) || p.advice.deniedIDs[h.info.ID] || p.permitted(h, c.now) || p.advice.isPending(h.info.ID) {
			continue
		}
		slots := c.slots(p, h, h.info.Capacity.Sub(h.used).Add(c.preemptibleCapacity(p, h)))
		if slots == 0 {
			continue
		}
		if !p.advice.approvedIDs[h.info.ID] {
			slots *= approvalRate
		}
		candidates = append(candidates, candidate{host: h, slots: slots, preempts: true})
	}
	return candidates
}

// preference rates a candidate: hosts near the step's data first, then hosts that were approved before.
func (a candidate) preference(p *part) int {
	rank := 0
	if p.step.Rack != "" && a.host.info.Rack() == p.step.Rack {
		rank += 2
	}
	if p.advice.approvedIDs[a.host.info.ID] {
		rank++
	}
	if a.preempts {
		rank -= 4
	}
	return rank
}

// speedSlots returns the slots of a candidate, weighted with the speed of the host if the part prefers fast or slow hosts.
func (a candidate) speedSlots(p *part) float64 {
	return a.slots * (1 - p.speedPreference*a.host.speed.placement)
}

// slots returns how many of the part's waiting tasks fit into the free resources of the host.
func (c *Cell) slots(p *part, h *host, free fold.Resources) float64 {
	claim := p.step.Claim()
	n := int64(max(1, p.waitingTasks))
	if claim.CPU > 0 {
		n = min(n, free.CPU/claim.CPU)
	}
	if claim.Memory > 0 {
		n = min(n, free.Memory/claim.Memory)
	}
	if claim.Accel > 0 {
		n = min(n, free.Accel/claim.Accel)
	}
	if p.step.PerHost > 0 {
		n = min(n, int64(p.step.PerHost-p.perHost[h]))
	}
	return float64(max(0, n))
}
