package httpd

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/urfave/negroni/v3"
	"go.opentelemetry.io/contrib/instrumentation/net/http/otelhttp"

	"plantainfold.example/fold"
)

const (
	// headerTimeout bounds the time in which the headers of a request must arrive.
	headerTimeout = 5 * time.Second
	// bodyTimeout bounds the time in which a whole request must arrive.
	bodyTimeout = 30 * time.Second
	// idleTimeout is the time after which an idle connection is closed.
	idleTimeout = 2 * time.Minute
	// maxHeaderBytes bounds the size of the request headers, in bytes.
	maxHeaderBytes = 32 << 10
	// watchPeriod is the interval at which a watch reads the status of its job.
	watchPeriod = 250 * time.Millisecond
	// maxWatchTime bounds the duration of a watch.
	maxWatchTime = time.Hour
	// maxRequests bounds the requests that are unfinished at the same time.
	maxRequests = 8192
)

// API answers the HTTP requests of callers and operators.
type API struct {
	commands fold.Commands
	queries  fold.Queries
	// maxBody bounds the size of a request body, in bytes.
	maxBody int64
	log     hclog.Logger
	// requestSlots holds one element for each unfinished request.
	requestSlots chan struct{}
	// operations is nil for an API without the routes of operationRoutes.
	operations fold.Operations
	// leaving is set once Leave has been called.
	leaving atomic.Bool
	// leaveSignal is closed by Leave.
	leaveSignal chan struct{}
}

// Option configures an API.
type Option func(*API)

// WithOperations adds the routes for drains, events, the history and the status of the cell.
func WithOperations(o fold.Operations) Option {
	return func(a *API) { a.operations = o }
}

// New returns the API of an entry with the commands and queries. It refuses request bodies above maxBody bytes.
func New(commands fold.Commands, queries fold.Queries, maxBody int64, log hclog.Logger, opts ...Option) *API {
	a := &API{
		commands:     commands,
		queries:      queries,
		maxBody:      maxBody,
		log:          log.Named("http"),
		requestSlots: make(chan struct{}, maxRequests),
		leaveSignal:  make(chan struct{}),
	}
	for _, opt := range opts {
		opt(a)
	}
	return a
}

// Leave makes readiness checks fail, ends all watches and asks clients to close their connections, so that no client
// sends a request on an old connection while the listener closes.
func (a *API) Leave() {
	if a.leaving.CompareAndSwap(false, true) {
		close(a.leaveSignal)
	}
}

// UnfinishedRequests returns the number of requests that have not been answered yet.
func (a *API) UnfinishedRequests() int {
	return len(a.requestSlots)
}

// Handler returns the handler of all routes. The route of peer connections is served by peers, past the limits on
// requests, and the route of metrics by metrics.
func (a *API) Handler(peers, metrics http.Handler) http.Handler {
	mux := http.NewServeMux()
	a.callerRoutes(mux)
	a.operatorRoutes(mux)
	if a.operations != nil {
		a.operationRoutes(mux)
	}
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, struct{}{}) })
	mux.HandleFunc("GET /readyz", a.readiness)
	mux.Handle("GET /metrics", metrics)
	mux.HandleFunc("GET /status", a.statusPage)
	chain := negroni.New(a.recoverPanics(), negroni.HandlerFunc(a.limitRequests))
	chain.UseHandler(otelhttp.NewHandler(mux, "entry"))
	outer := http.NewServeMux()
	outer.Handle("GET /v1/peer", peers)
	outer.Handle("/", chain)
	return outer
}

// Listen opens a TCP listener at an address.
func Listen(ctx context.Context, address string) (net.Listener, error) {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address)
	if err != nil {
		return nil, fold.Refuse(fold.Unavailable, "choose a free address for listen", "%v", err)
	}
	return listener, nil
}

// recoverPanics returns a middleware that logs a panic of a handler and answers with an unknown outcome.
func (a *API) recoverPanics() negroni.Handler {
	return negroni.HandlerFunc(func(w http.ResponseWriter, r *http.Request, next http.HandlerFunc) {
		defer func() {
			if v := recover(); v != nil {
				a.log.Error("A handler panicked.", "path", r.URL.Path, "panic", v)
				writeProblem(w, fold.Unknown.New("internal error"))
			}
		}()
		next(w, r)
	})
}

// limitRequests is a middleware that bounds the size of bodies and the number of unfinished requests.
func (a *API) limitRequests(w http.ResponseWriter, r *http.Request, next http.HandlerFunc) {
	select {
	case a.requestSlots <- struct{}{}:
		defer func() { <-a.requestSlots }()
	default:
		writeProblem(w, fold.Refuse(fold.Overload, "retry later", "the entry already handles %d requests", maxRequests))
		return
	}
	if a.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	r.Body = http.MaxBytesReader(w, r.Body, a.maxBody)
	next(w, r)
}

// readiness answers whether load balancers may send requests to the entry.
func (a *API) readiness(w http.ResponseWriter, r *http.Request) {
	s := a.queries.Status(r.Context())
	if s.Leaving || a.leaving.Load() {
		writeProblem(w, fold.Refuse(fold.Unavailable, "send requests to another entry", "entry %s is leaving", s.Entry))
		return
	}
	if !s.Standing {
		writeProblem(w, fold.Refuse(fold.Unavailable, "send requests to another entry", "entry %s has no standing", s.Entry))
		return
	}
	if !s.Current {
		writeProblem(w, fold.Refuse(fold.Unavailable, "send requests to another entry", "entry %s cannot confirm the configuration", s.Entry))
		return
	}
	writeJSON(w, http.StatusOK, s)
}
