package client

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"

	"plantainfold.example/fold"
)

const (
	// ConnsPerEndpoint is how many connections an entry opens to one endpoint; 16 entries share its 64.
	ConnsPerEndpoint = 4
	// maxLinks bounds the endpoints whose connections are kept; an entry serves fewer than this at the two-year size.
	maxLinks = 4096
)

// Endpoint is an endpoint over HTTP.
type Endpoint struct {
	base string
	http *http.Client
}

var _ fold.Endpoint = &Endpoint{}

// Endpoints connects to endpoints, each over its own ConnsPerEndpoint connections.
type Endpoints struct {
	mu    sync.Mutex
	links map[string]*Endpoint
}

var _ fold.Endpoints = &Endpoints{}

// NewEndpoints returns a connector without connections.
func NewEndpoints() *Endpoints {
	return &Endpoints{links: make(map[string]*Endpoint)}
}

// Endpoint returns the endpoint at a base URL.
func (e *Endpoints) Endpoint(address string) fold.Endpoint {
	e.mu.Lock()
	defer e.mu.Unlock()
	if link, ok := e.links[address]; ok {
		return link
	}
	if len(e.links) >= maxLinks {
		e.forget()
	}
	link := &Endpoint{base: address, http: endpointHTTP()}
	e.links[address] = link
	return link
}

// forget drops any one endpoint; its requests in flight end undisturbed.
func (e *Endpoints) forget() {
	for address, link := range e.links {
		link.http.CloseIdleConnections()
		delete(e.links, address)
		return
	}
}

// endpointHTTP returns a client that follows no redirect, because that would send a request a second time.
func endpointHTTP() *http.Client {
	c := NewHTTP(ConnsPerEndpoint)
	c.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return c
}

// Serve runs one request; only an explicit refusal of the endpoint proves that it did not run.
func (e *Endpoint) Serve(ctx context.Context, r fold.Request) (fold.Reply, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, e.base+"/v1/serve/"+r.Service, bytes.NewReader(r.Body))
	if err != nil {
		return fold.Reply{}, fold.Invalid.Wrap(err, "build request")
	}
	req.Header.Set("Request-Id", r.ID)
	// 0 would mean no deadline to an endpoint.
	req.Header.Set("Timeout-Ms", strconv.FormatInt(max(r.Timeout.Milliseconds(), 1), 10))
	// Without GetBody the transport cannot send the request a second time on its own.
	req.GetBody = nil
	resp, err := e.http.Do(req)
	if err != nil {
		return fold.Reply{}, fold.Unknown.Wrap(err, "endpoint %s", e.base)
	}
	defer func() { _ = resp.Body.Close() }()
	if err := e.check(resp, r.ID); err != nil {
		return fold.Reply{}, err
	}
	body, err := readWhole(resp.Body)
	if err != nil {
		return fold.Reply{}, fold.Unknown.Wrap(err, "endpoint %s: read answer", e.base)
	}
	reply := fold.Reply{ID: r.ID, Status: resp.StatusCode, Body: body}
	_, _ = fmt.Sscanf(resp.Header.Get("Load"), "%d/%d", &reply.Running, &reply.Slots)
	return reply, nil
}

// check returns an error unless the response is an answer to the request with the id.
func (e *Endpoint) check(resp *http.Response, id string) error {
	got := resp.Header.Get("Request-Id")
	refused := resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get("Run") == "no"
	if refused && (got == "" || got == id) {
		// The rest of a refusal is read so that its connection can be used again.
		_, _ = io.CopyN(io.Discard, resp.Body, maxErrorText)
		return fold.Refuse(fold.Overload, "use another endpoint", "endpoint %s refused", e.base)
	}
	if got != id {
		// The connection may carry further answers that are out of step; the unread body makes the transport close it.
		e.http.CloseIdleConnections()
		return fold.Unknown.New("endpoint %s answered another request", e.base)
	}
	return nil
}

var errTooLong = errors.New("answer exceeds " + strconv.Itoa(maxReply) + " bytes")

// readWhole reads an answer, or fails if it is longer than maxReply.
func readWhole(body io.Reader) ([]byte, error) {
	read, err := io.ReadAll(io.LimitReader(body, maxReply+1))
	if err == nil && len(read) > maxReply {
		err = errTooLong
	}
	return read, err
}
