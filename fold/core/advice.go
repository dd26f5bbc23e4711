package core

import (
	"cmp"
	"slices"
	"time"

	"plantainfold.example/fold"
)

// approvals holds the adviser's answers about one step.
type approvals struct {
	// tickets holds the newest ticket for each host.
	tickets map[*host]ticket
	// approved lists the hosts of approvedIDs, ordered by id.
	approved []*host
	// approvedIDs holds the ids of the hosts that the adviser has approved; an approval does not change.
	approvedIDs, deniedIDs map[string]bool
	// pending lists the calls whose answers the step waits for. They name different hosts.
	pending []pendingCall
	// lastWaiting is the number of waiting tasks at the last call. unsuccessful is the number of consecutive calls after
	// which no task started.
	lastWaiting, unsuccessful int
	// lastCall is the time of the last call.
	lastCall fold.Instant
	// nextCall is the earliest time of the next call.
	nextCall fold.Instant
	// nextPreemption is the earliest time at which runs may next be stopped to make room for this step.
	nextPreemption fold.Instant
	// lastAnswer describes the last answer or failed call.
	lastAnswer adviceAnswer
	// expiredTickets counts the starts that hosts refused because of their ticket.
	expiredTickets int
}

// pendingCall is a call whose answer a step waits for.
type pendingCall struct {
	number uint64
	hosts  []string
	// slots is the expected number of tasks that the hosts of the call take.
	slots float64
}

// maxStepCalls is the maximum number of calls whose answers a step waits for.
const maxStepCalls = 4

// mayCall reports whether another call may be made. Further ones are made only if the hosts of the pending ones do not suffice.
func (p *part) mayCall() bool {
	pending := p.advice.pending
	if len(pending) == 0 {
		return true
	}
	return !p.step.Gang && len(pending) < maxStepCalls && len(pending[len(pending)-1].hosts) >= maxCallHosts
}

// recordCall records a call that is made now.
func (p *part) recordCall(call pendingCall, now fold.Instant) {
	a := &p.advice
	switch {
	case p.waitingTasks < a.lastWaiting || a.lastCall == 0:
		a.unsuccessful = 0
	case len(a.pending) == 0:
		a.unsuccessful++
	}
	a.pending = append(a.pending, call)
	a.lastCall, a.lastWaiting = now, p.waitingTasks
}

// isPending reports whether a pending call names the host.
func (a *approvals) isPending(host string) bool {
	return slices.ContainsFunc(a.pending, func(call pendingCall) bool { return slices.Contains(call.hosts, host) })
}

// adviceAnswer describes an answer of the adviser, or a call without one, for the log.
type adviceAnswer struct {
	at              fold.Instant
	asked, approved int
	err             error
}

// ticket permits the starts of one step on one incarnation of a host until it expires.
type ticket struct {
	value       string
	incarnation int64
	expires     fold.Instant
}

const (
	// ticketMargin is the minimum remaining validity of a ticket. It covers writing the record and delivering the order.
	ticketMargin = 150 * time.Millisecond
	// maxCallHosts is the maximum number of hosts in a call. The platform accepts 100.
	maxCallHosts = 40
	// minCallHosts is the minimum number of hosts in a call, if that many are available.
	minCallHosts = 4
	// callHeadroom is the ratio of requested to needed slots. Other steps use some of the slots before the answer arrives.
	callHeadroom = 1.6
	// callDelay is the delay between calls for one step after an answer that approved too few hosts.
	callDelay = 100 * time.Millisecond
	// baseCallBackoff is the initial delay after a call that led to no start because other steps used the capacity. The
	// delay doubles with each such call.
	baseCallBackoff = 50 * time.Millisecond
	// maxCallBackoff is the upper bound of the delay.
	maxCallBackoff = 800 * time.Millisecond
	// maxUrgentBackoff is the upper bound of the delay for steps that may preempt others.
	maxUrgentBackoff = 200 * time.Millisecond
	// failedCallDelay is the delay between calls for one step after a failed call.
	failedCallDelay = 200 * time.Millisecond
	// maxQuickCall is the maximum duration of a quick call.
	maxQuickCall = 150 * time.Millisecond
	// priorApprovalRate is the assumed share of approved hosts before the first answer for a queue.
	priorApprovalRate = 0.5
)

