package client

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"

	"plantainfold.example/fold"
)

const (
	// ConnsPerEndpoint bounds the connections of an entry to one endpoint; 16 entries share the 64 of an endpoint.
	ConnsPerEndpoint = 4
	// maxKeptEndpoints bounds the endpoints whose connections an entry keeps. At the size planned for in two years, an entry
	// serves fewer endpoints than this.
	maxKeptEndpoints = 4096
)

// Endpoint sends requests to one endpoint over HTTP.
type Endpoint struct {
	base string
	http *http.Client
}

var _ fold.Endpoint = &Endpoint{}

// Endpoints returns the clients of endpoints. Each client has up to ConnsPerEndpoint connections of its own.
type Endpoints struct {
	mu sync.Mutex
	// endpoints has the clients by base URL.
	endpoints map[string]*Endpoint
}

var _ fold.Endpoints = &Endpoints{}

// NewEndpoints returns Endpoints without connections.
func NewEndpoints() *Endpoints {
	return &Endpoints{endpoints: make(map[string]*Endpoint)}
}

// Endpoint returns the client of the endpoint at a base URL.
func (e *Endpoints) Endpoint(address string) fold.Endpoint {
	e.mu.Lock()
	defer e.mu.Unlock()
	if endpoint, ok := e.endpoints[address]; ok {
		return endpoint
	}
	if len(e.endpoints) >= maxKeptEndpoints {
		e.evictOne()
	}
	endpoint := &Endpoint{base: address, http: endpointHTTP()}
	e.endpoints[address] = endpoint
	return endpoint
}

// evictOne drops the client of an arbitrary endpoint. Its requests in flight are not interrupted.
func (e *Endpoints) evictOne() {
	for address, link := range e.endpoints {
		link.http.CloseIdleConnections()
		delete(e.endpoints, address)
		return
	}
}

// endpointHTTP returns a client that follows no redirects, because a redirect would send a request a second time.
func endpointHTTP() *http.Client {
	c := NewHTTP(ConnsPerEndpoint)
	c.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return c
}

// Serve sends one request to the endpoint. The request certainly did not run if the endpoint could not be connected to or
// refused it explicitly; after any other error its outcome is unknown.
func (e *Endpoint) Serve(ctx context.Context, r fold.Request) (fold.Reply, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, e.base+"/v1/serve/"+r.Service, bytes.NewReader(r.Body))
	if err != nil {
		return fold.Reply{}, fold.Invalid.Wrap(err, "build request")
	}
	req.Header.Set("Request-Id", r.ID)
	// The value is at least 1, because an endpoint reads 0 as no deadline.
	req.Header.Set("Timeout-Ms", strconv.FormatInt(max(r.Timeout.Milliseconds(), 1), 10))
	// Without GetBody the transport cannot resend the request by itself.
	req.GetBody = nil
	resp, err := e.http.Do(req)
	if err != nil {
		return fold.Reply{}, e.sendError(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if err := e.checkResponse(resp, r.ID); err != nil {
		return fold.Reply{}, err
	}
	body, err := readBody(resp.Body)
	if err != nil {
		return fold.Reply{}, fold.Unknown.Wrap(err, "endpoint %s: read answer", e.base)
	}
	reply := fold.Reply{ID: r.ID, Status: resp.StatusCode, Body: body}
	_, _ = fmt.Sscanf(resp.Header.Get("Load"), "%d/%d", &reply.Running, &reply.Slots)
	return reply, nil
}

// sendError returns the error of a request without an answer. If the connection could not be opened, nothing was sent and
// the request certainly did not run.
func (e *Endpoint) sendError(err error) error {
	if op, ok := errors.AsType[*net.OpError](err); ok && op.Op == "dial" {
		return fold.Refuse(fold.Unavailable, "use another endpoint", "endpoint %s cannot be reached: %v", e.base, err)
	}
	return fold.Unknown.Wrap(err, "endpoint %s", e.base)
}

// checkResponse returns an error unless the response answers the request with the id.
func (e *Endpoint) checkResponse(resp *http.Response, id string) error {
	gotID := resp.Header.Get("Request-Id")
	refused := resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get("Run") == "no"
	if refused && (gotID == "" || gotID == id) {
		// The transport reuses a connection only if the body of its last answer was read.
		_, _ = io.CopyN(io.Discard, resp.Body, maxErrorText)
		return fold.Refuse(fold.Overload, "use another endpoint", "endpoint %s refused the request", e.base)
	}
	if gotID != id {
		// Further answers on the connection may belong to other requests, too. The transport closes the connection because
		// the body is not read.
		e.http.CloseIdleConnections()
		return fold.Unknown.New("endpoint %s answered without the id of the request", e.base)
	}
	return nil
}

// errReplyTooLong is the error for an answer above maxReply bytes.
var errReplyTooLong = errors.New("answer exceeds " + strconv.Itoa(maxReply) + " bytes")

// readBody reads the whole body of an answer, or fails if it is longer than maxReply.
func readBody(body io.Reader) ([]byte, error) {
	read, err := io.ReadAll(io.LimitReader(body, maxReply+1))
	if err == nil && len(read) > maxReply {
		err = errReplyTooLong
	}
	return read, err
}
