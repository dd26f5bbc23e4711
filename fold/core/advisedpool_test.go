package core_test

import (
	"container/heap"
	"fmt"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"plantainfold.example/fold"
	"plantainfold.example/fold/core"
	"plantainfold.example/fold/flow"
	"plantainfold.example/fold/lease"
)

// Indexes into the queues of an advised pool.
const (
	checkQueue = iota
	replanQueue
	watchQueue
)

// advisedQueues returns queues that all need advice, with the share of hosts that the adviser approves for each.
func advisedQueues() ([]fold.Queue, []float64) {
	const validity = 2500 * time.Millisecond
	return []fold.Queue{
		{Name: "check", Service: "pool", Priority: 0, Attempts: 2, SlackFactor: 1.5, Target: 300 * time.Millisecond, Advice: &fold.AdvicePolicy{CallTime: 25 * time.Millisecond, TimePerHost: 360 * time.Microsecond, Validity: validity}},
		{Name: "replan", Service: "pool", Priority: 2, Attempts: 2, SlackFactor: 2.2, Target: 1200 * time.Millisecond, Advice: &fold.AdvicePolicy{CallTime: 390 * time.Millisecond, TimePerHost: 5600 * time.Microsecond, Validity: validity}},
		{Name: "watch", Service: "pool", Priority: 1, Attempts: 3, SlackFactor: 2.2, Target: 2500 * time.Millisecond, Advice: &fold.AdvicePolicy{CallTime: 450 * time.Millisecond, TimePerHost: 6500 * time.Microsecond, Validity: validity}},
	}, []float64{0.7, 0.35, 0.35}
}

const (
	// idleGrace is how long after its last run a long-running task may wait before its room is checked.
	idleGrace = 6 * time.Second
	// maxIdle is how long a task may then wait although its step has room for two tasks on approved hosts.
	maxIdle = 3 * time.Second
	// entryCount is the number of entries that call the adviser, slowEntryCount the number of slow calls at a time.
	entryCount, slowEntryCount = 37, 28
	// messageDelay is the time that a message takes. recordDelay is the time that a commit takes.
	messageDelay, recordDelay = 5 * time.Millisecond, 20 * time.Millisecond
	// maxStopDelay is the longest time that a host takes to stop a run.
	maxStopDelay = 900 * time.Millisecond
)

// poolHost is a simulated host with its own account of what runs there.
type poolHost struct {
	info fold.Host
	up   bool
	used fold.Resources
	runs map[string]*poolRun
	ends []fold.HostEnd
	last int64
}

type poolRun struct {
	task    string
	run     int
	began   fold.Instant
	took    time.Duration
	step    *poolStep
	stopped bool
}

// poolStep is a submitted step of one job and the state of its tasks.
type poolStep struct {
	job        flow.Job
	step       flow.Step
	queue      int
	running    []int
	readySince []fold.Instant
	roomSince  []fold.Instant
	perHost    map[string]int
	cancelled  bool
}

type poolEvent struct {
	at    fold.Instant
	order int
	do    func()
}