// permitted reports whether the step may start on the host now: its queue needs no advice, or a ticket is still valid.
func (p *part) permitted(h *host, now fold.Instant) bool {
	if p.job.queue.Advice == nil {
		return true
	}
	t, ok := p.advice.tickets[h]
	return ok && t.incarnation == h.info.Incarnation && now.Add(ticketMargin) < t.expires
}

// candidates returns the open hosts of the part's service on which its tasks may start now.
func (c *Cell) candidates(p *part) []*host {
	if p.job.queue.Advice == nil {
		return c.openHostsFor(p)
	}
	c.replaceForgotten(p)
	hosts := c.candidateBuffer[:0]
	for _, h := range p.advice.approved {
		if h.info.Service == p.job.queue.Service && h.acceptsWork(c.now) && p.permitted(h, c.now) {
			hosts = append(hosts, h)
		}
	}
	c.candidateBuffer = hosts
	return hosts
}

// openApproved returns the open hosts of the part's service that the adviser has approved for it.
func (c *Cell) openApproved(p *part) []*host {
	c.replaceForgotten(p)
	var hosts []*host
	for _, h := range p.advice.approved {
		if h.info.Service == p.job.queue.Service && h.acceptsWork(c.now) {
			hosts = append(hosts, h)
		}
	}
	return hosts
}

// replaceForgotten replaces the approved hosts that were forgotten and have returned with a new state object.
func (c *Cell) replaceForgotten(p *part) {
	for i, h := range p.advice.approved {
		if h.listed {
			continue
		}
		if current, ok := c.hosts[h.info.ID]; ok && current != h {
			delete(p.advice.tickets, h)
			p.advice.approved[i] = current
		}
	}
}

// addApproved inserts a host into the sorted list of approved hosts.
func (a *approvals) addApproved(h *host) {
	at, found := slices.BinarySearchFunc(a.approved, h, func(o, h *host) int { return cmp.Compare(o.info.ID, h.info.ID) })
	if found {
		// The host was forgotten and has returned with a new state object.
		a.approved[at] = h
		return
	}
	a.approved = slices.Insert(a.approved, at, h)
}

// AdviceCall is a call to the adviser about one step.
type AdviceCall struct {
	Step  string
	Hosts []string
	// Duration is how long the adviser needs to answer.
	Duration time.Duration
	number   uint64
	part     *part
	// service is the service of the queue when the call was made. share is the share of its capacity that the call asks for.
	service string
	share   float64
	// validity is how long tickets are valid if the answer does not tell.
	validity time.Duration
}

// NextAdviceCall returns the most urgent call that is due. It skips slow calls unless slow is true. Further calls of wide steps
// come after the first calls of all other steps.
func (c *Cell) NextAdviceCall(slow bool) (AdviceCall, bool) {
	if call, ok := c.nextActiveCall(slow, false); ok {
		return call, true
	}
	for _, p := range c.active {
		for _, n := range p.successors {
			if n.blockers == 1 && c.endsSoon(p, n) {
				if call, ok := c.adviceCall(n, slow); ok {
					return call, true
				}
			}
		}
	}
	return c.nextActiveCall(slow, true)
}

// nextActiveCall returns the most urgent call for an active part. If further is true, it considers only the parts that wait for
// the answer to another call, otherwise only the other parts.
func (c *Cell) nextActiveCall(slow, further bool) (AdviceCall, bool) {
	var held heldRoom
	defer held.release()
	for _, p := range c.active {
		if further == (len(p.advice.pending) > 0) {
			if call, ok := c.adviceCall(p, slow); ok {
				return call, true
			}
		}
		held.add(p)
	}
	return AdviceCall{}, false
}

