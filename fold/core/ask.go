package core

import (
	"cmp"
	"slices"
	"time"

	"plantainfold.example/fold"
)

// approvals is what the adviser has said of a step.
type approvals struct {
	grants map[*host]grant
	// approved lists the hosts of yes by id.
	approved []*host
	// yes and no hold the hosts whose answer is known; it does not change.
	yes, no map[string]bool
	asking  bool
	// waited is how many tasks waited at the last call, asked when it was made, barren how many calls in a row have led to no
	// start.
	waited, barren int
	asked          fold.Instant
	// wants is the share of the capacity that the call under way is for.
	wants float64
	// again is when the next call may be made.
	again fold.Instant
	// room is when work may next be stopped for the part.
	room fold.Instant
}

// grant is a ticket for one life of a host.
type grant struct {
	ticket string
	born   int64
	until  fold.Instant
}

const (
	// ticketMargin is the least time that a ticket must be left, for the record and the order to arrive.
	ticketMargin = 150 * time.Millisecond
	// maxAsked bounds the hosts in a call; the platform takes 100.
	maxAsked = 40
	// minAsked is the least number of hosts in a call, as long as there are more.
	minAsked = 4
	// askSpare is how much more room is asked for than is needed, because others take some meanwhile.
	askSpare = 1.6
	// askPause separates calls for one step after an answer that approved of too few hosts.
	askPause = 100 * time.Millisecond
	// barrenPause separates calls for one step that have led to no start, because the room went to others meanwhile. It
	// doubles with each call up to barrenMost, or up to barrenUrgent for work that others give way to.
	barrenPause  = 50 * time.Millisecond
	barrenMost   = 800 * time.Millisecond
	barrenUrgent = 200 * time.Millisecond
	// askFailed separates calls for one step after a call that failed.
	askFailed = 200 * time.Millisecond
	// quickCall bounds the calls that count as quick.
	quickCall = 150 * time.Millisecond
	// goodPrior is the share of approved hosts that is expected at first.
	goodPrior = 0.5
)

// granted reports whether the step may start on the host now.
func (p *part) granted(h *host, now fold.Instant) bool {
	if p.job.queue.Advice == nil {
		return true
	}
	g, ok := p.advice.grants[h]
	return ok && g.born == h.info.Incarnation && now.Add(ticketMargin) < g.until
}

// candidates returns those of the open hosts of its service on which the step may start now.
func (c *Cell) candidates(p *part) []*host {
	if p.job.queue.Advice == nil {
		return c.openFor(p)
	}
	hosts := c.found[:0]
	for _, h := range p.advice.approved {
		if h.info.Service == p.job.queue.Service && h.open(c.now) && p.granted(h, c.now) {
			hosts = append(hosts, h)
		}
	}
	c.found = hosts
	return hosts
}

// approvedOpen returns the open hosts that the adviser has approved of for the step.
func (c *Cell) approvedOpen(p *part) []*host {
	var hosts []*host
	for _, h := range p.advice.approved {
		if h.info.Service == p.job.queue.Service && h.open(c.now) {
			hosts = append(hosts, h)
		}
	}
	return hosts
}

// approve notes a host that the adviser approved of.
func (a *approvals) approve(h *host) {
	at, found := slices.BinarySearchFunc(a.approved, h, func(o, h *host) int { return cmp.Compare(o.info.ID, h.info.ID) })
	if found {
		// A host that was forgotten and is back has another state.
		a.approved[at] = h
		return
	}
	a.approved = slices.Insert(a.approved, at, h)
}

// AdviceCall is a call to the adviser.
type AdviceCall struct {
	Step  string
	Hosts []string
	// Duration is how long the adviser needs for it.
	Duration time.Duration
	part     *part
}

// NextAdviceCall returns the most urgent call to the adviser; slow calls are left out unless allowed.
func (c *Cell) NextAdviceCall(slow bool) (AdviceCall, bool) {
	for _, p := range c.active {
		if ask, ok := c.ask(p, slow); ok {
			return ask, true
		}
	}
	for _, p := range c.active {
		for _, n := range p.next {
			if n.blocked == 1 && c.soon(p, n) {
				if ask, ok := c.ask(n, slow); ok {
					return ask, true
				}
			}
		}
	}
	return AdviceCall{}, false
}

// soon reports whether the part ends by the time in which the next one has its approvals.
func (c *Cell) soon(p, n *part) bool {
	if n.job.queue.Advice == nil || p.free > 0 || p.step.LongRunning {
		return false
	}
	takes := n.job.queue.Advice.CallTime + adviceUsual/2*n.job.queue.Advice.TimePerHost
	for i := range p.tasks {
		for _, r := range p.tasks[i].runs {
			if r.phase != phaseRunning || c.left(r) > takes {
				return false
			}
		}
	}
	return true
}

