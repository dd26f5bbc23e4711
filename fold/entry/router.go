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
	// retryFraction is the average number of retries after unknown outcomes that are permitted for each request.
	retryFraction = 0.1
	// resendFraction is the average number of retries after refusals by endpoints that are permitted for each request. A
	// refusal costs one exchange and no run. Entries that share 8 slots without knowing each other's load get 0.3 to 0.6
	// refusals for each request at 0.8 to 1.0 of the capacity.
	resendFraction = 0.75
	// retryBurst is the maximum number of unused retries of each kind that accumulate.
	retryBurst = 50
	// overloadWaits is the maximum wait of a request of an overloaded account, in run times. A longer queue only adds delay.
	overloadWaits = 2
	// maxWakeupDelay is the maximum delay of a wakeup, so that its goroutine does not outlive the entry by more than this.
	maxWakeupDelay = 100 * time.Millisecond
)

// requestParams holds the properties of a request by which a router admits it.
type requestParams struct {
	// account is the client account or team that the request counts for.
	account string
	// share is the share of the account.
	share    float64
	urgent   bool
	deadline fold.Instant
}

// queuedRequest is one request at a router. It waits until it gets an endpoint or is refused.
type queuedRequest struct {
	params requestParams
	ticket *admit.Ticket[*queuedRequest]
	// avoid names the endpoints that failed or refused the request.
	avoid map[string]bool
	// uncontended is set if no request waited and an endpoint was free when the request arrived. Such a request is sent
	// even if it is not expected to end in time, because its outcome keeps the estimates current.
	uncontended bool
	// ready is closed when the request gets an endpoint or is refused.
	ready chan struct{}
	// decided is set when ready is closed.
	decided bool
	// endpoint is the endpoint for the request, if err is nil.
	endpoint fold.Instance
	// err is the refusal.
	err error
}

// router sends the requests of one service to its endpoints.
type router struct {
	mu    sync.Mutex
	table *route.Table
	queue *admit.Queue[*queuedRequest]
	// retries limits the retries after unknown outcomes; resends limits those after refusals.
	retries, resends *route.Budget
	// decided is called with mu held for each request that gets an endpoint or is refused.
	decided func(*queuedRequest)
	// wakeupAt is the time of the next scheduled wakeup, or 0 if there is none.
	wakeupAt fold.Instant
}

func newRouter(domain string, random *rand.Rand) *router {
	return &router{
		table:   route.New(domain, random),
		queue:   admit.New[*queuedRequest](),
		retries: route.NewBudget(retryFraction, retryBurst),
		resends: route.NewBudget(resendFraction, retryBurst),
		decided: func(t *queuedRequest) { close(t.ready) },
	}
}

// update replaces the endpoints. If none is live, it refuses all waiting requests.
func (r *router) update(now fold.Instant, list []fold.Instance) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.table.Update(now, list)
	r.assignEndpoints(now)
	for r.table.LiveCount() == 0 {
		ticket, ok := r.queue.Pop()
		if !ok {
			return
		}
		r.refuse(ticket.Value, noEndpointError())
	}
}