// endsSoon reports whether part p ends within the time that the adviser needs to approve hosts for its successor n.
func (c *Cell) endsSoon(p, n *part) bool {
	if n.job.queue.Advice == nil || p.waitingTasks > 0 || p.step.LongRunning {
		return false
	}
	callTime := n.job.queue.Advice.CallTime + usualCallHosts/2*n.job.queue.Advice.TimePerHost
	for i := range p.tasks {
		for _, r := range p.tasks[i].runs {
			if r.phase != phaseRunning || c.runRemaining(r) > callTime {
				return false
			}
		}
	}
	return true
}

// adviceCall returns the call that a part needs now, if any, and marks it as in flight.
func (c *Cell) adviceCall(p *part, slow bool) (AdviceCall, bool) {
	policy := p.job.queue.Advice
	if policy == nil || p.waitingTasks == 0 && !c.needsCopies(p) || !p.mayCall() || c.now < p.advice.nextCall || p.job.state.Final() {
		return AdviceCall{}, false
	}
	if !slow && policy.CallTime+minCallHosts*policy.TimePerHost > maxQuickCall {
		return AdviceCall{}, false
	}
	if !p.fitsRecord() || !c.withinLimit(p.job.spec.Team, p.step.Size) && !c.mayPreempt(p) {
		return AdviceCall{}, false
	}
	share := c.capacityShare(p)
	first := len(p.advice.pending) == 0
	if c.callsSuffice(p, share) || first && c.now < p.advice.lastCall.Add(c.callBackoff(p)) {
		return AdviceCall{}, false
	}
	hosts, slots := c.chooseCallHosts(p)
	if len(hosts) == 0 {
		return AdviceCall{}, false
	}
	c.lastCall++
	p.recordCall(pendingCall{number: c.lastCall, hosts: hosts, slots: slots}, c.now)
	call := AdviceCall{
		number: c.lastCall,
		Step:   p.stepName(), Hosts: hosts, Duration: policy.CallTime + time.Duration(len(hosts))*policy.TimePerHost,
		part: p, service: p.job.queue.Service, share: share, validity: policy.Validity,
	}
	c.callsInFlight = append(c.callsInFlight, call)
	c.sumRequestedShares()
	return call, true
}

// sumRequestedShares sums up the shares that the calls in flight ask for. Sums that are updated with each call and answer
// would keep rounding errors, so that a service without a call could seem to have one.
func (c *Cell) sumRequestedShares() {
	clear(c.requestedShare)
	for _, call := range c.callsInFlight {
		c.requestedShare[call.service] += call.share
	}
}

// callBackoff returns the minimum time between the last call for a part and the next one.
func (c *Cell) callBackoff(p *part) time.Duration {
	if p.waitingTasks < p.advice.lastWaiting || p.advice.unsuccessful == 0 {
		return 0
	}
	longest := maxCallBackoff
	if c.mayPreempt(p) {
		longest = maxUrgentBackoff
	}
	return min(longest, baseCallBackoff<<min(p.advice.unsuccessful, maxBackoffDoublings))
}

// maxBackoffDoublings is the maximum number of doublings of baseCallBackoff.
const maxBackoffDoublings = 8

const (
	// maxRequestedOfFree is the maximum capacity that calls in flight may ask for, as a multiple of the free capacity.
	maxRequestedOfFree = 1.5
	// maxRequestedOfCapacity is added to it, as a share of the whole capacity. It accounts for capacity that becomes free
	// during a call.
	maxRequestedOfCapacity = 0.05
)

// capacityShare returns the share of its service's capacity that the waiting tasks of a part need.
func (c *Cell) capacityShare(p *part) float64 {
	return float64(max(1, p.waitingTasks)) * p.step.Claim().Dominant(c.openCapacity[p.job.queue.Service].capacity)
}

