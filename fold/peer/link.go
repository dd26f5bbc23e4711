package peer

import (
	"context"
	"fmt"
	"io"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/propagation"

	"plantainfold.example/fold"
)

const (
	// maxConcurrentCalls is the maximum number of calls of a kind that are handled at the same time on one connection. Calls
	// of other kinds are not counted, because requests of callers must not make the peer refuse those of a relay.
	maxConcurrentCalls = 256
	// writeTimeout is the maximum time for writing one frame to a connection.
	writeTimeout = 2 * time.Second
	// silenceTick is the time between two checks of a connection with unanswered calls. Silence is counted in checks, because
	// a process that was paused itself finds the answers only after it goes on.
	silenceTick = 150 * time.Millisecond
	// pingTicks is the number of checks without a received byte after which the peer is pinged.
	pingTicks = 2
	// retireTicks is the number of checks without a received byte after which new calls use a new connection. It lets the
	// next event message of a relay session reach the owner before the permission of the session ends.
	retireTicks = 4
	// closeTicks is the number of checks without a received byte after which the connection is closed and its calls fail.
	closeTicks = 16
	// delayFactor is the multiple of the peer's usual delay by which retireTicks and closeTicks are extended, so that a peer
	// that answers slowly keeps its connection.
	delayFactor = 2
	// delayDecay is the share by which the usual delay approaches a shorter one.
	delayDecay = 0.125
	// traceHeader is the W3C trace context header.
	traceHeader = "traceparent"
)

// link is one authenticated connection. Both sides may send calls on it.
type link struct {
	node *Transport
	conn *websocket.Conn
	// peerName is the name of the peer. address is the address that was dialled, or empty for an accepted connection.
	peerName, address string
	// received reports whether bytes have arrived since the last check.
	received atomic.Bool
	// closed is closed when the connection is closed.
	closed chan struct{}
	once   sync.Once
	// slots holds, by kind, one element for each call that is being handled.
	slots map[string]chan struct{}

	mu sync.Mutex
	// lastID is the ID of the last call that was sent.
	lastID uint64
	// pending maps the ID of each unanswered call to the channel that receives its answer.
	pending map[uint64]chan frame
	// watched reports whether the connection is checked for silence.
	watched bool
	// silentTicks is the number of checks since bytes have arrived.
	silentTicks int
	// usualDelay is how long the peer took recently to answer a ping, or to open the connection.
	usualDelay time.Duration
	// retired is true if no new calls use the connection. If bytes arrive before it is replaced, it is used again; otherwise
	// it is closed after the last pending call.
	retired bool
}

func newLink(n *Transport, conn *websocket.Conn, peerName string) *link {
	slots := make(map[string]chan struct{}, len(n.handlers))
	for kind := range n.handlers {
		slots[kind] = make(chan struct{}, maxConcurrentCalls)
	}
	return &link{
		node:     n,
		conn:     conn,
		peerName: peerName,
		closed:   make(chan struct{}),
		slots:    slots,
		pending:  make(map[uint64]chan frame),
	}
}

// run reads frames until the connection is closed, then waits for the call handlers that it started.
func (l *link) run() {
	var handlers sync.WaitGroup
	defer handlers.Wait()
	defer l.close()
	for {
		var f frame
		if err := l.read(&f); err != nil {
			return
		}
		if f.Kind == "" {
			l.deliver(f)
			continue
		}
		fn, ok := l.node.handlers[f.Kind]
		if !ok {
			_ = l.send(frame{ID: f.ID, Error: fold.ToWire(fold.Refuse(fold.Invalid, "update the entry", "unknown call %q", f.Kind))})
			continue
		}
		slots := l.slots[f.Kind]
		select {
		case slots <- struct{}{}:
			handlers.Add(1)
			go func() {
				defer handlers.Done()
				defer func() { <-slots }()
				l.handle(f, fn)
			}()
		default:
			_ = l.send(frame{ID: f.ID, Error: fold.ToWire(fold.Refuse(fold.Overload, "retry later", "peer is already handling %d calls %q", maxConcurrentCalls, f.Kind))})
		}
	}
}

// read reads a frame and records that bytes arrive.
func (l *link) read(f *frame) error {
	_, r, err := l.conn.Reader(l.node.stop)
	if err != nil {
		return err
	}
	b, err := io.ReadAll(receivedReader{r, &l.received})
	if err != nil {
		return err
	}
	return cbor.Unmarshal(b, f)
}

// receivedReader records that bytes arrive.
type receivedReader struct {
	io.Reader
	received *atomic.Bool
}

// Read reads from the connection.
func (r receivedReader) Read(b []byte) (int, error) {
	n, err := r.Reader.Read(b)
	if n > 0 {
		r.received.Store(true)
	}
	return n, err
}

// call sends a call and waits for its answer.
func (l *link) call(ctx context.Context, kind string, body cbor.RawMessage) (cbor.RawMessage, error) {
	carrier := propagation.MapCarrier{}
	otel.GetTextMapPropagator().Inject(ctx, carrier)
	id, answer := l.addPending()
	defer l.removePending(id)
	// The deadline of a call cannot limit the write, because a frame that is cut off breaks the connection for all calls.
	failed := make(chan error, 1)
	go func() {
		if err := l.send(frame{ID: id, Kind: kind, Trace: carrier[traceHeader], Body: body}); err != nil {
			failed <- err
		}
	}()
	select {
	case err := <-failed:
		return nil, fold.Unknown.Wrap(err, "send %s to %s", kind, l.peerName)
	case f := <-answer:
		l.node.observe(kind, len(body), len(f.Body))
		return f.Body, f.Error.Err()
	case <-l.closed:
		return nil, fold.Unknown.New("connection to %s was closed before its answer to %s", l.peerName, kind)
	case <-ctx.Done():
		return nil, fold.Unknown.Wrap(ctx.Err(), "no answer from %s to %s", l.peerName, kind)
	}
}

