package entry

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"plantainfold.example/fold"
	"plantainfold.example/fold/route"
)

const (
	// modelEntries is the number of entries. It equals modelSlots, so that each entry's share of an endpoint is one slot.
	modelEntries = 8
	// modelEndpoints is the number of endpoints. It is smaller than in production to keep the tests short.
	modelEndpoints = 8
	// modelSlots is the number of requests that an endpoint runs at the same time.
	modelSlots = 8
	// modelService is the time that a request runs.
	modelService = 20 * time.Millisecond
	// modelHop is the one-way network delay between an entry and an endpoint. A round trip between domains takes 1 ms.
	modelHop = 500 * time.Microsecond
	// modelTimeout is the timeout of a request.
	modelTimeout = 500 * time.Millisecond
)

// modelCapacity is the maximum number of answers per second.
var modelCapacity = float64(modelEndpoints*modelSlots) / modelService.Seconds()

// event is a function that runs at an instant of virtual time.
type event struct {
	at    fold.Instant
	order int
	do    func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || (e[i].at == e[j].at && e[i].order < e[j].order)
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// call is one request in the model.
type call struct {
	account  string
	entry    *modelEntry
	came     fold.Instant
	deadline fold.Instant
	tries    int
}

// tally counts the calls that arrived in an interval of time.
type tally struct {
	offered, answered, late, refused int
	// waits are the times from arrival to answer, in seconds.
	waits []float64
}

func (t tally) quantile(q float64) float64 {
	if len(t.waits) == 0 {
		return math.NaN()
	}
	slices.Sort(t.waits)
	return t.waits[int(q*float64(len(t.waits)-1))]
}

// model runs callers, entries and endpoints in virtual time.
type model struct {
	now       fold.Instant
	agenda    events
	order     int
	random    *rand.Rand
	endpoints map[string]*modelEndpoint
	entries   []*modelEntry
	// sends counts the requests sent to endpoints; full counts those that endpoints refused.
	sends, full int
	byAccount   map[string]*tally
	// byTenth holds a tally for each tenth of a second, by the arrival of the calls.
	byTenth map[int]*tally
	// service draws the time that a request runs.
	service func() time.Duration
}

// modelEndpoint runs up to modelSlots requests at once, even if their callers have timed out.
type modelEndpoint struct {
	running int
}

// modelEntry is an entry; plain is set for the baselines.
type modelEntry struct {
	model  *model
	router *router
	calls  map[*queuedRequest]*call
	plain  *plainEntry
}

func newModel(p policy) *model {
	m := &model{
		random:    rand.New(rand.NewPCG(seed, 1)),
		endpoints: make(map[string]*modelEndpoint),
		byAccount: make(map[string]*tally),
		byTenth:   make(map[int]*tally),
	}
	m.service = func() time.Duration {
		return time.Duration((0.9 + 0.2*m.random.Float64()) * float64(modelService))
	}
	var list []fold.Instance
	for n := range modelEndpoints {
		in := fold.Instance{Name: "endpoint-" + strconv.Itoa(n), State: fold.Live, Slots: modelSlots, Domain: strconv.Itoa(n % 3)}
		list = append(list, in)
		m.endpoints[in.Name] = &modelEndpoint{}
	}
	for n := range modelEntries {
		e := &modelEntry{model: m, calls: make(map[*queuedRequest]*call)}
		if p.tries > 0 {
			e.plain = newPlainEntry(e, p)
		}
		e.router = newRouter(strconv.Itoa(n%3), rand.New(rand.NewPCG(seed, uint64(100+n))))
		e.router.decided = e.decided
		e.router.update(0, list)
		m.entries = append(m.entries, e)
	}
	return m
}

func (m *model) after(d time.Duration, do func()) {
	m.order++
	heap.Push(&m.agenda, event{at: m.now.Add(d), order: m.order, do: do})
}

// offer schedules calls of an account at a rate per second, at random instants of an interval.
func (m *model) offer(account string, rate float64, from, to time.Duration) {
	gap := func() time.Duration { return time.Duration(m.random.ExpFloat64() / rate * float64(time.Second)) }
	var next func()
	next = func() {
		if time.Duration(m.now) >= to {
			return
		}
		m.arrive(account)
		m.after(gap(), next)
	}
	m.after(from+gap(), next)
}

// run runs all events in the order of their times.
func (m *model) run() {
	for len(m.agenda) > 0 {
		e := heap.Pop(&m.agenda).(event)
		m.now = e.at
		e.do()
	}
}

func (m *model) arrive(account string) {
	e := m.entries[m.random.IntN(len(m.entries))]
	c := &call{account: account, entry: e, came: m.now, deadline: m.now.Add(modelTimeout)}
	for _, t := range m.tallies(c) {
		t.offered++
	}
	if e.plain != nil {
		e.plain.arrive(c)
		return
	}
	t, err := e.router.enqueue(m.now, requestParams{account: account, share: 1, deadline: c.deadline})
	if err != nil {
		m.refused(c)
		return
	}
	if t.decided {
		e.start(t, c)
		return
	}
	e.wait(t, c)
}

func (m *model) tallies(c *call) []*tally {
	tenth := int(time.Duration(c.came) / (100 * time.Millisecond))
	if m.byTenth[tenth] == nil {
		m.byTenth[tenth] = &tally{}
	}
	if m.byAccount[c.account] == nil {
		m.byAccount[c.account] = &tally{}
	}
	return []*tally{m.byTenth[tenth], m.byAccount[c.account]}
}

func (m *model) refused(c *call) {
	for _, t := range m.tallies(c) {
		t.refused++
	}
}

func (m *model) answered(c *call) {
	for _, t := range m.tallies(c) {
		if m.now > c.deadline {
			t.late++
			continue
		}
		t.answered++
		t.waits = append(t.waits, m.now.Sub(c.came).Seconds())
	}
}

// sum returns the tally of the calls that arrived in an interval.
func (m *model) sum(from, to time.Duration) tally {
	var all tally
	for tenth, t := range m.byTenth {
		if at := time.Duration(tenth) * 100 * time.Millisecond; at >= from && at < to {
			all.offered += t.offered
			all.answered += t.answered
			all.late += t.late
			all.refused += t.refused
			all.waits = append(all.waits, t.waits...)
		}
	}
	return all
}

func (e *modelEntry) wait(t *queuedRequest, c *call) {
	e.calls[t] = c
	e.model.after(c.deadline.Sub(e.model.now), func() {
		if e.calls[t] == c && !t.decided {
			e.router.abandon(e.model.now, t)
		}
	})
	e.scheduleWakeup()
}

// decided is the callback of the router. A request that is decided within enqueue or retry is not in e.calls yet.
func (e *modelEntry) decided(t *queuedRequest) {
	if c, ok := e.calls[t]; ok {
		delete(e.calls, t)
		e.model.after(0, func() { e.start(t, c) })
	}
}

func (e *modelEntry) scheduleWakeup() {
	nap, needed := e.router.wakeupDelay(e.model.now)
	if !needed {
		return
	}
	e.model.after(nap, func() {
		e.router.onWakeup(e.model.now)
		e.scheduleWakeup()
	})
}

func (e *modelEntry) start(t *queuedRequest, c *call) {
	if t.err != nil {
		e.model.refused(c)
		return
	}
	sent := e.model.now
	e.model.send(t.endpoint.Name, func(report route.Report) {
		report.Took = e.model.now.Sub(sent)
		e.router.release(e.model.now, t.endpoint.Name, report)
		e.scheduleWakeup()
		if report.Outcome == route.Served {
			e.model.answered(c)
			return
		}
		e.retry(t, c)
	})
}

func (e *modelEntry) retry(t *queuedRequest, c *call) {
	c.tries++
	t.avoid[t.endpoint.Name] = true
	if c.tries >= maxTries || e.model.now >= c.deadline || !e.router.retry(e.model.now, t, true) {
		e.model.refused(c)
		return
	}
	if t.decided {
		e.start(t, c)
		return
	}
	e.wait(t, c)
}

// send delivers a request to an endpoint and the report back to the entry.
func (m *model) send(name string, back func(route.Report)) {
	m.sends++
	at := m.endpoints[name]
	m.after(modelHop, func() {
		if at.running >= modelSlots {
			m.full++
			m.after(modelHop, func() { back(route.Report{Outcome: route.Refused}) })
			return
		}
		at.running++
		m.after(m.service(), func() {
			at.running--
			report := route.Report{Outcome: route.Served, Running: at.running, Slots: modelSlots}
			m.after(modelHop, func() { back(report) })
		})
	})
}
