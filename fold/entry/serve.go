package entry

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"go.opentelemetry.io/otel"

	"plantainfold.example/fold"
	"plantainfold.example/fold/admit"
	"plantainfold.example/fold/route"
)

const (
	// serveTries bounds the endpoints that one request is sent to.
	serveTries = 3
	// maxTimeout bounds the time a caller may ask for.
	maxTimeout = 60 * time.Second
)

// routers holds one router for each service.
type routers struct {
	domain string
	random *rand.Rand

	mu       sync.Mutex
	services map[string]*router
}

// router sends the requests of one service to its endpoints.
type router struct {
	mu    sync.Mutex
	table *route.Table
	queue *admit.Queue
}

func newRouters(domain string, random *rand.Rand) *routers {
	return &routers{domain: domain, random: random, services: make(map[string]*router)}
}

// update replaces the endpoints of all services.
func (r *routers) update(list []fold.Instance) {
	byService := make(map[string][]fold.Instance)
	for _, in := range list {
		if in.Role == fold.RoleEndpoint {
			byService[in.Service] = append(byService[in.Service], in)
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for service := range byService {
		if r.services[service] == nil {
			seeded := rand.New(rand.NewPCG(r.random.Uint64(), r.random.Uint64()))
			r.services[service] = &router{table: route.New(r.domain, seeded), queue: admit.New()}
		}
	}
	for service, one := range r.services {
		one.update(byService[service])
	}
}

func (r *routers) of(service string) (*router, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	one, ok := r.services[service]
	return one, ok
}

func (r *router) update(list []fold.Instance) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.table.Update(list)
}

// acquire takes a place at an endpoint, waiting its turn until the deadline.
func (r *router) acquire(ctx context.Context, clock fold.Clock, account string, deadline fold.Instant, avoid map[string]bool) (fold.Instance, error) {
	for {
		r.mu.Lock()
		if r.queue.Waiting() == 0 || len(avoid) > 0 {
			if in, ok := r.table.Acquire(avoid); ok {
				r.mu.Unlock()
				return in, nil
			}
		}
		ticket, err := r.queue.Push(account, deadline)
		r.mu.Unlock()
		if err != nil {
			return fold.Instance{}, err
		}
		select {
		case <-ticket.Ready:
			r.mu.Lock()
			in, ok := r.table.Acquire(avoid)
			r.mu.Unlock()
			if ok {
				return in, nil
			}
		case <-clock.After(deadline.Sub(clock.Now())):
			return fold.Instance{}, fold.Refuse(fold.Overload, "retry with a later deadline", "no endpoint was free before the deadline")
		case <-ctx.Done():
			return fold.Instance{}, fold.Refuse(fold.Overload, "retry", "the caller went away")
		}
	}
}

// release returns a place and lets the next request try.
func (r *router) release(now fold.Instant, name string, running int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.table.Release(name, running)
	if t, ok := r.queue.Pop(now); ok {
		close(t.Ready)
	}
}

// Serve runs one synchronous request on a queue.
func (e *Entry) Serve(ctx context.Context, c fold.Caller, queue string, r fold.Request) (fold.Reply, error) {
	if err := e.requireFresh(); err != nil {
		return fold.Reply{}, err
	}
	q, ok := e.current.Load().manifest.Queue(queue)
	if !ok || q.Service == "" {
		return fold.Reply{}, fold.Refuse(fold.NotFound, "name a request queue of the manifest", "no request queue %q", queue)
	}
	if !q.Allows(c.Team) || !c.MaySubmit(queue) {
		return fold.Reply{}, fold.Refuse(fold.Forbidden, "use a key for this queue", "team %q may not use queue %s", c.Team, queue)
	}
	if err := e.refuseDrained(q, c.Team); err != nil {
		return fold.Reply{}, err
	}
	one, ok := e.routers.of(q.Service)
	if !ok {
		return fold.Reply{}, fold.Refuse(fold.Unavailable, "retry later", "service %s has no endpoint", q.Service)
	}
	r.Service = q.Service
	r.Account = accountOf(c)
	r = r.WithTimeout(min(r.Timeout, maxTimeout))
	if !r.Idempotent {
		if err := e.claim(ctx, r.Account, r.ID, r.Issued); err != nil {
			return fold.Reply{}, err
		}
	}
	return e.dispatch(ctx, one, r)
}

// dispatch sends a request to an endpoint; it sends it again only if it did not run or is idempotent.
func (e *Entry) dispatch(ctx context.Context, one *router, r fold.Request) (fold.Reply, error) {
	deadline := e.clock.Now().Add(r.Timeout)
	avoid := make(map[string]bool)
	var last error
	for range serveTries {
		in, err := one.acquire(ctx, e.clock, r.Account, deadline, avoid)
		if err != nil {
			return fold.Reply{}, firstError(last, err)
		}
		reply, err := e.sendOnce(ctx, one, in, r.WithTimeout(deadline.Sub(e.clock.Now())))
		if err == nil {
			return reply, nil
		}
		last = err
		if !fold.DidNotRun(err) && !r.Idempotent {
			return fold.Reply{}, err
		}
		avoid[in.Name] = true
	}
	return fold.Reply{}, last
}

func (e *Entry) sendOnce(ctx context.Context, one *router, in fold.Instance, r fold.Request) (fold.Reply, error) {
	running := -1
	defer func() { one.release(e.clock.Now(), in.Name, running) }()
	if err := e.requireFresh(); err != nil {
		return fold.Reply{}, err
	}
	if r.Timeout <= 0 {
		return fold.Reply{}, fold.Refuse(fold.Overload, "retry with a later deadline", "the deadline has passed")
	}
	sendCtx, cancel := context.WithTimeout(ctx, r.Timeout)
	defer cancel()
	sendCtx, span := otel.Tracer("entry").Start(sendCtx, "endpoint "+in.Name)
	defer span.End()
	reply, err := e.platform.Endpoints.Endpoint(in.Address).Serve(sendCtx, r)
	if err == nil {
		running = reply.Running
	}
	return reply, err
}

// firstError keeps an earlier unknown outcome, because a later refusal does not prove that the request did not run.
func firstError(earlier, later error) error {
	if earlier != nil && !fold.DidNotRun(earlier) {
		return earlier
	}
	return later
}

func accountOf(c fold.Caller) string {
	if c.Account != "" {
		return c.Account
	}
	return c.Team
}
