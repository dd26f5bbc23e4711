package peer

import (
	"context"
	"fmt"
	"runtime/debug"
	"sync"
	"time"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/propagation"

	"plantainfold.example/fold"
)

const (
	// maxCalls bounds the calls of a peer that are handled at the same time on one connection.
	maxCalls = 256
	// writeTime bounds one write to a connection.
	writeTime = 2 * time.Second
	// traceHeader is the W3C trace context field.
	traceHeader = "traceparent"
)

// link is one authenticated connection; either side may call.
type link struct {
	node  *Node
	conn  *websocket.Conn
	from  string
	done  chan struct{}
	once  sync.Once
	slots chan struct{}

	mu      sync.Mutex
	next    uint64
	waiting map[uint64]chan frame
}

func newLink(n *Node, conn *websocket.Conn, from string) *link {
	return &link{
		node:    n,
		conn:    conn,
		from:    from,
		done:    make(chan struct{}),
		slots:   make(chan struct{}, maxCalls),
		waiting: make(map[uint64]chan frame),
	}
}

// run reads frames until the connection ends, then waits for the handlers it started.
func (l *link) run() {
	var handling sync.WaitGroup
	defer handling.Wait()
	defer l.close()
	for {
		var f frame
		if err := read(l.node.stop, l.conn, &f); err != nil {
			return
		}
		if f.Kind == "" {
			l.deliver(f)
			continue
		}
		select {
		case l.slots <- struct{}{}:
			handling.Add(1)
			go func() {
				defer handling.Done()
				defer func() { <-l.slots }()
				l.answer(f)
			}()
		default:
			_ = l.send(frame{ID: f.ID, Error: fold.ToWire(fold.Refuse(fold.Overload, "retry later", "peer handles %d calls", maxCalls))})
		}
	}
}

// call sends a request and waits for the frame with the same ID.
func (l *link) call(ctx context.Context, kind string, body cbor.RawMessage) (cbor.RawMessage, error) {
	carrier := propagation.MapCarrier{}
	otel.GetTextMapPropagator().Inject(ctx, carrier)
	id, answer := l.expect()
	defer l.forget(id)
	if err := l.send(frame{ID: id, Kind: kind, Trace: carrier[traceHeader], Body: body}); err != nil {
		return nil, fold.Unknown.Wrap(err, "send %s to %s", kind, l.from)
	}
	select {
	case f := <-answer:
		l.node.seen(kind, len(body), len(f.Body))
		return f.Body, f.Error.Err()
	case <-l.done:
		return nil, fold.Unknown.New("connection to %s ended before its answer to %s", l.from, kind)
	case <-ctx.Done():
		return nil, fold.Unknown.Wrap(ctx.Err(), "no answer of %s to %s", l.from, kind)
	}
}

func (l *link) answer(f frame) {
	fn, ok := l.node.handlers[f.Kind]
	if !ok {
		_ = l.send(frame{ID: f.ID, Error: fold.ToWire(fold.Refuse(fold.Invalid, "update the entry", "unknown call %q", f.Kind))})
		return
	}
	carrier := propagation.MapCarrier{traceHeader: f.Trace}
	ctx := otel.GetTextMapPropagator().Extract(l.node.stop, carrier)
	ctx, span := otel.Tracer("peer").Start(ctx, "peer "+f.Kind)
	defer span.End()
	out, err := l.guard(ctx, f, fn)
	if err != nil {
		_ = l.send(frame{ID: f.ID, Error: fold.ToWire(err)})
		return
	}
	body, err := cbor.Marshal(out)
	if err != nil {
		_ = l.send(frame{ID: f.ID, Error: fold.ToWire(fold.Unknown.Wrap(err, "encode answer"))})
		return
	}
	l.node.seen(f.Kind, len(body), len(f.Body))
	_ = l.send(frame{ID: f.ID, Body: body})
}

// guard calls the function that answers a call. A message that makes it panic harms only its own call.
func (l *link) guard(ctx context.Context, f frame, fn handler) (out any, err error) {
	defer func() {
		if fault := recover(); fault != nil {
			l.node.log.Error("A call made its handler panic.", "from", l.from, "call", f.Kind, "fault", fmt.Sprint(fault), "stack", string(debug.Stack()))
			out, err = nil, fold.Refuse(fold.Unknown, "see the log of the entry", "the call %q failed unexpectedly", f.Kind)
		}
	}()
	return fn(ctx, l.from, f.Body)
}

func (l *link) send(f frame) error {
	ctx, cancel := context.WithTimeout(l.node.stop, writeTime)
	defer cancel()
	return write(ctx, l.conn, f)
}

func (l *link) expect() (uint64, chan frame) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.next++
	answer := make(chan frame, 1)
	l.waiting[l.next] = answer
	return l.next, answer
}

func (l *link) forget(id uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.waiting, id)
}

func (l *link) deliver(f frame) {
	l.mu.Lock()
	answer, ok := l.waiting[f.ID]
	delete(l.waiting, f.ID)
	l.mu.Unlock()
	if ok {
		answer <- f
	}
}

func (l *link) ended() bool {
	select {
	case <-l.done:
		return true
	default:
		return false
	}
}

func (l *link) close() {
	l.once.Do(func() {
		close(l.done)
		_ = l.conn.CloseNow()
	})
}
