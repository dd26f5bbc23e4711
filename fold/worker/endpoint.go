package worker

import (
	"context"
	"sync"
	"time"

	"plantainfold.example/fold"
)

// Endpoint serves requests in a fixed number of slots.
type Endpoint struct {
	slots   int
	clock   fold.Clock
	service time.Duration

	mu      sync.Mutex
	running int
	leaving bool
	served  map[string]int
}

var _ fold.Endpoint = &Endpoint{}

// NewEndpoint returns an endpoint whose requests take the given service time.
func NewEndpoint(slots int, service time.Duration, clock fold.Clock) *Endpoint {
	return &Endpoint{slots: slots, service: service, clock: clock, served: make(map[string]int)}
}

// Serve runs one request if a slot is free and echoes its body.
func (e *Endpoint) Serve(ctx context.Context, r fold.Request) (fold.Reply, error) {
	if err := e.enter(r); err != nil {
		return fold.Reply{}, err
	}
	select {
	case <-e.clock.After(e.service):
	case <-ctx.Done():
	}
	running := e.leave()
	return fold.Reply{ID: r.ID, Status: 200, Body: r.Body, Running: running, Slots: e.slots}, nil
}

// Leave makes the endpoint refuse new requests.
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

func (e *Endpoint) enter(r fold.Request) error {
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

func (e *Endpoint) leave() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running--
	return e.running
}