// ask makes the call that a part needs, if any.
func (c *Cell) ask(p *part, slow bool) (AdviceCall, bool) {
	policy := p.job.queue.Advice
	if policy == nil || p.free == 0 && !c.wantsCopies(p) || p.advice.asking || c.now < p.advice.again || p.job.state.Final() {
		return AdviceCall{}, false
	}
	if !slow && policy.CallTime+minAsked*policy.TimePerHost > quickCall {
		return AdviceCall{}, false
	}
	if !c.within(p.job.spec.Team, p.step.Size) && !c.pressing(p) {
		return AdviceCall{}, false
	}
	wants := c.share(p)
	if c.crowded(p, wants) || c.now < p.advice.asked.Add(c.barrenPause(p)) {
		return AdviceCall{}, false
	}
	hosts := c.askHosts(p)
	if len(hosts) == 0 {
		return AdviceCall{}, false
	}
	if p.free < p.advice.waited || p.advice.asked == 0 {
		p.advice.barren = 0
	} else {
		p.advice.barren++
	}
	p.advice.asking, p.advice.wants, p.advice.asked, p.advice.waited = true, wants, c.now, p.free
	c.wanted[p.job.queue.Service] += wants
	return AdviceCall{Step: p.stepName(), Hosts: hosts, Duration: policy.CallTime + time.Duration(len(hosts))*policy.TimePerHost, part: p}, true
}

// barrenPause is how long after its last call a step is asked for again.
func (c *Cell) barrenPause(p *part) time.Duration {
	if p.free < p.advice.waited || p.advice.barren == 0 {
		return 0
	}
	most := barrenMost
	if c.pressing(p) {
		most = barrenUrgent
	}
	return min(most, barrenPause<<min(p.advice.barren, maxBarren))
}

// maxBarren bounds the doublings of barrenPause.
const maxBarren = 8

const (
	// askAhead is how much of the free room calls under way may want, askSoon how much of the capacity beside it: room that
	// becomes free while a call is under way.
	askAhead = 1.5
	askSoon  = 0.05
)

// share is how much of the capacity of its service the waiting tasks of a part take.
func (c *Cell) share(p *part) float64 {
	return float64(max(1, p.free)) * p.step.Claim().Dominant(c.room[p.job.queue.Service].capacity)
}

// crowded reports whether the calls under way want the room already that a part would ask for. Its own call would then come
// to nothing, and keep the adviser from calls that do not. Work that others give way to is not held up.
func (c *Cell) crowded(p *part, wants float64) bool {
	service := p.job.queue.Service
	wanted, room := c.wanted[service], c.room[service]
	if wanted <= 0 || c.pressing(p) {
		return false
	}
	return wanted+wants > askSoon+askAhead*room.spare()
}

func (c *Cell) wantsCopies(p *part) bool {
	if !p.step.Copies {
		return false
	}
	for i := range p.tasks {
		t := &p.tasks[i]
		if !t.done && len(t.runs) == 1 && c.wantsCopy(t) {
			return true
		}
	}
	return false
}

// candidate is a host that may be named in a call, with the tasks that it would take if approved.
type candidate struct {
	host  *host
	slots float64
}

// askHosts chooses hosts with room for the waiting tasks of a part: known approvals first, then those with most room.
func (c *Cell) askHosts(p *part) []string {
	need := float64(max(1, p.free))
	renewal := time.Duration(0)
	if p.step.Gang {
		// A gang needs all of its tickets at once, so those that end soon are renewed together with the missing ones.
		renewal = p.job.queue.Advice.Validity / 2
	}
	var found []candidate
	potential := 0.0
	for _, h := range c.approvedOpen(p) {
		slots := c.slots(p, h, h.info.Capacity.Sub(h.used))
		potential += slots
		switch {
		case p.granted(h, c.now.Add(renewal)):
			// What is approved already needs no call.
			need -= slots
		case slots > 0:
			found = append(found, candidate{host: h, slots: slots})
		}
	}
	if need <= 0 {
		return nil
	}
	found, more := c.unasked(p, found, need)
	if p.step.Gang && potential+more < float64(p.free) {
		// Without room for all of its members a gang has no use for tickets.
		return nil
	}
	if len(found) == 0 && c.pressing(p) {
		found = c.yieldingHosts(p)
	}
	slices.SortStableFunc(found, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.rank(p), a.rank(p)), cmp.Compare(b.slots, a.slots))
	})
	var hosts []string
	room := 0.0
	for _, f := range found {
		if len(hosts) >= maxAsked || room >= need*askSpare && len(hosts) >= minAsked {
			break
		}
		room += f.slots
		hosts = append(hosts, f.host.info.ID)
	}
	return hosts
}