// enqueue queues a request, or refuses it if it is not expected to end before its deadline.
func (r *router) enqueue(now fold.Instant, w requestParams) (*queuedRequest, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.table.LiveCount() == 0 {
		return nil, noEndpointError()
	}
	t := &queuedRequest{params: w, avoid: make(map[string]bool), ready: make(chan struct{})}
	t.uncontended = r.queue.Len() == 0 && r.table.HasOpenEndpoint(now)
	if !t.uncontended {
		if err := r.checkDeadline(now, w); err != nil {
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
	r.assignEndpoints(now)
	return t, nil
}

// checkDeadline refuses a request whose expected wait and run time exceed the time left. It also refuses a request of an
// overloaded account whose expected wait exceeds overloadWaits.
func (r *router) checkDeadline(now fold.Instant, w requestParams) error {
	rate := r.table.Rate()
	if rate <= 0 {
		return nil
	}
	wait := time.Duration(r.queue.TurnsUntilServed(w.account, w.share, w.urgent) / rate * float64(time.Second))
	remaining := w.deadline.Sub(now)
	if wait+r.table.LikelyMaxDuration() > remaining || (r.queue.Overloaded(now, w.account) && wait > overloadWaits*r.table.LikelyMaxDuration()) {
		r.queue.RecordRefusal(now, w.account)
		return fold.Refuse(fold.Overload, "retry later, or with a later deadline",
			"the expected wait of %s and run time of %s exceed the %s left", wait.Round(time.Millisecond), r.table.MeanDuration().Round(time.Millisecond), remaining)
	}
	return nil
}

// retry queues a request again after an endpoint refused or failed it. It reports false if the retry budget is used up or
// no endpoint is live.
func (r *router) retry(now fold.Instant, t *queuedRequest, notRun bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	budget := r.retries
	if notRun {
		budget = r.resends
	}
	if r.table.LiveCount() == 0 || !budget.Spend() {
		return false
	}
	t.ready, t.decided, t.endpoint, t.err = make(chan struct{}), false, fold.Instance{}, nil
	r.queue.PutBack(now, t.ticket)
	r.assignEndpoints(now)
	return true
}

// abandon removes a request that is no longer to be sent, and releases its endpoint if it has one.
func (r *router) abandon(now fold.Instant, t *queuedRequest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !t.decided {
		r.queue.Remove(t.ticket)
		r.refuse(t, fold.Refuse(fold.Overload, "retry with a later deadline", "no endpoint was free before the deadline"))
		return
	}
	if t.err == nil {
		r.table.Release(now, t.endpoint.Name, route.Report{Outcome: route.Abandoned})
		r.assignEndpoints(now)
	}
}

// release releases an endpoint and gives it to the next request.
func (r *router) release(now fold.Instant, name string, report route.Report) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.table.Release(now, name, report)
	r.assignEndpoints(now)
}

// assignEndpoints assigns free endpoints to waiting requests in the order of the queue; the caller holds r.mu.
func (r *router) assignEndpoints(now fold.Instant) {
	for r.queue.Len() > 0 && r.table.HasOpenEndpoint(now) {
		ticket, _ := r.queue.Pop()
		t := ticket.Value
		if r.timeTooShort(now, t) {
			r.refuse(t, timeTooShortError())
			continue
		}
		endpoint, _ := r.table.Acquire(now, t.avoid)
		t.endpoint, t.decided = endpoint, true
		r.decided(t)
	}
}

// recheckDeadline checks the deadline again after a request that has an endpoint waited for its claim. If the time left
// is too short, it releases the endpoint and refuses the request, whose outcome would otherwise likely be unknown.
func (r *router) recheckDeadline(now fold.Instant, t *queuedRequest) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.timeTooShort(now, t) {
		return nil
	}
	r.table.Release(now, t.endpoint.Name, route.Report{Outcome: route.Abandoned})
	r.assignEndpoints(now)
	return timeTooShortError()
}

// timeTooShort reports whether the time left is too short to run the request.
func (r *router) timeTooShort(now fold.Instant, t *queuedRequest) bool {
	return !t.uncontended && t.params.deadline.Sub(now) < r.table.LikelyMaxDuration()
}

// wakeupDelay returns the delay until a paused endpoint may be tried again. It reports false if no request waits or a
// wakeup is scheduled early enough.
func (r *router) wakeupDelay(now fold.Instant) (time.Duration, bool) {
	next, ok := r.table.NextRetry()
	if !ok || r.queue.Len() == 0 {
		return 0, false
	}
	next = max(min(next, now.Add(maxWakeupDelay)), now)
	if r.wakeupAt != 0 && r.wakeupAt <= next {
		return 0, false
	}
	r.wakeupAt = next
	return next.Sub(now), true
}

// onWakeup handles a scheduled wakeup; the caller holds r.mu.
func (r *router) onWakeup(now fold.Instant) {
	if r.wakeupAt <= now {
		r.wakeupAt = 0
	}
	r.assignEndpoints(now)
}

// refuse ends the wait of a request with an error; the caller holds r.mu.
func (r *router) refuse(t *queuedRequest, err error) {
	t.err, t.decided = err, true
	r.decided(t)
}

// timeTooShortError returns the refusal of a request that cannot run before its deadline.
func timeTooShortError() error {
	return fold.Refuse(fold.Overload, "retry later, or with a later deadline", "the time left is too short to run the request")
}

// noEndpointError returns the refusal of a request to a service without a live endpoint.
func noEndpointError() error {
	return fold.Refuse(fold.Unavailable, "retry later", "the service has no endpoint")
}