type eventQueue []poolEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(a, b int) bool {
	return q[a].at < q[b].at || q[a].at == q[b].at && q[a].order < q[b].order
}
func (q eventQueue) Swap(a, b int) { q[a], q[b] = q[b], q[a] }
func (q *eventQueue) Push(e any)   { *q = append(*q, e.(poolEvent)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// advisedPool simulates the hosts, the adviser and the table of a cell whose work needs advice, in virtual time.
type advisedPool struct {
	*fixture
	rand       *rand.Rand
	good       []float64
	queues     []fold.Queue
	list       []*poolHost
	byID       map[string]*poolHost
	steps      map[string]*poolStep
	order      []*poolStep
	events     eventQueue
	eventCount int
	decideDue  bool
	lastRound  int
	recording  bool
	slow, busy int
	tickets    map[string]fold.Instant
	began      fold.Instant
	jobs       int
	// countPreemptible is true if the check counts the room of tasks that may be preempted.
	countPreemptible bool
	// The remaining fields hold the result.
	calls, refusedTickets, starts int
	violations                    map[string]time.Duration
	waits                         [3][]time.Duration
}

func newAdvisedPool(t *testing.T, seed uint64, hosts int) *advisedPool {
	t.Helper()
	t.Logf("seed %d", seed)
	queues, good := advisedQueues()
	p := &advisedPool{
		rand: rand.New(rand.NewPCG(seed, 0)), good: good, queues: queues, byID: make(map[string]*poolHost), steps: make(map[string]*poolStep),
		tickets: make(map[string]fold.Instant), violations: make(map[string]time.Duration),
	}
	var roster []fold.Host
	for n, size := range slices.Repeat([]int64{2, 2, 1, 4}, (hosts+3)/4)[:hosts] {
		info := fold.Host{
			ID: fmt.Sprintf("host-%03d", n), Address: fmt.Sprint(n), Incarnation: 1, Service: "pool",
			Labels: []string{"a", fmt.Sprintf("r%d", n/8)}, Capacity: fold.Resources{CPU: 32000 * size, Memory: 65536 * size},
		}
		h := &poolHost{info: info, up: true, runs: make(map[string]*poolRun)}
		p.list, p.byID[info.ID], roster = append(p.list, h), h, append(roster, info)
	}
	p.fixture = newFixture(t, fold.Rules{Queues: queues}, roster...)
	p.began = p.now
	for n := range p.list {
		p.after(time.Duration(n)*time.Second/time.Duration(hosts), func() { p.holdAgain(p.list[n]) })
	}
	p.after(0, p.decideAgain)
	p.after(0, p.checkAgain)
	return p
}

func (p *advisedPool) after(d time.Duration, do func()) {
	p.eventCount++
	heap.Push(&p.events, poolEvent{at: p.now.Add(d), order: p.eventCount, do: do})
}

// runUntil plays events until the given time since the start.
func (p *advisedPool) runUntil(end time.Duration) {
	for p.events[0].at <= p.began.Add(end) {
		e := heap.Pop(&p.events).(poolEvent)
		if e.at > p.now {
			p.advance(e.at.Sub(p.now))
		}
		e.do()
	}
}

// decideAgain makes decisions after each event, at most every 10 ms and at least every 100 ms.
func (p *advisedPool) decideAgain() {
	p.decideDue = false
	p.cell.Decide()
	p.send(p.cell.Orders())
	if !p.recording {
		if writes := p.cell.Snapshot(); len(writes) > 0 || p.cell.SnapshotPending() {
			p.recording = true
			p.after(recordDelay, func() {
				p.recording = false
				p.cell.SnapshotRecorded(writes)
				p.send(p.cell.Orders())
				p.wake()
			})
		}
	}
	p.dispatch()
	round := p.eventCount
	p.after(100*time.Millisecond, func() {
		if p.lastRound == round {
			p.decideAgain()
		}
	})
	p.lastRound = round
}

func (p *advisedPool) wake() {
	if !p.decideDue {
		p.decideDue = true
		p.after(10*time.Millisecond, p.decideAgain)
	}
}

func (p *advisedPool) dispatch() {
	for p.busy < entryCount {
		call, ok := p.cell.NextAdviceCall(p.slow < slowEntryCount)
		if !ok {
			return
		}
		p.calls++
		p.busy++
		slow := call.Slow()
		if slow {
			p.slow++
		}
		p.after(call.Duration+2*messageDelay, func() {
			p.busy--
			if slow {
				p.slow--
			}
			step, issued := p.steps[call.Step], p.now.Add(-messageDelay)
			advice := fold.Advice{Validity: p.queues[step.queue].Advice.Validity}
			for _, id := range call.Hosts {
				if h := p.byID[id]; h.up && p.approves(step, id) {
					ticket := fmt.Sprintf("%s/%s/%d/%d", call.Step, id, h.info.Incarnation, p.calls)
					p.tickets[ticket] = issued.Add(advice.Validity)
					advice.Approvals = append(advice.Approvals, fold.Approval{Host: id, Ticket: ticket})
				}
			}
			p.cell.ApplyAdvice(call, advice, p.now.Add(-20*time.Millisecond), nil)
			p.wake()
			p.dispatch()
		})
	}
}

func (p *advisedPool) approves(s *poolStep, id string) bool {
	f := fnv.New64a()
	_, _ = f.Write([]byte(s.job.ID + id))
	return float64(f.Sum64()%9973)/9973 < p.good[s.queue]
}

func (p *advisedPool) send(orders core.Orders) {
	for _, s := range orders.Starts {
		p.after(messageDelay, func() { p.start(s) })
	}
	for _, s := range orders.Stops {
		p.after(messageDelay, func() { p.stop(s) })
	}
	for _, a := range orders.Acks {
		h := p.byID[a.Host]
		if h.info.Incarnation == a.Incarnation {
			h.ends = slices.DeleteFunc(h.ends, func(e fold.HostEnd) bool { return e.Number <= a.Number })
		}
	}
}

func (p *advisedPool) start(s core.Start) {
	h := p.byID[s.Host.ID]
	answer := func(err error) {
		p.after(messageDelay, func() {
			p.cell.ApplyStart(s, err)
			p.wake()
		})
	}
	name := s.Req.Task
	step := p.steps[name[:strings.LastIndex(name, ".")]]
	switch {
	case !h.up || h.info.Incarnation != s.Host.Incarnation:
		answer(fold.HostRestarted.New("another incarnation"))
		return
	case p.tickets[s.Req.Ticket] < p.now:
		p.refusedTickets++
		answer(fold.BadTicket.New("the ticket has expired"))
		return
	}
	parsed, _ := flow.ParseTaskName(name)
	size := step.step.Size
	if !size.Fits(h.info.Capacity.Sub(h.used)) {
		p.t.Errorf("%s starts on %s beyond its capacity", name, h.info.ID)
	}
	if step.step.PerHost > 0 && step.perHost[h.info.ID] >= step.step.PerHost {
		p.t.Errorf("%s starts on %s beyond the tasks per host", name, h.info.ID)
	}
	if step.running[parsed.Index] > 0 {
		p.t.Errorf("%s runs twice", name)
	}
	p.starts++
	r := &poolRun{task: name, run: s.Req.Run, began: p.now, step: step, took: time.Duration(float64(step.step.Estimate)*(0.5+p.rand.Float64())) * time.Millisecond}
	h.used = h.used.Add(size)
	h.runs[name] = r
	step.running[parsed.Index]++
	step.perHost[h.info.ID]++
	p.noteStart(step, parsed.Index)
	kind := fold.EndDone
	if step.step.LongRunning {
		// A long-running task fails now and then.
		kind, r.took = fold.EndFailed, time.Duration(p.rand.ExpFloat64()*float64(120*time.Second))
	}
	p.after(r.took, func() { p.end(h, r, kind) })
	answer(nil)
}

func (p *advisedPool) noteStart(s *poolStep, index int) {
	p.waits[s.queue] = append(p.waits[s.queue], p.now.Sub(s.readySince[index]))
	s.roomSince[index] = 0
}

func (p *advisedPool) stop(s core.Stop) {
	h := p.byID[s.Host.ID]
	p.after(messageDelay, func() { p.cell.ApplyStop(s, nil) })
	r, ok := h.runs[s.Task]
	if !ok || r.run != s.Run || r.stopped {
		return
	}
	r.stopped = true
	p.after(time.Duration(p.rand.Float64()*float64(maxStopDelay)), func() { p.end(h, r, fold.EndStopped) })
}

func (p *advisedPool) end(h *poolHost, r *poolRun, kind fold.EndKind) {
	if h.runs[r.task] != r {
		return
	}
	p.remove(h, r)
	h.last++
	parsed, _ := flow.ParseTaskName(r.task)
	if kind == fold.EndDone {
		r.step.readySince[parsed.Index] = 0
	}
	h.ends = append(h.ends, fold.HostEnd{Number: h.last, Task: r.task, Run: r.run, Kind: kind})
	p.after(messageDelay, func() { p.hold(h) })
}

// remove takes a run off its host. Its task then waits.
func (p *advisedPool) remove(h *poolHost, r *poolRun) {
	delete(h.runs, r.task)
	h.used = h.used.Sub(r.step.step.Size)
	parsed, _ := flow.ParseTaskName(r.task)
	r.step.running[parsed.Index]--
	r.step.perHost[h.info.ID]--
	r.step.readySince[parsed.Index] = p.now
}

// hold reports the runs and ends of a host to the cell.
func (p *advisedPool) hold(h *poolHost) {
	if !h.up {
		return
	}
	runs := make([]fold.HostRun, 0, len(h.runs))
	for _, r := range h.runs {
		percent := 100
		if !r.step.step.LongRunning {
			percent = int(100 * p.now.Sub(r.began) / r.took)
		}
		runs = append(runs, fold.HostRun{Task: r.task, Run: r.run, Percent: percent})
	}
	p.cell.ApplyReport(h.info.ID, p.now, fold.HoldReply{Clock: p.wall, Incarnation: h.info.Incarnation, Runs: runs, Ends: slices.Clone(h.ends)}, lease.MaxDuration(leaseTime))
	p.wake()
}

func (p *advisedPool) holdAgain(h *poolHost) {
	p.hold(h)
	p.after(time.Second, func() { p.holdAgain(h) })
}

// submit adds a job of one step of the queue.
func (p *advisedPool) submit(queue int, s flow.Step) *poolStep {
	p.jobs++
	j := jobOf(p.jobs, p.queues[queue], s)
	j.Accepted, j.Team = p.wall, fmt.Sprintf("team-%d", p.jobs%40)
	step := &poolStep{
		job: j, step: s, queue: queue, running: make([]int, s.Count), readySince: slices.Repeat([]fold.Instant{p.now}, s.Count),
		roomSince: make([]fold.Instant, s.Count), perHost: make(map[string]int),
	}
	p.steps[j.ID+".0.0"] = step
	p.order = append(p.order, step)
	p.cell.AddJob(j, 1)
	p.wake()
	return step
}

func (p *advisedPool) cancel(s *poolStep) {
	s.cancelled = true
	p.cell.Cancel(s.job.ID)
	p.wake()
}

// room returns the number of tasks of the step, up to two, that fit on approved hosts, after preemption if preempt is true.
func (p *advisedPool) room(s *poolStep, preempt bool) int {
	n := int64(0)
	for _, h := range p.list {
		if !h.up || s.step.PerHost > 0 && s.perHost[h.info.ID] >= s.step.PerHost || !p.approves(s, h.info.ID) {
			continue
		}
		free := h.info.Capacity.Sub(h.used)
		if preempt {
			for _, r := range h.runs {
				if r.step.queue == replanQueue {
					free = free.Add(r.step.step.Size)
				}
			}
		}
		slots := min(free.CPU/s.step.Size.CPU, free.Memory/s.step.Size.Memory)
		if s.step.PerHost > 0 {
			slots = min(slots, int64(s.step.PerHost-s.perHost[h.info.ID]))
		}
		if n += slots; n >= 2 {
			return 2
		}
	}
	return int(n)
}

// checkAgain checks that no long-running task waits for too long although its step has room for two tasks.
func (p *advisedPool) checkAgain() {
	for _, s := range p.order {
		if s.cancelled || !s.step.LongRunning {
			continue
		}
		room := -1
		for i := range s.running {
			if s.running[i] > 0 || p.now.Sub(s.readySince[i]) < idleGrace {
				s.roomSince[i] = 0
				continue
			}
			if room < 0 {
				room = p.room(s, p.countPreemptible)
			}
			switch {
			case room < 2:
				s.roomSince[i] = 0
			case s.roomSince[i] == 0:
				s.roomSince[i] = p.now
			case p.now.Sub(s.roomSince[i]) >= maxIdle:
				name := fmt.Sprintf("%s.0.0.%d", s.job.ID, i)
				p.violations[name] = p.now.Sub(s.readySince[i])
			}
		}
	}
	p.after(100*time.Millisecond, p.checkAgain)
}

// logNormal returns a random number with the given mean and spread, at most limit.
func (p *advisedPool) logNormal(mean, spread, limit float64) float64 {
	return min(limit, mean*math.Exp(p.rand.NormFloat64()*spread-spread*spread/2))
}

// randomStep returns a step of the usual size for the queue.
func (p *advisedPool) randomStep(queue int) flow.Step {
	switch queue {
	case checkQueue:
		s := flow.Step{Count: int(max(1, p.logNormal(9.5, 0.8, 57))), Size: fold.Resources{CPU: int64(p.logNormal(8900, 0.45, 27000)), Memory: int64(p.logNormal(13000, 0.6, 38000))}, Estimate: int64(p.logNormal(800, 0.5, 2000))}
		if p.rand.Float64() < 0.15 {
			s.PerHost = 1
		}
		return s
	case replanQueue:
		return flow.Step{Count: int(max(1, p.logNormal(14, 0.6, 68))), Size: fold.Resources{CPU: int64(p.logNormal(18000, 0.4, 30000)), Memory: int64(p.logNormal(26000, 0.5, 53000))}, Estimate: int64(p.logNormal(6000, 0.5, 15000)), Checkpoints: p.rand.Float64() < 0.8}
	default:
		s := flow.Step{Count: int(max(1, p.logNormal(20, 0.8, 120))), Size: fold.Resources{CPU: int64(p.logNormal(18000, 0.4, 30000)), Memory: int64(p.logNormal(18000, 0.5, 36000))}, Estimate: 1000, LongRunning: true}
		if p.rand.Float64() < 0.7 {
			s.PerHost = 1
		}
		return s
	}
}

// arrive submits random jobs of a queue at the given rate per second, until the given time.
func (p *advisedPool) arrive(queue int, rate float64, until time.Duration) {
	p.after(time.Duration(p.rand.ExpFloat64()/rate*float64(time.Second)), func() {
		if p.now.Sub(p.began) > until {
			return
		}
		s := p.submit(queue, p.randomStep(queue))
		if queue == watchQueue {
			p.after(time.Duration(p.logNormal(45, 0.7, 140)*float64(time.Second)), func() { p.cancel(s) })
		}
		p.arrive(queue, rate, until)
	})
}

// used returns the used share of the processors.
func (p *advisedPool) used() float64 {
	var used, capacity int64
	for _, h := range p.list {
		if h.up {
			used, capacity = used+h.used.CPU, capacity+h.info.Capacity.CPU
		}
	}
	return float64(used) / float64(capacity)
}

func quantile(list []time.Duration, q float64) time.Duration {
	if len(list) == 0 {
		return 0
	}
	slices.Sort(list)
	return list[min(len(list)-1, int(q*float64(len(list))))].Round(10 * time.Millisecond)
}

// summary describes how long tasks waited.
func (p *advisedPool) summary() string {
	out := fmt.Sprintf("used %.2f, starts %d, calls %d, refused tickets %d, preempted %d, violations %d;", p.used(), p.starts, p.calls, p.refusedTickets, p.cell.Stats().Preempted, len(p.violations))
	for q := range p.waits {
		out += fmt.Sprintf(" %s n=%d p50=%s p90=%s p99=%s max=%s;", p.queues[q].Name, len(p.waits[q]), quantile(p.waits[q], 0.5), quantile(p.waits[q], 0.9), quantile(p.waits[q], 0.99), quantile(p.waits[q], 1))
	}
	waiting, longest := 0, time.Duration(0)
	for _, s := range p.order {
		for i := range s.running {
			if s.step.LongRunning && !s.cancelled && s.running[i] == 0 {
				waiting++
				longest = max(longest, p.now.Sub(s.readySince[i]))
			}
		}
	}
	return out + fmt.Sprintf(" %d watch tasks wait, longest %s", waiting, longest)
}

// checkViolations reports the long-running tasks that waited for too long.
func (p *advisedPool) checkViolations() {
	p.t.Helper()
	p.t.Log(p.summary())
	if len(p.violations) == 0 {
		return
	}
	var longest time.Duration
	var which string
	for name, waited := range p.violations {
		if waited > longest {
			longest, which = waited, name
		}
	}
	p.t.Errorf("%d long-running tasks wait for more than %s after the first %s although there is room for two on approved hosts; %s waits for %s", len(p.violations), maxIdle, idleGrace, which, longest)
}

// Guards against long-running tasks that wait in a full pool although approved hosts have room for them once other runs are
// stopped.
func TestLongRunningTasksStartInAFullPool(t *testing.T) {
	for _, c := range []struct {
		load float64
		seed uint64
	}{{1, 3}, {1.5, 2}, {2, 0}, {2, 1}, {2, 5}} {
		t.Run(fmt.Sprintf("load %.1f, seed %d", c.load, c.seed), func(t *testing.T) {
			p := newAdvisedPool(t, c.seed, 350)
			p.countPreemptible = true
			const end = 40 * time.Second
			for range int(38 * c.load) {
				p.submit(replanQueue, p.randomStep(replanQueue))
			}
			for range 13 {
				p.submit(watchQueue, p.randomStep(watchQueue))
			}
			p.arrive(checkQueue, 32*c.load, end)
			p.arrive(replanQueue, 4.1*c.load, end)
			p.arrive(watchQueue, 0.3, end)
			p.runUntil(end)
			p.checkViolations()
		})
	}
}
