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

// Limits of calls to the platform.
const (
	CallTimeout  = time.Second
	maxReply     = 32 << 20
	maxErrorText = 512
	idlePerHost  = 4
)

// NewHTTP returns a client that records a span for each call and opens at most conns connections to an address.
func NewHTTP(conns int) *http.Client {
	transport := &http.Transport{
		MaxConnsPerHost:     conns,
		MaxIdleConnsPerHost: min(conns, idlePerHost),
		IdleConnTimeout:     time.Minute,
	}
	return &http.Client{Transport: otelhttp.NewTransport(transport)}
}

// call sends in as JSON and decodes the answer into an Out.
func call[Out any](ctx context.Context, c *http.Client, method, url string, in any) (Out, error) {
	var out Out
	body, err := send(ctx, c, method, url, in)
	if err != nil {
		return out, err
	}
	if err := json.Unmarshal(body, &out); err != nil {
		return out, fold.Unknown.Wrap(err, "%s %s: malformed answer", method, url)
	}
	return out, nil
}

func send(ctx context.Context, c *http.Client, method, url string, in any) ([]byte, error) {
	text, err := json.Marshal(in)
	if err != nil {
		return nil, fold.Invalid.Wrap(err, "encode request")
	}
	return sendRaw(ctx, c, method, url, text)
}

func sendRaw(ctx context.Context, c *http.Client, method, url string, text []byte) ([]byte, error) {
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

func statusError(status int, method, url string, body []byte) error {
	text := string(body[:min(len(body), maxErrorText)])
	switch status {
	case http.StatusNotFound:
		return fold.Refuse(fold.NotFound, "check the key", "%s", text)
	case http.StatusConflict:
		return conflictOn(body)
	default:
		return fold.Unknown.New("%s %s: status %d: %s", method, url, status, text)
	}
}
