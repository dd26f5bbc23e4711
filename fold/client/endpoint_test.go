package client_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"plantainfold.example/fold"
	"plantainfold.example/fold/client"
)

// serveAt sends one request to a handler that stands in for an endpoint.
func serveAt(t *testing.T, handler http.HandlerFunc, body string) (fold.Reply, error) {
	t.Helper()
	server := httptest.NewServer(handler)
	defer server.Close()
	endpoints := client.NewEndpoints()
	r := fold.Request{ID: "mine", Service: "planning", Timeout: time.Minute, Body: []byte(body)}
	return endpoints.Endpoint(server.URL).Serve(context.Background(), r)
}

// Guards against answers that reach another request than their own, and against a refusal of one request that is taken
// as proof that another did not run.
func TestAnswerBelongsToRequest(t *testing.T) {
	for _, c := range []struct {
		name   string
		id     string
		run    string
		status int
		ok     bool
		notRun bool
	}{
		{name: "own answer", id: "mine", status: http.StatusOK, ok: true},
		{name: "answer to another", id: "other", status: http.StatusOK},
		{name: "answer without id", status: http.StatusOK},
		{name: "own refusal", id: "mine", run: "no", status: http.StatusServiceUnavailable, notRun: true},
		{name: "refusal without id", run: "no", status: http.StatusServiceUnavailable, notRun: true},
		{name: "refusal of another", id: "other", run: "no", status: http.StatusServiceUnavailable},
		{name: "failure that does not prove not run", id: "mine", status: http.StatusServiceUnavailable, ok: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			reply, err := serveAt(t, func(w http.ResponseWriter, _ *http.Request) {
				if c.id != "" {
					w.Header().Set("Request-Id", c.id)
				}
				if c.run != "" {
					w.Header().Set("Run", c.run)
				}
				w.WriteHeader(c.status)
			}, "body")
			if (err == nil) != c.ok || fold.DidNotRun(err) != c.notRun {
				t.Errorf("reply %+v, error %v, not run %v; want ok %v, not run %v", reply, err, fold.DidNotRun(err), c.ok, c.notRun)
			}
		})
	}
}

// Guards against a redirect that makes the HTTP client send a request a second time.
func TestRedirectIsNotFollowed(t *testing.T) {
	for _, status := range []int{http.StatusSeeOther, http.StatusTemporaryRedirect} {
		var served atomic.Int64
		_, err := serveAt(t, func(w http.ResponseWriter, r *http.Request) {
			served.Add(1)
			w.Header().Set("Request-Id", "mine")
			http.Redirect(w, r, "/elsewhere", status)
		}, "")
		if n := served.Load(); n != 1 {
			t.Errorf("status %d: sent %d times, want 1 (error %v)", status, n, err)
		}
	}
}

// Guards against an answer that is cut to the size limit and passed on as whole.
func TestTooLongAnswerIsNotCut(t *testing.T) {
	chunk := []byte(strings.Repeat("x", 1<<20))
	reply, err := serveAt(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Request-Id", "mine")
		for range 33 {
			_, _ = w.Write(chunk)
		}
	}, "")
	if err == nil {
		t.Errorf("got %d bytes of %d without an error", len(reply.Body), 33*len(chunk))
	}
}

// Guards against a Timeout-Ms of 0, which an endpoint reads as no deadline.
func TestDeadlineIsCarried(t *testing.T) {
	for _, c := range []struct {
		left time.Duration
		want string
	}{{time.Minute, "60000"}, {1500 * time.Microsecond, "1"}, {300 * time.Microsecond, "1"}} {
		var got string
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			got = r.Header.Get("Timeout-Ms")
			w.Header().Set("Request-Id", "mine")
		}))
		endpoint := client.NewEndpoints().Endpoint(server.URL)
		_, err := endpoint.Serve(context.Background(), fold.Request{ID: "mine", Service: "planning", Timeout: c.left})
		server.Close()
		if err != nil || got != c.want {
			t.Errorf("%s left: Timeout-Ms %q, error %v; want %q", c.left, got, err, c.want)
		}
	}
}

// Guards against endpoints behind one host and port that share the connections meant for one of them.
func TestEachEndpointHasItsConnections(t *testing.T) {
	started := make(chan struct{}, 16)
	hold := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		started <- struct{}{}
		<-hold
		w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
	}))
	defer server.Close()
	endpoints := client.NewEndpoints()
	const count = 2 * client.ConnsPerEndpoint
	done := make(chan error, count)
	for n := range count {
		go func() {
			at := endpoints.Endpoint(server.URL + []string{"/one", "/two"}[n%2])
			_, err := at.Serve(context.Background(), fold.Request{ID: "mine", Service: "planning", Timeout: time.Minute})
			done <- err
		}()
	}
	// All requests must reach the server before any of them is answered.
	for range count {
		<-started
	}
	close(hold)
	for range count {
		if err := <-done; err != nil {
			t.Error(err)
		}
	}
}
