package remote

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"plantainfold.example/fold"
)

const (
	// callTimeout bounds one request, including the time to read the response.
	callTimeout = 30 * time.Second
	// maxReplyBytes bounds the body that is read from a response.
	maxReplyBytes = 32 << 20
	// maxErrorTextBytes bounds the part of an unexpected response that an error quotes.
	maxErrorTextBytes = 200
)

// Client calls the API of one entry, or of a load balancer in front of the entries, with an API key.
type Client struct {
	base   string
	key    string
	sender Sender
}

// Sender sends HTTP requests to an entry.
type Sender interface {
	// Do sends a request and returns the response. The caller closes the body.
	Do(r *http.Request) (*http.Response, error)
}

// Option configures a Client.
type Option func(*Client)

// WithSender replaces the default HTTP client.
func WithSender(s Sender) Option {
	return func(c *Client) { c.sender = s }
}

// New returns a client for the entry at a base URL. The key may be empty.
func New(base, key string, opts ...Option) *Client {
	c := &Client{base: strings.TrimSuffix(base, "/"), key: key, sender: &http.Client{Timeout: callTimeout}}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// Ready returns nil if the entry reports that it is ready.
func (c *Client) Ready(ctx context.Context) error {
	_, err := call[struct{}](ctx, c, http.MethodGet, "/readyz", nil)
	return err
}

// Status returns the status of the entry and its view of the cell.
func (c *Client) Status(ctx context.Context) (fold.Status, error) {
	return call[fold.Status](ctx, c, http.MethodGet, "/v1/status", nil)
}

// Submit submits a job.
func (c *Client) Submit(ctx context.Context, j fold.Job) (fold.JobStatus, error) {
	return call[fold.JobStatus](ctx, c, http.MethodPost, "/v1/jobs", fold.SubmissionOf(j))
}

// Job returns the status of a job.
func (c *Client) Job(ctx context.Context, id string) (fold.JobStatus, error) {
	return call[fold.JobStatus](ctx, c, http.MethodGet, "/v1/jobs/"+url.PathEscape(id), nil)
}

// Explain returns the reason why a job is in its state.
func (c *Client) Explain(ctx context.Context, id string) (fold.Explanation, error) {
	return call[fold.Explanation](ctx, c, http.MethodGet, "/v1/jobs/"+url.PathEscape(id)+"/explain", nil)
}

// Cancel cancels a job gracefully.
func (c *Client) Cancel(ctx context.Context, id string) (fold.JobStatus, error) {
	return call[fold.JobStatus](ctx, c, http.MethodDelete, "/v1/jobs/"+url.PathEscape(id), nil)
}

// IssueKey issues an API key.
func (c *Client) IssueKey(ctx context.Context, g fold.KeyGrant) (fold.IssuedKey, error) {
	return call[fold.IssuedKey](ctx, c, http.MethodPost, "/v1/keys", g)
}

// RevokeKey revokes an API key.
func (c *Client) RevokeKey(ctx context.Context, id string) (fold.Revision, error) {
	return call[fold.Revision](ctx, c, http.MethodDelete, "/v1/keys/"+url.PathEscape(id), nil)
}

// Keys lists the API keys without their secrets.
func (c *Client) Keys(ctx context.Context) ([]fold.KeyGrant, error) {
	return call[[]fold.KeyGrant](ctx, c, http.MethodGet, "/v1/keys", nil)
}

// ApplyManifest replaces the manifest if the manifest still has the given revision.
func (c *Client) ApplyManifest(ctx context.Context, revision int64, manifest []byte) (fold.Revision, error) {
	header := http.Header{"If-Match": {strconv.FormatInt(revision, 10)}}
	got, err := c.send(ctx, http.MethodPut, "/v1/manifest", header, manifest)
	if err != nil {
		return fold.Revision{}, err
	}
	return decode[fold.Revision](got)
}

// Manifest returns the current manifest and its revision.
func (c *Client) Manifest(ctx context.Context) (int64, []byte, error) {
	got, err := c.send(ctx, http.MethodGet, "/v1/manifest", nil, nil)
	if err != nil {
		return 0, nil, err
	}
	if got.status != http.StatusOK {
		return 0, nil, got.refusal()
	}
	text, err := strconv.Unquote(got.header.Get("ETag"))
	if err != nil {
		return 0, nil, fold.Unknown.Wrap(err, "parse ETag header as a revision")
	}
	revision, err := strconv.ParseInt(text, 10, 64)
	return revision, got.body, err
}

// Serve sends a synchronous request to a queue.
func (c *Client) Serve(ctx context.Context, queue string, r fold.Request) (fold.Reply, error) {
	header := http.Header{
		"Request-Id":   {r.ID},
		"Request-Time": {strconv.FormatInt(r.Issued.UnixMilli(), 10)},
		"Idempotent":   {strconv.FormatBool(r.Idempotent)},
		"Timeout-Ms":   {strconv.FormatInt(r.Timeout.Milliseconds(), 10)},
		"Urgent":       {strconv.FormatBool(r.Urgent)},
	}
	got, err := c.send(ctx, http.MethodPost, "/v1/queues/"+url.PathEscape(queue)+"/requests", header, r.Body)
	if err != nil {
		return fold.Reply{}, err
	}
	if got.header.Get("Run") != "yes" {
		return fold.Reply{}, got.refusal()
	}
	return fold.Reply{ID: got.header.Get("Request-Id"), Status: got.status, Body: got.body}, nil
}

func call[Out any](ctx context.Context, c *Client, method, path string, in any) (Out, error) {
	var out Out
	var body []byte
	if in != nil {
		encoded, err := json.Marshal(in)
		if err != nil {
			return out, fold.Invalid.Wrap(err, "encode request")
		}
		body = encoded
	}
	got, err := c.send(ctx, method, path, nil, body)
	if err != nil {
		return out, err
	}
	return decode[Out](got)
}

// response is an HTTP response whose body was read completely.
type response struct {
	status int
	header http.Header
	body   []byte
}

func decode[Out any](a response) (Out, error) {
	var out Out
	if a.status >= http.StatusBadRequest {
		return out, a.refusal()
	}
	if err := json.Unmarshal(a.body, &out); err != nil {
		return out, fold.Unknown.Wrap(err, "decode response body")
	}
	return out, nil
}

func (c *Client) send(ctx context.Context, method, path string, header http.Header, body []byte) (response, error) {
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return response{}, fold.Invalid.Wrap(err, "build request")
	}
	for name, values := range header {
		req.Header[name] = values
	}
	if c.key != "" {
		req.Header.Set("Authorization", "Bearer "+c.key)
	}
	resp, err := c.sender.Do(req)
	if err != nil {
		return response{}, fold.Unknown.Wrap(err, "%s %s", method, path)
	}
	defer func() { _ = resp.Body.Close() }()
	read, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes))
	if err != nil {
		return response{}, fold.Unknown.Wrap(err, "%s %s: read response body", method, path)
	}
	return response{status: resp.StatusCode, header: resp.Header, body: read}, nil
}

// refusal returns the error that the problem document in the body describes.
func (a response) refusal() error {
	var p struct {
		Title  string `json:"title"`
		Detail string `json:"detail"`
		Remedy string `json:"remedy"`
	}
	if err := json.Unmarshal(a.body, &p); err != nil || p.Title == "" {
		return fold.Unknown.New("response with status %d is not a problem document: %s", a.status, a.body[:min(len(a.body), maxErrorTextBytes)])
	}
	wire := fold.WireError{Kind: p.Title, Detail: p.Detail, Remedy: p.Remedy}
	return wire.Err()
}
