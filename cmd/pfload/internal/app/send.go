package app

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
)

// outcome is the result of a request as its caller sees it.
type outcome uint8

const (
	outcomeUnsent outcome = iota
	outcomeAnswered
	// outcomeRefused means that the entry stated that the request did not run.
	outcomeRefused
	// outcomeUnknown means that the caller cannot tell whether the request ran.
	outcomeUnknown
	// outcomeWrong means that the answer does not belong to the request.
	outcomeWrong
)

// requestID returns the ID of a request, which contains its kind: "i" for idempotent and "o" for other requests.
func (g *generator) requestID(r request) string {
	kind := "o"
	if r.idempotent {
		kind = "i"
	}
	return g.idPrefix + kind + strconv.Itoa(r.number)
}

// requestBody returns a body that repeats the request ID, so that an answer to another request is detected.
func (g *generator) requestBody(id string) []byte {
	out := make([]byte, g.plan.BodyBytes)
	for n := 0; n < len(out); n += copy(out[n:], id+" ") {
		continue
	}
	return out
}

// send sends one request and waits for its outcome.
func (g *generator) send(ctx context.Context, r request) outcome {
	ctx, cancel := context.WithTimeout(ctx, g.plan.Timeout+responseGrace)
	defer cancel()
	id := g.requestID(r)
	body := g.requestBody(id)
	url := r.entry + "/v1/queues/" + g.plan.Queue + "/requests"
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return outcomeUnknown
	}
	// Without GetBody the transport cannot retry the request.
	req.GetBody = nil
	req.Header.Set("Authorization", "Bearer "+g.plan.accounts[r.account].key)
	req.Header.Set("Request-Id", id)
	req.Header.Set("Request-Time", strconv.FormatInt(r.due.UnixMilli(), 10))
	req.Header.Set("Idempotent", strconv.FormatBool(r.idempotent))
	req.Header.Set("Urgent", strconv.FormatBool(r.urgent))
	req.Header.Set("Timeout-Ms", strconv.FormatInt(g.plan.Timeout.Milliseconds(), 10))
	resp, err := g.client.Do(req)
	if err != nil {
		return outcomeUnknown
	}
	defer func() { _ = resp.Body.Close() }()
	answer, err := io.ReadAll(io.LimitReader(resp.Body, maxBodyBytes+1))
	if err != nil {
		return outcomeUnknown
	}
	return classifyResponse(resp, answer, id, body)
}

func classifyResponse(resp *http.Response, answer []byte, id string, body []byte) outcome {
	switch {
	case resp.Header.Get("Run") == "no":
		return outcomeRefused
	case resp.Header.Get("Run") != "yes":
		return outcomeUnknown
	case resp.StatusCode != http.StatusOK || resp.Header.Get("Request-Id") != id || !bytes.Equal(answer, body):
		return outcomeWrong
	default:
		return outcomeAnswered
	}
}
