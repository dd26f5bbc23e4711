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
	"plantainfold.example/fold/core"
	"plantainfold.example/fold/drive"
	"plantainfold.example/fold/front"
	"plantainfold.example/fold/guard"
	"plantainfold.example/fold/peer"
	"plantainfold.example/fold/telem"
)

// Parts are the platform's services.
type Parts struct {
	// Table stores the durable state.
	Table fold.Table
	// Log reads the changes of the table.
	Log fold.ChangeFeed
	// Rules reads the declared configuration.
	Rules fold.RulesSource
	// Roster lists the hosts.
	Roster fold.Roster
	// Runner sends orders to hosts.
	Runner fold.Runner
	// HostConns returns the connections of the Runner, for metrics. It may be nil.
	HostConns func() fold.ConnStats
	// Adviser approves placements.
	Adviser fold.Adviser
	// Callers returns the handler of callers' requests. The handler reads bodies with the decoder, and calls seen with the status
	// and the duration of each request.
	Callers func(f *front.Front, bodies fold.BodyDecoder, log hclog.Logger, seen func(call string, status int, took time.Duration)) http.Handler
}

const (
	// maxContactAge is how long an entry without contact to the table still reports that it is ready. The load balancer
	// needs two failed probes, one second apart, to stop using an entry.
	maxContactAge = 1500 * time.Millisecond
	// noticeTime is how long a stopping entry still accepts connections, until the load balancer has stopped using it.
	noticeTime = 2300 * time.Millisecond
	// graceReserve is the part of the grace period that is reserved for the exit of the process.
	graceReserve = 500 * time.Millisecond
	// headerTimeout bounds the reading of a request's header.
	headerTimeout = 3 * time.Second
	// idleTimeout bounds how long an unused connection of a caller stays open.
	idleTimeout = 15 * time.Second
	// maxHeaderBytes bounds the header of a caller's request.
	maxHeaderBytes = 16 << 10
)

// Node is an entry.
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
	// invited wakes the entry when the owner invites it to take over.
	invited chan struct{}
	// ownerBackoff suspends calls to an owner that did not answer.
	ownerBackoff ownerBackoff
	// explaining is true while this entry answers an explainCall.
	explaining atomic.Bool

	mu sync.Mutex
	// driver runs the pool while this entry owns it; otherwise it is nil.
	driver *drive.Driver
	// ownerRow is the last known state of the owner's row.
	ownerRow ownerRowState
	// invitation is the epoch whose owner asked this entry to take over, or 0.
	invitation int64
	// closedEpoch is the last epoch whose announcements this entry refuses, because an entry takes over from its owner.
	closedEpoch int64
	// attemptedEpoch is the epoch in which this entry tries to own the pool, or 0.
	attemptedEpoch int64
	// announcement is the last announcement that this entry has recorded.
	announcement announcement
	// relaySession is the current relay session of this entry, or the last one.
	relaySession relaySession
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
	parts.Table = newObservedTable(parts.Table, clock, log)
	n := &Node{invited: make(chan struct{}, 1), settings: s, parts: parts, clock: clock, log: log, incarnation: uuid.NewString(), telemetry: telemetry, meter: m}
	if err := exportSpeeds(telemetry, n.speeds); err != nil {
		return nil, err
	}
	if parts.HostConns != nil {
		if err := exportHostConns(telemetry, parts.HostConns); err != nil {
			return nil, err
		}
	}
	if s.PastUse != nil {
		if err := exportPastUse(telemetry, n.pastUse); err != nil {
			return nil, err
		}
	}
	n.rules = front.NewRules(parts.Rules, clock, log, n.setDriverRules)
	n.rules.SetFallback(n.fetchSnapshot)
	n.front = front.New(parts.Table, n.rules, parts.Rules, clock, log, n.waiting, n.owner, s.MaxRow())
	n.peers = &peers{
		name: s.Name, table: parts.Table, adviser: parts.Adviser, clock: clock, log: log.Named("peers"), lastContact: make(map[string]fold.Instant),
		near: ms(s.Near),
		self: registration{Address: s.Peers, Incarnation: n.incarnation, Strength: s.Strength(), Domain: s.Domain, RelayCapacity: s.RelayCapacity()},
	}
	return n, nil
}

// speeds returns a summary of the speeds of the hosts, or the zero value while this entry does not own the pool.
func (n *Node) speeds() core.SpeedSummary {
	if d := n.currentDriver(); d != nil {
		return d.Speeds()
	}
	return core.SpeedSummary{}
}

// pastUse returns the past use of at most limit teams while this entry owns the pool.
func (n *Node) pastUse(limit int) []core.TeamUse {
	driver, err := n.loadedDriver()
	if err != nil {
		return nil
	}
	return driver.PastUse(limit)
}

// Traffic adds a call and the bytes that it sent and received to the metrics.
func (n *Node) Traffic(purpose string, sent, received int) {
	n.meter.traffic(purpose, sent, received)
}

// Run serves until ctx ends, then hands over the pool if the entry owns it and finishes the running requests.
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
	failed := make(chan error, 3)
	callers, err := n.serveCallers(ctx, run, failed)
	if err != nil {
		return err
	}
	ready := &http.Server{Handler: http.HandlerFunc(n.ready), ReadHeaderTimeout: headerTimeout}
	if err := serve(ctx, ready, n.settings.Ready, failed); err != nil {
		return err
	}
	run(n.rules.Run)
	run(n.servePeers)
	ownCtx, releasePool := context.WithCancel(work)
	handedOver := make(chan struct{})
	go func() {
		defer close(handedOver)
		n.ownLoop(ownCtx)
	}()
	n.log.Info("The entry serves callers.", "callers", n.settings.Callers, "domain", n.settings.Domain, "incarnation", n.incarnation)
	select {
	case err = <-failed:
	case <-ctx.Done():
	}
	end := time.Now().Add(ms(n.settings.Grace) - graceReserve)
	n.shutDown(releasePool, handedOver, callers, end)
	_ = ready.Close()
	stop()
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		working.Wait()
	}()
	if !waitUntil(stopped, end) {
		n.log.Warn("The entry stopped before all background work had ended.")
		return err
	}
	n.log.Info("The entry has stopped.")
	return err
}

