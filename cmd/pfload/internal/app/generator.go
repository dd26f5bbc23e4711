package app

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// responseGrace is how long after the deadline of its request a caller still waits for a response.
const responseGrace = 5 * time.Second

// generator sends the requests of a plan.
type generator struct {
	plan        plan
	random      *rand.Rand
	totalWeight float64
	client      *http.Client
	// idPrefix makes the request IDs of this run unique.
	idPrefix string
	inFlight atomic.Int64
	senders  sync.WaitGroup
	phases   []*phaseStats
	// nextNumber is the number of requests generated so far and the number of the next one.
	nextNumber int
}

// request is one request of a run.
type request struct {
	number int
	due    time.Time
	// account is an index into the accounts of the plan.
	account    int
	entry      string
	idempotent bool
	urgent     bool
}

func newGenerator(p plan) *generator {
	g := &generator{
		plan:     p,
		random:   rand.New(rand.NewPCG(p.Seed, 1)),
		idPrefix: fmt.Sprintf("load-%x-", time.Now().UnixNano()),
		client: &http.Client{
			Transport: &http.Transport{
				MaxIdleConns:        maxInFlight,
				MaxIdleConnsPerHost: maxInFlight,
				IdleConnTimeout:     time.Minute,
				DisableCompression:  true,
			},
			// Following a redirect would send the request a second time.
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}
	for _, a := range p.accounts {
		g.totalWeight += a.weight
	}
	return g
}

// run sends the requests of all phases. If the plan names workers, it then compares the outcomes with what they served.
func (g *generator) run(ctx context.Context) (report, error) {
	defer g.client.CloseIdleConnections()
	start := time.Now()
	for _, p := range g.plan.phases {
		stats := newPhaseStats(g.plan.accounts, p)
		g.phases = append(g.phases, stats)
		start = g.runPhase(ctx, p, stats, start)
	}
	g.senders.Wait()
	r := report{phases: g.phases, plan: g.plan}
	if ctx.Err() != nil || len(g.plan.Workers) == 0 {
		return r, ctx.Err()
	}
	served, err := g.queryWorkers(ctx)
	if err != nil {
		return r, err
	}
	r.verification = g.verify(served)
	return r, nil
}

// runPhase sends the requests of a phase that starts at the given time and returns the end of the phase. Requests arrive as
// a Poisson process, so there may be more of them than expected. The plan limits the expected number to maxRequests, and
// runPhase sends no more than twice as many.
func (g *generator) runPhase(ctx context.Context, p phase, stats *phaseStats, start time.Time) time.Time {
	end := start.Add(p.duration)
	due := start
	for {
		due = due.Add(time.Duration(g.random.ExpFloat64() / p.rate * float64(time.Second)))
		if due.After(end) || g.nextNumber >= 2*maxRequests || !sleepUntil(ctx, due) {
			return end
		}
		g.startRequest(ctx, g.nextRequest(due), stats)
	}
}

// nextRequest draws the account, the entry and the kind of the next request at random.
func (g *generator) nextRequest(due time.Time) request {
	r := request{number: g.nextNumber, due: due}
	g.nextNumber++
	pick := g.random.Float64() * g.totalWeight
	for i, a := range g.plan.accounts {
		r.account = i
		if pick -= a.weight; pick < 0 {
			break
		}
	}
	r.entry = g.plan.Entries[g.random.IntN(len(g.plan.Entries))]
	r.idempotent = g.random.Float64() < g.plan.Idempotent
	r.urgent = g.random.Float64() < g.plan.Urgent
	return r
}

// startRequest sends one request in the background, unless the limit of requests in flight is reached.
func (g *generator) startRequest(ctx context.Context, r request, stats *phaseStats) {
	stats.recordOffered(r)
	if g.inFlight.Load() >= int64(g.plan.InFlight) {
		stats.unsent.Add(1)
		return
	}
	g.inFlight.Add(1)
	g.senders.Go(func() {
		defer g.inFlight.Add(-1)
		stats.recordStart(time.Since(r.due))
		result := g.send(ctx, r)
		stats.recordOutcome(r, result, time.Since(r.due), g.plan.Timeout)
	})
}

// sleepUntil returns true at the given time, or false as soon as ctx ends.
func sleepUntil(ctx context.Context, wakeAt time.Time) bool {
	wait := time.Until(wakeAt)
	if wait <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