func (l *link) handle(f frame, fn handler) {
	carrier := propagation.MapCarrier{traceHeader: f.Trace}
	ctx := otel.GetTextMapPropagator().Extract(l.node.stop, carrier)
	ctx, span := otel.Tracer("peer").Start(ctx, "peer "+f.Kind)
	defer span.End()
	out, err := l.invoke(ctx, f, fn)
	if err != nil {
		_ = l.send(frame{ID: f.ID, Error: fold.ToWire(err)})
		return
	}
	body, err := cbor.Marshal(out)
	if err != nil {
		_ = l.send(frame{ID: f.ID, Error: fold.ToWire(fold.Unknown.Wrap(err, "encode the answer"))})
		return
	}
	l.node.observe(f.Kind, len(body), len(f.Body))
	_ = l.send(frame{ID: f.ID, Body: body})
}

// invoke runs the handler of a call. If the handler panics, only this call fails.
func (l *link) invoke(ctx context.Context, f frame, fn handler) (out any, err error) {
	defer func() {
		if reason := recover(); reason != nil {
			l.node.log.Error("Recovered from a panic in the handler of a call.", "from", l.peerName, "call", f.Kind, "fault", fmt.Sprint(reason), "stack", string(debug.Stack()))
			out, err = nil, fold.Refuse(fold.Unknown, "see the log of the entry", "the handler of call %q panicked", f.Kind)
		}
	}()
	return fn(ctx, l.peerName, f.Body)
}

func (l *link) send(f frame) error {
	ctx, cancel := context.WithTimeout(l.node.stop, writeTimeout)
	defer cancel()
	return writeMessage(ctx, l.conn, f)
}

func (l *link) addPending() (uint64, chan frame) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastID++
	answer := make(chan frame, 1)
	l.pending[l.lastID] = answer
	if !l.watched {
		l.watched, l.silentTicks = true, 0
		l.received.Store(false)
		time.AfterFunc(silenceTick, l.checkSilence)
	}
	return l.lastID, answer
}

func (l *link) removePending(id uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.pending, id)
}

// checkSilence detects that bytes of the connection vanish without an error. It repeats until a call is answered and no other
// one is pending; a call that has ended without an answer is no reason to stop.
func (l *link) checkSilence() {
	if l.isClosed() {
		return
	}
	received := l.received.Swap(false)
	if received && l.isRetired() && !l.node.reinstate(l) && !l.hasPending() {
		l.close()
		return
	}
	l.mu.Lock()
	l.silentTicks++
	if received {
		l.silentTicks = 0
		l.watched = len(l.pending) > 0 || l.retired
	}
	ticks, watched := l.silentTicks, l.watched
	extra := int(delayFactor * l.usualDelay / silenceTick)
	l.mu.Unlock()
	if !watched {
		return
	}
	switch ticks {
	case pingTicks:
		go l.ping()
	case retireTicks + extra:
		l.retire()
	case closeTicks + extra:
		l.node.log.Warn("Closed a connection to a peer on which nothing arrives.", "peer", l.peerName, "after", (time.Duration(ticks) * silenceTick).String())
		l.close()
		return
	}
	time.AfterFunc(silenceTick, l.checkSilence)
}

// ping makes the peer send bytes, also if it takes long to answer a call.
func (l *link) ping() {
	ctx, cancel := context.WithTimeout(l.node.stop, closeTicks*silenceTick)
	defer cancel()
	began := time.Now()
	if err := l.conn.Ping(ctx); err == nil {
		l.recordDelay(time.Since(began))
		l.received.Store(true)
	}
}

// recordDelay records how long the peer took to answer. The usual delay follows a longer one at once and a shorter one slowly.
func (l *link) recordDelay(delay time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if delay < l.usualDelay {
		delay = l.usualDelay - time.Duration(delayDecay*float64(l.usualDelay-delay))
	}
	l.usualDelay = delay
}

func (l *link) isRetired() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.retired
}

func (l *link) hasPending() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.pending) > 0
}

// retire makes new calls use a new connection. The pending calls may still be answered on this one.
func (l *link) retire() {
	l.node.forget(l)
	l.mu.Lock()
	l.retired = true
	ticks := l.silentTicks
	l.mu.Unlock()
	l.node.log.Debug("Nothing arrives on a connection to a peer; new calls use another one.", "peer", l.peerName, "for", (time.Duration(ticks) * silenceTick).String())
}

func (l *link) deliver(f frame) {
	l.mu.Lock()
	answer, ok := l.pending[f.ID]
	delete(l.pending, f.ID)
	l.mu.Unlock()
	if ok {
		answer <- f
	}
}

func (l *link) isClosed() bool {
	select {
	case <-l.closed:
		return true
	default:
		return false
	}
}

func (l *link) close() {
	l.once.Do(func() {
		close(l.closed)
		_ = l.conn.CloseNow()
	})
}
