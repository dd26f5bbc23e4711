package entry

import (
	"math/rand/v2"
	"sync"
	"time"

	"plantainfold.example/fold"
	"plantainfold.example/fold/admit"
	"plantainfold.example/fold/route"
)

const (
	// retryFraction is how many retries after an unknown outcome each request allows on average.
	retryFraction = 0.1
	// resendFraction is how many further tries after a refusal by an endpoint each request allows on average. A refusal
	// costs one exchange and no run; entries that share 8 slots without knowing each other's load meet 0.3 to 0.6 of
	// them for each request at 0.8 to 1.0 of the capacity.
	resendFraction = 0.75
	// retryBurst is how many retries of either kind may be saved up.
	retryBurst = 50
	// overloadWaits is how many runs a request of an overloaded account may wait; a longer queue only adds waiting.
	overloadWaits = 2
	// maxNap bounds the time that a waker sleeps, so that none outlives the entry by more than this.
	maxNap = 100 * time.Millisecond
)

// want is what a request asks of a router.
type want struct {
	account  string
	share    float64
	urgent   bool
	deadline fold.Instant
}

// turn is one request at a router: it waits, then it holds a place or is refused.
type turn struct {
	want   want
	ticket *admit.Ticket[*turn]
	// avoid names the endpoints that failed or refused the request.
	avoid map[string]bool
	// alone says that nobody waited when the request came; its outcome keeps the estimates current, so it is sent
	// even if they say that it cannot end in time.
	alone bool
	// ready is closed when the turn is decided.
	ready   chan struct{}
	decided bool
	place   fold.Instance
	err     error
}

// router sends the requests of one service to its endpoints.
type router struct {
	mu    sync.Mutex
	table *route.Table
	queue *admit.Queue[*turn]
	// retries and resends bound the tries after unknown outcomes and after refusals.
	retries, resends *route.Budget
	// decided is called under the lock with each turn that is granted or refused.
	decided func(*turn)
	// waker is when the next waker tries the paused endpoints again, or 0.
	waker fold.Instant
}

func newRouter(domain string, random *rand.Rand) *router {
	return &router{
		table:   route.New(domain, random),
		queue:   admit.New[*turn](),
		retries: route.NewBudget(retryFraction, retryBurst),
		resends: route.NewBudget(resendFraction, retryBurst),
		decided: func(t *turn) { close(t.ready) },
	}
}

// update replaces the endpoints; without any, nobody waits.
func (r *router) update(now fold.Instant, list []fold.Instance) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.table.Update(now, list)
	r.pump(now)
	for r.table.Live() == 0 {
		ticket, ok := r.queue.Pop()
		if !ok {
			return
		}
		r.refuse(ticket.Value, noEndpoint())
	}
}

// enter queues a request, or refuses it when it cannot end before its deadline.
func (r *router) enter(now fold.Instant, w want) (*turn, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.table.Live() == 0 {
		return nil, noEndpoint()
	}
	t := &turn{want: w, avoid: make(map[string]bool), ready: make(chan struct{})}
	t.alone = r.queue.Len() == 0 && r.table.Free(now)
	if !t.alone {
		if err := r.feasible(now, w); err != nil {
			return nil, err
		}
	}
	ticket, err := r.queue.Push(now, w.account, w.share, w.urgent, t)
	if err != nil {
		return nil, err
	}
	t.ticket = ticket
	r.retries.Earn()
	r.resends.Earn()
	r.pump(now)
	return t, nil
}

// feasible refuses a request whose expected wait and run exceed the time left.
func (r *router) feasible(now fold.Instant, w want) error {
	rate := r.table.Rate()
	if rate <= 0 {
		return nil
	}
	wait := time.Duration(r.queue.Ahead(w.account, w.share, w.urgent) / rate * float64(time.Second))
	left := w.deadline.Sub(now)
	if wait+r.table.Likely() > left || (r.queue.Overloaded(now, w.account) && wait > overloadWaits*r.table.Likely()) {
		r.queue.Refused(now, w.account)
		return fold.Refuse(fold.Overload, "retry later, or with a later deadline",
			"the expected wait of %s and run of %s exceed the %s left", wait.Round(time.Millisecond), r.table.Mean().Round(time.Millisecond), left)
	}
	return nil
}

// retry queues a request again after the endpoint refused or failed it, if the budget allows.
func (r *router) retry(now fold.Instant, t *turn, notRun bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	budget := r.retries
	if notRun {
		budget = r.resends
	}
	if r.table.Live() == 0 || !budget.Spend() {
		return false
	}
	t.ready, t.decided, t.place, t.err = make(chan struct{}), false, fold.Instance{}, nil
	r.queue.Return(now, t.ticket)
	r.pump(now)
	return true
}

// quit takes back a request that no longer wants its turn.
func (r *router) quit(now fold.Instant, t *turn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !t.decided {
		r.queue.Remove(t.ticket)
		r.refuse(t, fold.Refuse(fold.Overload, "retry with a later deadline", "no endpoint was free in time"))
		return
	}
	if t.err == nil {
		r.table.Release(now, t.place.Name, route.Report{Outcome: route.Abandoned})
		r.pump(now)
	}
}

// release returns a place and gives it to the next request.
func (r *router) release(now fold.Instant, name string, report route.Report) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.table.Release(now, name, report)
	r.pump(now)
}

// pump hands free places to waiting requests in the order of their turns.
func (r *router) pump(now fold.Instant) {
	for r.queue.Len() > 0 && r.table.Free(now) {
		ticket, _ := r.queue.Pop()
		t := ticket.Value
		if !t.alone && t.want.deadline.Sub(now) < r.table.Likely() {
			r.refuse(t, fold.Refuse(fold.Overload, "retry later, or with a later deadline", "the time left is too short to run"))
			continue
		}
		place, _ := r.table.Acquire(now, t.avoid)
		t.place, t.decided = place, true
		r.decided(t)
	}
}

// nap returns how long to wait until the paused endpoints are to be tried, if requests wait and no waker does so already.
func (r *router) nap(now fold.Instant) (time.Duration, bool) {
	next, ok := r.table.Next()
	if !ok || r.queue.Len() == 0 {
		return 0, false
	}
	next = max(min(next, now.Add(maxNap)), now)
	if r.waker != 0 && r.waker <= next {
		return 0, false
	}
	r.waker = next
	return next.Sub(now), true
}

// wake is called when a nap is over.
func (r *router) wake(now fold.Instant) {
	if r.waker <= now {
		r.waker = 0
	}
	r.pump(now)
}

func (r *router) refuse(t *turn, err error) {
	t.err, t.decided = err, true
	r.decided(t)
}

func noEndpoint() error {
	return fold.Refuse(fold.Unavailable, "retry later", "the service has no endpoint")
}
