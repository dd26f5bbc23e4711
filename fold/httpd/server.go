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

// Limits of the listener.
const (
	headerTime    = 5 * time.Second
	bodyTime      = 30 * time.Second
	idleTime      = 2 * time.Minute
	maxHeader     = 32 << 10
	watchPeriod   = 250 * time.Millisecond
	maxWatch      = time.Hour
	maxUnfinished = 8192
)

// API answers callers and operators.
type API struct {
	commands fold.Commands
	queries  fold.Queries
	maxBody  int64
	log      hclog.Logger
	slots    chan struct{}
	// operations is nil for an API without operators' commands beyond manifest and keys.
	operations fold.Operations
	leaving    atomic.Bool
	left       chan struct{}
}

// Option changes an API.
type Option func(*API)

// WithOperations adds drains, events and history.
func WithOperations(o fold.Operations) Option {
	return func(a *API) { a.operations = o }
}

// New returns an API over the commands and queries of an entry; maxBody is in bytes.
func New(commands fold.Commands, queries fold.Queries, maxBody int64, log hclog.Logger, opts ...Option) *API {
	a := &API{
		commands: commands,
		queries:  queries,
		maxBody:  maxBody,
		log:      log.Named("http"),
		slots:    make(chan struct{}, maxUnfinished),
		left:     make(chan struct{}),
	}
	for _, opt := range opts {
		opt(a)
	}
	return a
}

// Leave makes the entry report that it is not ready, ends watches and asks callers to close their connections, so
// that no connection is reused while the listener closes.
func (a *API) Leave() {
	if a.leaving.CompareAndSwap(false, true) {
		close(a.left)
	}
}

// Unfinished returns how many requests are under way.
func (a *API) Unfinished() int {
	return len(a.slots)
}

// Handler returns the routes, with peers and metrics served by the given handlers.
func (a *API) Handler(peers, metrics http.Handler) http.Handler {
	mux := http.NewServeMux()
	a.callerRoutes(mux)
	a.operatorRoutes(mux)
	if a.operations != nil {
		a.operationRoutes(mux)
	}
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, struct{}{}) })
	mux.HandleFunc("GET /readyz", a.ready)
	mux.Handle("GET /metrics", metrics)
	mux.HandleFunc("GET /status", a.page)
	chain := negroni.New(a.recovery(), negroni.HandlerFunc(a.bound))
	chain.UseHandler(otelhttp.NewHandler(mux, "entry"))
	outer := http.NewServeMux()
	outer.Handle("GET /v1/peer", peers)
	outer.Handle("/", chain)
	return outer
}

// Listen opens a TCP listener.
func Listen(ctx context.Context, address string) (net.Listener, error) {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address)
	if err != nil {
		return nil, fold.Refuse(fold.Unavailable, "choose a free address for listen", "%v", err)
	}
	return listener, nil
}

func (a *API) recovery() negroni.Handler {
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

// bound limits the size of bodies and the number of requests under way.
func (a *API) bound(w http.ResponseWriter, r *http.Request, next http.HandlerFunc) {
	select {
	case a.slots <- struct{}{}:
		defer func() { <-a.slots }()
	default:
		writeProblem(w, fold.Refuse(fold.Overload, "retry later", "%d requests are under way", maxUnfinished))
		return
	}
	if a.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	r.Body = http.MaxBytesReader(w, r.Body, a.maxBody)
	next(w, r)
}

func (a *API) ready(w http.ResponseWriter, r *http.Request) {
	s := a.queries.Status(r.Context())
	if s.Leaving || a.leaving.Load() {
		writeProblem(w, fold.Refuse(fold.Unavailable, "send requests to another entry", "entry %s is leaving", s.Entry))
		return
	}
	if !s.Standing {
		writeProblem(w, fold.Refuse(fold.Unavailable, "send requests to another entry", "entry %s has no standing", s.Entry))
		return
	}
	writeJSON(w, http.StatusOK, s)
}
