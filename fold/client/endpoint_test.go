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

// serveAt sends one request to an endpoint that is simulated by the handler.
func serveAt(t *testing.T, handler http.HandlerFunc, body string) (fold.Reply, error) {
	t.Helper()
	server := httptest.NewServer(handler)
	defer server.Close()
	endpoints := client.NewEndpoints()
	r := fold.Request{ID: "mine", Service: "planning", Timeout: time.Minute, Body: []byte(body)}
	return endpoints.Endpoint(server.URL).Serve(context.Background(), r)
}

// Guards against an answer that the client accepts for another request, and against a refusal of one request that the
// client takes as proof that another request did not run. Both come from answers out of order on a connection.
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
		{name: "answer to another request", id: "other", status: http.StatusOK},
		{name: "answer without id", status: http.StatusOK},
		{name: "own refusal", id: "mine", run: "no", status: http.StatusServiceUnavailable, notRun: true},
		{name: "refusal without id", run: "no", status: http.StatusServiceUnavailable, notRun: true},
		{name: "refusal of another request", id: "other", run: "no", status: http.StatusServiceUnavailable},
		{name: "status 503 without a Run header", id: "mine", status: http.StatusServiceUnavailable, ok: true},
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

// Guards against an answer above the size limit that the client truncates and returns as complete.
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

// Guards against a Timeout-Ms of 0, which an endpoint reads as no deadline: timeouts below 1 ms must be rounded up.
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
			t.Errorf("timeout %s: Timeout-Ms %q, error %v; want %q", c.left, got, err, c.want)
		}
	}
}

// Guards against two endpoints behind one host and port that share the connections of one endpoint, because an HTTP client
// limits connections by host and port.
func TestEachEndpointHasItsConnections(t *testing.T) {
	started := make(chan struct{}, 16)
	release := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		started <- struct{}{}
		<-release
		w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
	}))
	defer server.Close()
	endpoints := client.NewEndpoints()
	const count = 2 * client.ConnsPerEndpoint
	done := make(chan error, count)
	for n := range count {
		go func() {
			endpoint := endpoints.Endpoint(server.URL + []string{"/one", "/two"}[n%2])
			_, err := endpoint.Serve(context.Background(), fold.Request{ID: "mine", Service: "planning", Timeout: time.Minute})
			done <- err
		}()
	}
	// The server answers only after all requests have arrived, so each needs a connection of its own.
	for range count {
		<-started
	}
	close(release)
	for range count {
		if err := <-done; err != nil {
			t.Error(err)
		}
	}
}

// Guards against an unknown outcome for a request that was never sent, because no connection could be opened.
func TestUnreachableEndpointDidNotRun(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	server.Close()
	_, err := client.NewEndpoints().Endpoint(server.URL).Serve(context.Background(), fold.Request{ID: "mine", Service: "planning", Timeout: time.Minute})
	if !fold.DidNotRun(err) {
		t.Errorf("got error %v, want one that proves that the request did not run", err)
	}
}

// Guards against a request that is reported as not run although it was sent: its connection broke before the answer.
func TestBrokenConnectionIsUnknown(t *testing.T) {
	_, err := serveAt(t, func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err == nil {
			_ = conn.Close()
		}
	}, "body")
	if err == nil || fold.DidNotRun(err) {
		t.Errorf("got error %v, want an unknown outcome", err)
	}
}