// waitUntil waits until done is closed and returns true, or returns false at the time end.
func waitUntil(done <-chan struct{}, end time.Time) bool {
	select {
	case <-done:
		return true
	case <-time.After(time.Until(end)):
		return false
	}
}

// serveCallers starts the server for callers, with limits if the settings state the memory or the descriptors of the process.
func (n *Node) serveCallers(ctx context.Context, run func(func(context.Context)), failed chan<- error) (*http.Server, error) {
	server := &http.Server{ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes}
	limits := guard.NewLimits(n.settings.Memory, n.settings.Fds)
	if limits == (guard.Limits{}) {
		server.Handler = n.closeConnections(n.parts.Callers(n.front, guard.Unlimited{}, n.log, n.meter.call))
		return server, serve(ctx, server, n.settings.Callers, failed)
	}
	gate := guard.New(limits, n.clock, n.log, n.meter.closed)
	server.Handler = n.closeConnections(n.parts.Callers(n.front, gate, n.log, n.meter.call))
	gate.Guard(server)
	listener, err := gate.Listen(ctx, n.settings.Callers)
	if err != nil {
		return nil, fold.Unavailable.Wrap(err, "listen at %s", n.settings.Callers)
	}
	serveOn(listener, server, failed)
	run(gate.Run)
	return server, nil
}

// serve listens at the address and serves in the background. A later failure of the server is sent to failed.
func serve(ctx context.Context, s *http.Server, address string, failed chan<- error) error {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address)
	if err != nil {
		return fold.Unavailable.Wrap(err, "listen at %s", address)
	}
	serveOn(listener, s, failed)
	return nil
}

// serveOn serves in the background. A later failure of the server is sent to failed.
func serveOn(listener net.Listener, s *http.Server, failed chan<- error) {
	go func() {
		if err := s.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			failed <- fold.Unavailable.Wrap(err, "serve %s", listener.Addr())
		}
	}()
}

// shutDown makes the balancer probe fail, hands over the pool, finishes the running requests and removes the entry's
// registration. It returns at the given end even if some of this is not complete.
func (n *Node) shutDown(releasePool context.CancelFunc, handedOver <-chan struct{}, callers *http.Server, end time.Time) {
	n.leaving.Store(true)
	n.log.Info("The entry is stopping.")
	releasePool()
	time.Sleep(min(noticeTime, time.Until(end)))
	finish, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	if err := callers.Shutdown(finish); err != nil {
		n.log.Warn("Requests of callers were still running at the end of the grace period.", "error", err)
	}
	if !waitUntil(handedOver, end) {
		n.log.Warn("The pool was not handed over before the end of the grace period.")
	}
	if err := n.peers.unregister(finish); err != nil {
		n.log.Debug("Could not remove the registration of this entry.", "error", err)
	}
}

// closeConnections closes callers' connections after each answer while the entry is leaving or has no contact to the table,
// so that callers connect to another entry.
func (n *Node) closeConnections(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if n.leaving.Load() || !n.inContact() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// ready answers the probe of the load balancer.
func (n *Node) ready(w http.ResponseWriter, _ *http.Request) {
	if n.leaving.Load() || !n.inContact() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// inContact reports whether the entry can serve: it knows the configuration and has reached the table recently.
func (n *Node) inContact() bool {
	index, _, age := n.rules.Current()
	return index != nil && age < maxContactAge
}

// servePeers registers the entry and serves the other entries until ctx ends.
func (n *Node) servePeers(ctx context.Context) {
	key := retryStart(ctx, n, func() ([]byte, error) { return secret(ctx, n.parts.Table) })
	if ctx.Err() != nil {
		return
	}
	transport := peer.New(n.settings.Name, n.incarnation, key, n.log)
	transport.ObserveCalls(n.Traffic)
	n.registerAdviceCalls(transport)
	n.registerOwnerCalls(transport)
	n.registerRelayCalls(transport)
	n.peers.setTransport(transport)
	mux := http.NewServeMux()
	mux.Handle(peer.Path, transport)
	mux.Handle("/metrics", n.telemetry.Handler())
	mux.HandleFunc("GET "+explainPath, n.handleExplain)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout}
	failed := make(chan error, 1)
	if err := serve(ctx, server, n.settings.Peers, failed); err != nil {
		n.log.Error("Cannot listen for other entries.", "error", err)
		return
	}
	n.peers.measureTableTime(ctx)
	retryStart(ctx, n, func() (struct{}, error) { return struct{}{}, n.peers.register(ctx) })
	select {
	case <-ctx.Done():
	case err := <-failed:
		n.log.Error("The server for other entries failed.", "error", err)
	}
	n.closeRelay()
	_ = server.Close()
	_ = transport.Close()
}

// retryStart calls fn until it succeeds or ctx ends.
func retryStart[Out any](ctx context.Context, n *Node, fn func() (Out, error)) Out {
	for {
		out, err := fn()
		if err == nil || ctx.Err() != nil {
			return out
		}
		n.log.Debug("A call to the table failed during startup; retrying.", "error", err)
		select {
		case <-ctx.Done():
		case <-n.clock.After(startRetryDelay):
		}
	}
}
