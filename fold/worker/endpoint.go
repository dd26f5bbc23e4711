package worker

import (
	"context"
	"sync"
	"time"

	"plantainfold.example/fold"
)

// Endpoint serves at most a fixed number of requests (slots) at a time.
type Endpoint struct {
	slots       int
	clock       fold.Clock
	serviceTime time.Duration

	mu      sync.Mutex
	running int
	leaving bool
	served  map[string]int
}

var _ fold.Endpoint = &Endpoint{}

// NewEndpoint returns an endpoint whose requests take the given service time.
func NewEndpoint(slots int, service time.Duration, clock fold.Clock) *Endpoint {
	return &Endpoint{slots: slots, serviceTime: service, clock: clock, served: make(map[string]int)}
}

// Serve runs one request if a slot is free and returns the request's body.
func (e *Endpoint) Serve(ctx context.Context, r fold.Request) (fold.Reply, error) {
	if err := e.acquireSlot(r); err != nil {
		return fold.Reply{}, err
	}
	select {
	case <-e.clock.After(e.serviceTime):
	case <-ctx.Done():
	}
	running := e.releaseSlot()
	return fold.Reply{ID: r.ID, Status: 200, Body: r.Body, Running: running, Slots: e.slots}, nil
}

// Leave makes the endpoint refuse new requests from now on.
func (e *Endpoint) Leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = true
}

// Served returns how often each request id ran.
func (e *Endpoint) Served() map[string]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	served := make(map[string]int, len(e.served))
	for id, n := range e.served {
		served[id] = n
	}
	return served
}

func (e *Endpoint) acquireSlot(r fold.Request) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.leaving {
		return fold.Refuse(fold.Unavailable, "use another endpoint", "endpoint is leaving")
	}
	if e.running >= e.slots {
		return fold.Refuse(fold.Overload, "use another endpoint", "all %d slots are busy", e.slots)
	}
	e.running++
	if len(e.served) < MaxRuns {
		e.served[r.ID]++
	}
	return nil
}

func (e *Endpoint) releaseSlot() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running--
	return e.running
}
