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

// graceTime is how much longer than the deadline the tool waits for an answer.
const graceTime = 5 * time.Second

// load sends the requests of a plan.
type load struct {
	plan    plan
	random  *rand.Rand
	total   float64
	client  *http.Client
	prefix  string
	flying  atomic.Int64
	running sync.WaitGroup
	phases  []*tally
	// count is the number of requests so far; it numbers them.
	count int
}

// shot is one request that is due.
type shot struct {
	number     int
	due        time.Time
	account    int
	entry      string
	idempotent bool
	urgent     bool
}

func newLoad(p plan) *load {
	l := &load{
		plan:   p,
		random: rand.New(rand.NewPCG(p.Seed, 1)),
		prefix: fmt.Sprintf("load-%x-", time.Now().UnixNano()),
		client: &http.Client{
			Transport: &http.Transport{
				MaxIdleConns:        maxFlying,
				MaxIdleConnsPerHost: maxFlying,
				IdleConnTimeout:     time.Minute,
				DisableCompression:  true,
			},
			// A followed redirect would send a request a second time.
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}
	for _, a := range p.accounts {
		l.total += a.weight
	}
	return l
}

// run sends all phases and then asks the workers what they served.
func (l *load) run(ctx context.Context) (report, error) {
	defer l.client.CloseIdleConnections()
	from := time.Now()
	for _, p := range l.plan.phases {
		t := newTally(l.plan.accounts, p)
		l.phases = append(l.phases, t)
		from = l.phase(ctx, p, t, from)
	}
	l.running.Wait()
	r := report{phases: l.phases, plan: l.plan}
	if ctx.Err() != nil || len(l.plan.Workers) == 0 {
		return r, ctx.Err()
	}
	served, err := l.askWorkers(ctx)
	if err != nil {
		return r, err
	}
	r.checks = l.check(served)
	return r, nil
}

// phase sends requests at random instants from the given time on and returns when the phase ends.
func (l *load) phase(ctx context.Context, p phase, t *tally, from time.Time) time.Time {
	end := from.Add(p.duration)
	due := from
	for {
		due = due.Add(time.Duration(l.random.ExpFloat64() / p.rate * float64(time.Second)))
		if due.After(end) || l.count >= 2*maxCount || !sleepUntil(ctx, due) {
			return end
		}
		l.fire(ctx, l.next(due), t)
	}
}

// next draws the properties of a request.
func (l *load) next(due time.Time) shot {
	s := shot{number: l.count, due: due}
	l.count++
	pick := l.random.Float64() * l.total
	for i, a := range l.plan.accounts {
		s.account = i
		if pick -= a.weight; pick < 0 {
			break
		}
	}
	s.entry = l.plan.Entries[l.random.IntN(len(l.plan.Entries))]
	s.idempotent = l.random.Float64() < l.plan.Idempotent
	s.urgent = l.random.Float64() < l.plan.Urgent
	return s
}

// fire sends one request in the background, unless too many are under way.
func (l *load) fire(ctx context.Context, s shot, t *tally) {
	t.offer(s)
	if l.flying.Load() >= int64(l.plan.Flying) {
		t.unsent.Add(1)
		return
	}
	l.flying.Add(1)
	l.running.Go(func() {
		defer l.flying.Add(-1)
		t.begun(time.Since(s.due))
		f := l.send(ctx, s)
		t.ended(s, f, time.Since(s.due), l.plan.Timeout)
	})
}

// sleepUntil returns at the instant, or false once ctx ends.
func sleepUntil(ctx context.Context, at time.Time) bool {
	wait := time.Until(at)
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