// askChoice is how many times as many hosts as a call needs are looked at for it; of these the call names the ones with
// most room. Looking at all hosts for each call would take most of the time for decisions in a large pool.
const askChoice = 4

// unasked adds hosts with room of which the adviser was not asked yet, from another place on each time, and returns how
// many tasks they have room for. A step whose data lies somewhere needs all of them.
func (c *Cell) unasked(p *part, found []candidate, need float64) (all []candidate, more float64) {
	hosts := c.openFor(p)
	good := c.goodShare(p.job.queue.Name)
	room := 0.0
	first := 0
	if len(hosts) > 0 {
		first = c.askFrom % len(hosts)
	}
	for i := range hosts {
		h := hosts[(first+i)%len(hosts)]
		if !h.open(c.now) || !p.allowed(h) || p.advice.no[h.info.ID] || p.advice.yes[h.info.ID] {
			continue
		}
		slots := c.slots(p, h, h.info.Capacity.Sub(h.used))
		if slots == 0 {
			continue
		}
		more += slots
		found = append(found, candidate{host: h, slots: slots * good})
		room += slots * good
		if p.step.Rack == "" && !p.step.Gang && room >= askChoice*askSpare*need && len(found) >= askChoice*minAsked {
			c.askFrom = (first + i + 1) % len(hosts)
			break
		}
	}
	return found, more
}

// yieldingHosts returns hosts without room on which other work would be stopped for the part.
func (c *Cell) yieldingHosts(p *part) []candidate {
	var found []candidate
	for _, h := range c.openFor(p) {
		if !h.open(c.now) || !p.allowed(h) || p.advice.no[h.info.ID] || p.granted(h, c.now) {
			continue
		}
		if slots := c.slots(p, h, h.info.Capacity.Sub(h.used).Add(c.yielding(p, h))); slots > 0 {
			found = append(found, candidate{host: h, slots: slots})
		}
	}
	return found
}

// rank prefers hosts near the data, then hosts that were approved before.
func (f candidate) rank(p *part) int {
	rank := 0
	if p.step.Rack != "" && f.host.info.Rack() == p.step.Rack {
		rank += 2
	}
	if p.advice.yes[f.host.info.ID] {
		rank++
	}
	return rank
}

// slots is how many of the waiting tasks fit what is free on the host.
func (c *Cell) slots(p *part, h *host, free fold.Resources) float64 {
	claim := p.step.Claim()
	n := int64(max(1, p.free))
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

func (c *Cell) goodShare(queue string) float64 {
	if g, ok := c.good[queue]; ok {
		return g
	}
	return goodPrior
}

// goodMemory is the weight of one answer in the share of approved hosts.
const goodMemory = 0.1

// Slow reports whether the call takes long enough to hold up quick ones.
func (a AdviceCall) Slow() bool {
	return a.Duration > quickCall
}

// ApplyAdvice takes the answer to a call; issued is when its tickets were made at the latest.
func (c *Cell) ApplyAdvice(ask AdviceCall, advice fold.Advice, issued fold.Instant, err error) {
	p := ask.part
	valid := advice.Validity
	if valid == 0 {
		valid = p.job.queue.Advice.Validity
	}
	until := issued.Add(valid)
	p.advice.asking = false
	c.wanted[p.job.queue.Service] -= p.advice.wants
	if err != nil {
		p.advice.again = c.now.Add(askFailed)
		return
	}
	if p.advice.grants == nil {
		p.advice.grants = make(map[*host]grant)
		p.advice.yes, p.advice.no = make(map[string]bool), make(map[string]bool)
	}
	for _, id := range ask.Hosts {
		p.advice.no[id] = true
	}
	for _, g := range advice.Approvals {
		delete(p.advice.no, g.Host)
		p.advice.yes[g.Host] = true
		if h, ok := c.hosts[g.Host]; ok {
			p.advice.approve(h)
			p.advice.grants[h] = grant{ticket: g.Ticket, born: h.info.Incarnation, until: until}
		}
	}
	c.log.Debug("Advice.", "step", ask.Step, "asked", len(ask.Hosts), "approved", len(advice.Approvals), "granted", len(p.advice.grants))
	queue := p.job.queue.Name
	share := float64(len(advice.Approvals)) / float64(max(1, len(ask.Hosts)))
	c.good[queue] = max(0.05, c.goodShare(queue)*(1-goodMemory)+share*goodMemory)
	p.advice.again = c.now.Add(askPause)
	if len(advice.Approvals) > 0 {
		p.advice.again = c.now
	}
}
