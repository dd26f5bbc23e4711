package client

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"go.opentelemetry.io/contrib/instrumentation/net/http/otelhttp"

	"plantainfold.example/fold"
)

const (
	// CallTimeout bounds the duration of a call to the platform or to a worker.
	CallTimeout = time.Second
	// maxReply bounds the size of an answer, in bytes.
	maxReply = 32 << 20
	// maxErrorText bounds the part of an answer that is quoted in an error, in bytes.
	maxErrorText = 512
	// idleConnsPerHost bounds the idle connections that a client keeps to an address.
	idleConnsPerHost = 4
)

// NewHTTP returns a client that records a trace span for each call and opens at most conns connections to an address.
func NewHTTP(conns int) *http.Client {
	transport := &http.Transport{
		MaxConnsPerHost:     conns,
		MaxIdleConnsPerHost: min(conns, idleConnsPerHost),
		IdleConnTimeout:     time.Minute,
	}
	return &http.Client{Transport: otelhttp.NewTransport(transport)}
}

// callJSON sends a request with in as JSON and decodes the JSON answer into an Out.
func callJSON[Out any](ctx context.Context, c *http.Client, method, url string, in any) (Out, error) {
	var out Out
	body, err := sendJSON(ctx, c, method, url, in)
	if err != nil {
		return out, err
	}
	if err := json.Unmarshal(body, &out); err != nil {
		return out, fold.Unknown.Wrap(err, "%s %s: malformed answer", method, url)
	}
	return out, nil
}

// sendJSON sends a request with in as JSON and returns the body of the answer.
func sendJSON(ctx context.Context, c *http.Client, method, url string, in any) ([]byte, error) {
	text, err := json.Marshal(in)
	if err != nil {
		return nil, fold.Invalid.Wrap(err, "encode request")
	}
	return sendBody(ctx, c, method, url, text)
}

// sendBody sends a request with the body and returns the body of the answer, or an error unless the status is 200.
func sendBody(ctx context.Context, c *http.Client, method, url string, text []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(text))
	if err != nil {
		return nil, fold.Invalid.Wrap(err, "build request")
	}
	resp, err := c.Do(req)
	if err != nil {
		return nil, fold.Unknown.Wrap(err, "%s %s", method, url)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxReply))
	if err != nil {
		return nil, fold.Unknown.Wrap(err, "%s %s: read answer", method, url)
	}
	if resp.StatusCode == http.StatusOK {
		return body, nil
	}
	return nil, statusError(resp.StatusCode, method, url, body)
}

// statusError returns the error for an answer with a status other than 200.
func statusError(status int, method, url string, body []byte) error {
	text := string(body[:min(len(body), maxErrorText)])
	switch status {
	case http.StatusNotFound:
		return fold.Refuse(fold.NotFound, "check the key", "%s", text)
	case http.StatusConflict:
		return conflictError(body)
	default:
		return fold.Unknown.New("%s %s: status %d: %s", method, url, status, text)
	}
}
