package client

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"

	"plantainfold.example/fold"
)

// ConnsPerEndpoint is how many connections an entry opens to one endpoint; 16 entries share its 64.
const ConnsPerEndpoint = 4

// Endpoint is an endpoint over HTTP.
type Endpoint struct {
	base string
	http *http.Client
}

var _ fold.Endpoint = &Endpoint{}

// Endpoints connects to endpoints over one HTTP client.
type Endpoints struct {
	http *http.Client
}

var _ fold.Endpoints = &Endpoints{}

// NewEndpoints returns a connector that uses c.
func NewEndpoints(c *http.Client) *Endpoints {
	return &Endpoints{http: c}
}

// Endpoint returns the endpoint at a base URL.
func (e *Endpoints) Endpoint(address string) fold.Endpoint {
	return &Endpoint{base: address, http: e.http}
}

// Serve runs one request; only an explicit refusal of the endpoint proves that it did not run.
func (e *Endpoint) Serve(ctx context.Context, r fold.Request) (fold.Reply, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, e.base+"/v1/serve/"+r.Service, bytes.NewReader(r.Body))
	if err != nil {
		return fold.Reply{}, fold.Invalid.Wrap(err, "build request")
	}
	req.Header.Set("Request-Id", r.ID)
	req.Header.Set("Timeout-Ms", strconv.FormatInt(r.Timeout.Milliseconds(), 10))
	// Without GetBody the transport cannot send the request a second time on its own.
	req.GetBody = nil
	resp, err := e.http.Do(req)
	if err != nil {
		return fold.Reply{}, fold.Unknown.Wrap(err, "endpoint %s", e.base)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxReply))
	if err != nil {
		return fold.Reply{}, fold.Unknown.Wrap(err, "endpoint %s: read answer", e.base)
	}
	if resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get("Run") == "no" {
		return fold.Reply{}, fold.Refuse(fold.Overload, "use another endpoint", "endpoint %s refused", e.base)
	}
	if resp.Header.Get("Request-Id") != r.ID {
		return fold.Reply{}, fold.Unknown.New("endpoint %s answered another request", e.base)
	}
	reply := fold.Reply{ID: r.ID, Status: resp.StatusCode, Body: body}
	_, _ = fmt.Sscanf(resp.Header.Get("Load"), "%d/%d", &reply.Running, &reply.Slots)
	return reply, nil
}
