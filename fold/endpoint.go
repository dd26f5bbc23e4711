package fold

import (
	"context"
	"time"
)

// Request is one synchronous request to a service.
type Request struct {
	ID         string
	Service    string
	Account    string
	Idempotent bool
	// Urgent puts the request before others of its account.
	Urgent bool
	// Issued is when the caller first sent the request; retries repeat it.
	Issued time.Time
	// Timeout is the time left until the caller's deadline.
	Timeout time.Duration
	Body    []byte
}

// WithTimeout returns r with the time left replaced.
func (r Request) WithTimeout(d time.Duration) Request {
	r.Timeout = d
	return r
}

// Reply is an endpoint's answer to the request with the same ID.
type Reply struct {
	ID     string
	Status int
	Body   []byte
	// Running and Slots are the endpoint's load when it answered.
	Running int
	Slots   int
}

// Endpoint serves requests; an error with the NotRun trait proves that the request did not run.
type Endpoint interface {
	// Serve runs one request.
	Serve(ctx context.Context, r Request) (Reply, error)
}

// Endpoints connects to endpoints by address.
type Endpoints interface {
	// Endpoint returns the endpoint at an address.
	Endpoint(address string) Endpoint
}
