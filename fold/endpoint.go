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
	// Urgent requests are served before other requests of the same account.
	Urgent bool
	// Issued is the time of the caller's first attempt. Retries carry the same time.
	Issued time.Time
	// Timeout is the remaining time until the caller's deadline.
	Timeout time.Duration
	Body    []byte
}

// WithTimeout returns a copy of r with another Timeout.
func (r Request) WithTimeout(d time.Duration) Request {
	r.Timeout = d
	return r
}

// Reply is an endpoint's answer to the request with the same ID.
type Reply struct {
	ID     string
	Status int
	Body   []byte
	// Running is the number of requests that the endpoint was serving when it answered.
	Running int
	// Slots is the number of requests that the endpoint can serve at the same time.
	Slots int
}

// Endpoint serves requests. An error with the NotRun trait proves that the request was not executed.
type Endpoint interface {
	// Serve runs one request.
	Serve(ctx context.Context, r Request) (Reply, error)
}

// Endpoints returns clients for endpoints.
type Endpoints interface {
	// Endpoint returns a client for the endpoint at the address.
	Endpoint(address string) Endpoint
}
