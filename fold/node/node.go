package node

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/hashicorp/go-hclog"

	"plantainfold.example/fold"
	"plantainfold.example/fold/drive"
	"plantainfold.example/fold/front"
	"plantainfold.example/fold/peer"
	"plantainfold.example/fold/telem"
)

// Parts are the platform's services.
type Parts struct {
	Table   fold.Table
	Log     fold.ChangeFeed
	Rules   fold.RulesSource
	Roster  fold.Roster
	Runner  fold.Runner
	Adviser fold.Adviser
	// Callers makes the handler of callers' requests; seen takes the time and the status of each answer.
	Callers func(f *front.Front, log hclog.Logger, seen func(call string, status int, took time.Duration)) http.Handler
}

const (
	// contactOld is how long an entry without contact to the table still reports that it is ready; the balancer takes two
	// probes, a second apart, to notice.
	contactOld = 1500 * time.Millisecond
	// noticeTime is how long a stopping entry goes on accepting connections while the balancer learns that it leaves.
	noticeTime = 2300 * time.Millisecond
	// graceReserve is kept for the end of the process.
	graceReserve = 500 * time.Millisecond
	// headerTime bounds the reading of a request's header, idleTime how long a caller's connection is kept unused.
	headerTime = 3 * time.Second
	idleTime   = 15 * time.Second
	maxHeader  = 16 << 10
)

// Node is one entry.
type Node struct {
	settings    Settings
	parts       Parts
	clock       fold.Clock
	log         hclog.Logger
	incarnation string
	rules       *front.Rules
	front       *front.Front
	peers       *peers
	telemetry   *telem.Telemetry
	meter       *meter
	leaving     atomic.Bool
	// invitedNow wakes the entry when it is asked to take over.
	invitedNow chan struct{}
	ownerUp    rest

	mu     sync.Mutex
	driver *drive.Driver
	seat   seat
	// invitation is the epoch whose owner asked this entry to take over.
	invitation int64
	// taking is the last epoch from which this entry has begun to take over.
	taking int64
	// attempt is the epoch in which this entry tries to own the pool, or 0.
	attempt int64
	// announcement is the last one of an owner.
	announcement announcement
	// carrying is the last session in which this entry looks after hosts for the owner.
	carrying carrying
}

// New returns an entry; Run starts it.
func New(s Settings, parts Parts, clock fold.Clock, log hclog.Logger) (*Node, error) {
	telemetry, err := telem.New(nil)
	if err != nil {
		return nil, err
	}
	m, err := newMeter(telemetry)
	if err != nil {
		return nil, err
	}
	n := &Node{invitedNow: make(chan struct{}, 1), settings: s, parts: parts, clock: clock, log: log, incarnation: uuid.NewString(), telemetry: telemetry, meter: m}
	n.rules = front.NewRules(parts.Rules, clock, log, n.ruled)
	n.rules.SetFallback(n.askNews)
	n.front = front.New(parts.Table, n.rules, parts.Rules, clock, log, n.waiting, n.owner)
	n.peers = &peers{
		name: s.Name, table: parts.Table, adviser: parts.Adviser, clock: clock, log: log.Named("peers"), heard: make(map[string]fold.Instant),
		own: registration{Address: s.Peers, Incarnation: n.incarnation, Strength: s.Strength(), Domain: s.Domain, Room: s.RelayCapacity()},
	}
	return n, nil
}

// Traffic counts what a call has carried, in bytes, for the metrics.
func (n *Node) Traffic(purpose string, sent, received int) {
	n.meter.traffic(purpose, sent, received)
}

// Run serves until ctx ends, then hands over what the entry owns and finishes the requests under way.
func (n *Node) Run(ctx context.Context) error {
	work, stop := context.WithCancel(context.Background())
	defer stop()
	var working sync.WaitGroup
	run := func(fn func(context.Context)) {
		working.Add(1)
		go func() {
			defer working.Done()
			fn(work)
		}()
	}
	callers := &http.Server{Handler: n.closing(n.parts.Callers(n.front, n.log, n.meter.call)), ReadHeaderTimeout: headerTime, IdleTimeout: idleTime, MaxHeaderBytes: maxHeader}
	ready := &http.Server{Handler: http.HandlerFunc(n.ready), ReadHeaderTimeout: headerTime}
	failed := make(chan error, 3)
	for _, s := range []struct {
		server  *http.Server
		address string
	}{{callers, n.settings.Callers}, {ready, n.settings.Ready}} {
		if err := serve(ctx, s.server, s.address, failed); err != nil {
			return err
		}
	}
	run(n.rules.Run)
	run(n.meet)
	owning, release := context.WithCancel(work)
	owned := make(chan struct{})
	go func() {
		defer close(owned)
		n.own(owning)
	}()
	n.log.Info("Serving.", "callers", n.settings.Callers, "domain", n.settings.Domain, "incarnation", n.incarnation)
	var err error
	select {
	case err = <-failed:
	case <-ctx.Done():
	}
	end := time.Now().Add(ms(n.settings.Grace) - graceReserve)
	n.leave(release, owned, callers, end)
	_ = ready.Close()
	stop()
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		working.Wait()
	}()
	if !waitUntil(stopped, end) {
		n.log.Warn("Stopped before all work had ended.")
		return err
	}
	n.log.Info("Stopped.")
	return err
}