// callsSuffice reports whether the calls in flight already ask for the capacity that a call for the part would ask for.
// Such a call would lead to no start and would delay other calls to the adviser. Parts that may preempt others are exempt.
func (c *Cell) callsSuffice(p *part, share float64) bool {
	service := p.job.queue.Service
	requested, capacity := c.requestedShare[service], c.openCapacity[service]
	if requested <= 0 || c.mayPreempt(p) {
		return false
	}
	return requested+share > maxRequestedOfCapacity+maxRequestedOfFree*capacity.freeShare()
}

func (c *Cell) needsCopies(p *part) bool {
	if !p.step.Copies {
		return false
	}
	for i := range p.tasks {
		t := &p.tasks[i]
		if !t.done && len(t.runs) == 1 && c.needsCopy(t) {
			return true
		}
	}
	return false
}

func (c *Cell) approvalRate(queue string) float64 {
	if rate, ok := c.approvalRates[queue]; ok {
		return rate
	}
	return priorApprovalRate
}

// approvalRateWeight is the weight of the newest answer in the moving average of the approval rate.
const approvalRateWeight = 0.1

// Slow reports whether the call takes longer than maxQuickCall. Slow calls must not delay quick ones.
func (a AdviceCall) Slow() bool {
	return a.Duration > maxQuickCall
}

// ReleaseAdviceCall lets the step of a call whose answer is overdue be asked about again. The answer may still arrive.
func (c *Cell) ReleaseAdviceCall(call AdviceCall) {
	a := &call.part.advice
	a.pending = slices.DeleteFunc(a.pending, func(p pendingCall) bool { return p.number == call.number })
	c.callsInFlight = slices.DeleteFunc(c.callsInFlight, func(other AdviceCall) bool { return other.number == call.number })
	c.sumRequestedShares()
}

// ApplyAdvice applies the answer to a call, which may have been released. The tickets were issued no earlier than issued. The
// queue may have got another service or policy since the call was made.
func (c *Cell) ApplyAdvice(call AdviceCall, advice fold.Advice, issued fold.Instant, err error) {
	p := call.part
	expires := issued.Add(cmp.Or(advice.Validity, call.validity))
	released := !slices.ContainsFunc(p.advice.pending, func(p pendingCall) bool { return p.number == call.number })
	c.ReleaseAdviceCall(call)
	p.advice.lastAnswer = adviceAnswer{at: c.now, asked: len(call.Hosts), approved: len(advice.Approvals), err: err}
	if err != nil {
		if !released {
			p.advice.nextCall = c.now.Add(failedCallDelay)
		}
		return
	}
	if p.advice.tickets == nil {
		p.advice.tickets = make(map[*host]ticket)
		p.advice.approvedIDs, p.advice.deniedIDs = make(map[string]bool), make(map[string]bool)
	}
	for _, id := range call.Hosts {
		p.advice.deniedIDs[id] = true
	}
	for _, approval := range advice.Approvals {
		delete(p.advice.deniedIDs, approval.Host)
		p.advice.approvedIDs[approval.Host] = true
		if h, ok := c.hosts[approval.Host]; ok {
			p.advice.addApproved(h)
			p.advice.tickets[h] = ticket{value: approval.Ticket, incarnation: h.info.Incarnation, expires: expires}
		}
	}
	c.log.Debug("Applied the answer of the adviser.", "step", call.Step, "asked", len(call.Hosts), "approved", len(advice.Approvals), "granted", len(p.advice.tickets))
	queue := p.job.queue.Name
	share := float64(len(advice.Approvals)) / float64(max(1, len(call.Hosts)))
	c.approvalRates[queue] = max(0.05, c.approvalRate(queue)*(1-approvalRateWeight)+share*approvalRateWeight)
	if released {
		return
	}
	p.advice.nextCall = c.now.Add(callDelay)
	if len(advice.Approvals) > 0 {
		p.advice.nextCall = c.now
	}
}
