package app

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
)

// fate is what became of a request, as its caller sees it.
type fate uint8

const (
	fateUnsent fate = iota
	fateAnswered
	// fateRefused says that the entry answered that the request did not run.
	fateRefused
	fateUnknown
	// fateWrong says that the answer was not that to the request.
	fateWrong
)

// id returns the request id of a shot; it tells whether the request is idempotent.
func (l *load) id(s shot) string {
	kind := "o"
	if s.idempotent {
		kind = "i"
	}
	return l.prefix + kind + strconv.Itoa(s.number)
}

// body returns a body that names the request, so that an answer to another is noticed.
func (l *load) body(id string) []byte {
	out := make([]byte, l.plan.Body)
	for n := 0; n < len(out); n += copy(out[n:], id+" ") {
		continue
	}
	return out
}

// send sends one request and waits for its fate.
func (l *load) send(ctx context.Context, s shot) fate {
	ctx, cancel := context.WithTimeout(ctx, l.plan.Timeout+graceTime)
	defer cancel()
	id := l.id(s)
	body := l.body(id)
	url := s.entry + "/v1/queues/" + l.plan.Queue + "/requests"
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return fateUnknown
	}
	// Without GetBody the transport cannot send the request a second time on its own.
	req.GetBody = nil
	req.Header.Set("Authorization", "Bearer "+l.plan.accounts[s.account].key)
	req.Header.Set("Request-Id", id)
	req.Header.Set("Request-Time", strconv.FormatInt(s.due.UnixMilli(), 10))
	req.Header.Set("Idempotent", strconv.FormatBool(s.idempotent))
	req.Header.Set("Urgent", strconv.FormatBool(s.urgent))
	req.Header.Set("Timeout-Ms", strconv.FormatInt(l.plan.Timeout.Milliseconds(), 10))
	resp, err := l.client.Do(req)
	if err != nil {
		return fateUnknown
	}
	defer func() { _ = resp.Body.Close() }()
	got, err := io.ReadAll(io.LimitReader(resp.Body, maxBody+1))
	if err != nil {
		return fateUnknown
	}
	return fateOf(resp, got, id, body)
}

func fateOf(resp *http.Response, got []byte, id string, sent []byte) fate {
	switch {
	case resp.Header.Get("Run") == "no":
		return fateRefused
	case resp.Header.Get("Run") != "yes":
		return fateUnknown
	case resp.StatusCode != http.StatusOK || resp.Header.Get("Request-Id") != id || !bytes.Equal(got, sent):
		return fateWrong
	default:
		return fateAnswered
	}
}