// waitUntil waits for done and reports false if that takes longer than until end.
func waitUntil(done <-chan struct{}, end time.Time) bool {
	select {
	case <-done:
		return true
	case <-time.After(time.Until(end)):
		return false
	}
}

// serve listens at the address and serves in the background.
func serve(ctx context.Context, s *http.Server, address string, failed chan<- error) error {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address)
	if err != nil {
		return fold.Unavailable.Wrap(err, "listen at %s", address)
	}
	go func() {
		if err := s.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			failed <- fold.Unavailable.Wrap(err, "serve %s", address)
		}
	}()
	return nil
}

// leave tells the balancer, hands the pool over and finishes the requests under way before the given end.
func (n *Node) leave(release context.CancelFunc, owned <-chan struct{}, callers *http.Server, end time.Time) {
	n.leaving.Store(true)
	n.log.Info("Stopping.")
	release()
	time.Sleep(min(noticeTime, time.Until(end)))
	finish, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	if err := callers.Shutdown(finish); err != nil {
		n.log.Warn("Requests were still under way at the end.", "error", err)
	}
	if !waitUntil(owned, end) {
		n.log.Warn("The pool was not handed over in time.")
	}
	if err := n.peers.leave(finish); err != nil {
		n.log.Debug("Could not remove the row of the entry.", "error", err)
	}
}

// closing asks callers of a stopping entry to open their next connection elsewhere.
func (n *Node) closing(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if n.leaving.Load() || !n.inContact() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// ready answers the balancer's probe.
func (n *Node) ready(w http.ResponseWriter, _ *http.Request) {
	if n.leaving.Load() || !n.inContact() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// inContact reports whether the entry can serve: it knows the configuration and reached the table lately.
func (n *Node) inContact() bool {
	b, _, age := n.rules.Current()
	return b != nil && age < contactOld
}

// meet registers the entry and serves the others.
func (n *Node) meet(ctx context.Context) {
	key := retryStart(ctx, n, func() ([]byte, error) { return secret(ctx, n.parts.Table) })
	if ctx.Err() != nil {
		return
	}
	node := peer.New(n.settings.Name, n.incarnation, key, n.log)
	node.ObserveCalls(n.Traffic)
	peer.Handle(node, adviseCall, func(ctx context.Context, _ string, q advising) (fold.Advice, error) {
		return n.parts.Adviser.Advise(ctx, q.Step, q.Hosts)
	})
	n.handleOwner(node)
	n.handleRelays(node)
	n.peers.setNode(node)
	mux := http.NewServeMux()
	mux.Handle(peer.Path, node)
	mux.Handle("/metrics", n.telemetry.Handler())
	server := &http.Server{Handler: mux, ReadHeaderTimeout: headerTime}
	failed := make(chan error, 1)
	if err := serve(ctx, server, n.settings.Peers, failed); err != nil {
		n.log.Error("Cannot serve other entries.", "error", err)
		return
	}
	retryStart(ctx, n, func() (struct{}, error) { return struct{}{}, n.peers.register(ctx) })
	select {
	case <-ctx.Done():
	case err := <-failed:
		n.log.Error("Stopped serving other entries.", "error", err)
	}
	n.stopCarrying()
	_ = server.Close()
	_ = node.Close()
}

// retryStart calls fn until it succeeds or ctx ends.
func retryStart[Out any](ctx context.Context, n *Node, fn func() (Out, error)) Out {
	for {
		out, err := fn()
		if err == nil || ctx.Err() != nil {
			return out
		}
		n.log.Debug("The table does not answer yet.", "error", err)
		select {
		case <-ctx.Done():
		case <-n.clock.After(startPause):
		}
	}
}
