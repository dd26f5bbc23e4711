package entry

import (
	"strconv"

	"plantainfold.example/fold/route"
)

// policy selects the behaviour of the entries of a model.
type policy struct {
	name string
	// tries is the maximum number of times a baseline entry sends one request, or 0 for the router under test.
	tries int
	// window is the maximum number of requests that a baseline entry has in flight at one endpoint.
	window int
}

var (
	underTest = policy{name: "router"}
	// random tries at most three endpoints. Its queue stays short, but endpoints refuse many of its requests.
	random = policy{name: "random", tries: 3, window: route.MaxInflightPerEndpoint}
	// fifo divides the slots among the entries. Its queue is unbounded and keeps requests whose callers have timed out.
	fifo = policy{name: "fifo", tries: 1, window: modelSlots / modelEntries}
)

// plainEntry is an entry of a baseline. It sends requests in the order of arrival to random endpoints with a free
// connection. It sends every request at least once, even if the request cannot end in time.
type plainEntry struct {
	entry    *modelEntry
	policy   policy
	inflight []int
	queue    []*call
}

func newPlainEntry(e *modelEntry, p policy) *plainEntry {
	return &plainEntry{entry: e, policy: p, inflight: make([]int, modelEndpoints)}
}

func (p *plainEntry) arrive(c *call) {
	p.queue = append(p.queue, c)
	p.sendWaiting()
}

func (p *plainEntry) sendWaiting() {
	for len(p.queue) > 0 {
		at, ok := p.pick()
		if !ok {
			return
		}
		c := p.queue[0]
		p.queue = p.queue[1:]
		p.send(at, c)
	}
}

func (p *plainEntry) pick() (int, bool) {
	first := p.entry.model.random.IntN(modelEndpoints)
	for n := range modelEndpoints {
		if at := (first + n) % modelEndpoints; p.inflight[at] < p.policy.window {
			return at, true
		}
	}
	return 0, false
}

func (p *plainEntry) send(at int, c *call) {
	p.inflight[at]++
	p.entry.model.send("endpoint-"+strconv.Itoa(at), func(report route.Report) {
		p.inflight[at]--
		c.tries++
		switch {
		case report.Outcome == route.Served:
			p.entry.model.answered(c)
		case c.tries < p.policy.tries:
			p.queue = append(p.queue, c)
		default:
			p.entry.model.refused(c)
		}
		p.sendWaiting()
	})
}
