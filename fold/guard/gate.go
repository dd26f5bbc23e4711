package guard

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/sys/unix"

	"plantainfold.example/fold"
)

// Gate applies the decisions of a Ledger to the connections and requests of an HTTP server.
type Gate struct {
	clock fold.Clock
	log   hclog.Logger
	// observe is called for each connection that is closed and each request that is refused.
	observe func(Reason)
	// maxBody is the maximum size of a body in bytes for which the configuration sets no limit.
	maxBody int64
	// decodes has a place for each body that is being decoded.
	decodes chan struct{}

	mu     sync.Mutex
	ledger *Ledger
	// released is signaled when memory is released or a connection is closed.
	released *sync.Cond
	// connections holds the connection of each account.
	connections map[*Account]*conn
	// counts holds the numbers of closed and refused connections by reason since the last report, which was at reported.
	counts   map[Reason]int
	reported fold.Instant
}

var _ fold.BodyDecoder = &Gate{}

// New returns a gate. The function observe is called for each connection that is closed and each request that is refused.
func New(limits Limits, clock fold.Clock, log hclog.Logger, observe func(Reason)) *Gate {
	g := &Gate{
		clock: clock, log: log.Named("guard"), observe: observe, maxBody: int64(float64(limits.Bytes) * maxBodyShare), decodes: make(chan struct{}, maxDecodes),
		ledger: NewLedger(limits), connections: make(map[*Account]*conn), counts: make(map[Reason]int),
	}
	g.released = sync.NewCond(&g.mu)
	g.log.Info("Limiting the connections and requests of callers.", "connections", limits.Connections, "bytes", limits.Bytes)
	return g
}

// Run closes the connections whose checks or bodies exceed their time, until ctx ends.
func (g *Gate) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.clock.After(expireInterval):
		}
		g.mu.Lock()
		victims := g.ledger.Expire(g.clock.Now())
		g.mu.Unlock()
		g.close(TooSlow, victims...)
		g.report()
	}
}

// Listen listens at an address with small buffers of the kernel for each connection.
func (g *Gate) Listen(ctx context.Context, address string) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		// Accepted connections inherit the buffers of the listener.
		return control(raw, func(fd int) error {
			return errors.Join(unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_RCVBUF, kernelBuffer), unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_SNDBUF, kernelBuffer))
		})
	}}
	l, err := config.Listen(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	if s, ok := l.(syscall.Conn); ok {
		raw, err := s.SyscallConn()
		if err == nil {
			// A second call changes the length of the queue.
			err = control(raw, func(fd int) error { return unix.Listen(fd, maxBacklog) })
		}
		if err != nil {
			return nil, errors.Join(err, l.Close())
		}
	}
	return &listener{Listener: l, gate: g}, nil
}

func control(raw syscall.RawConn, fn func(fd int) error) error {
	var err error
	return errors.Join(raw.Control(func(fd uintptr) { err = fn(int(fd)) }), err)
}

// Guard makes a server use the gate. It must be called before the server serves.
func (g *Gate) Guard(s *http.Server) {
	// The server would answer "OPTIONS *" itself and read the body without a limit.
	s.DisableGeneralOptionsHandler = true
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) }
	s.ConnState = func(c net.Conn, state http.ConnState) {
		if c, ok := c.(*conn); ok && state == http.StateIdle {
			c.enter(Idle)
		}
	}
	next := s.Handler
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connKey{}).(*conn)
		if !ok {
			next.ServeHTTP(w, r)
			return
		}
		c.unread = r.ContentLength != 0
		phase := Answering
		if c.unread && hasContent(r.Method) {
			phase = Checking
		}
		if !c.enter(phase) {
			// The connection was closed, so nobody would receive the answer.
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(&answer{ResponseWriter: w, conn: c}, r)
		c.beginAnswer()
	})
}

// hasContent returns true if HTTP defines a meaning for the body of a request with this method. Handlers do not read others.
func hasContent(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}

// answer is the answer to a request. It reports its beginning to the connection.
type answer struct {
	http.ResponseWriter

	conn *conn
}

// WriteHeader sends the header of the answer.
func (a *answer) WriteHeader(status int) {
	a.conn.beginAnswer()
	a.ResponseWriter.WriteHeader(status)
}

// Write sends a part of the answer.
func (a *answer) Write(p []byte) (int, error) {
	a.conn.beginAnswer()
	return a.ResponseWriter.Write(p)
}

// Unwrap returns the writer for an http.ResponseController.
func (a *answer) Unwrap() http.ResponseWriter {
	return a.ResponseWriter
}

// close closes connections that the ledger has closed.
func (g *Gate) close(reason Reason, victims ...*Account) {
	for _, a := range victims {
		g.mu.Lock()
		c := g.connections[a]
		g.mu.Unlock()
		if c != nil {
			// An error means that the connection is closed already.
			_ = c.Conn.Close()
		}
		g.count(reason)
	}
	if len(victims) > 0 {
		// The victims may wait for memory themselves.
		g.released.Broadcast()
	}
}

// count counts a closed connection or a refused request.
func (g *Gate) count(reason Reason) {
	g.observe(reason)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.counts[reason]++
}

// report logs the numbers of closed connections and refused requests, at most once in reportInterval.
func (g *Gate) report() {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	if len(g.counts) == 0 || now.Sub(g.reported) < reportInterval {
		return
	}
	g.log.Warn("Closed connections or refused requests of callers.", "connections", g.counts[TooMany], "memory", g.counts[NoMemory], "time", g.counts[TooSlow], "open", len(g.ledger.accounts), "bytes", g.ledger.used)
	g.reported = now
	clear(g.counts)
}

// reserve waits until a connection may use more memory. It returns Granted, Refused or Closed, and counts a refusal.
func (g *Gate) reserve(c *conn, bytes int64) Verdict {
	verdict := g.tryReserve(c, bytes)
	if verdict == Refused {
		g.count(NoMemory)
	}
	return verdict
}

func (g *Gate) tryReserve(c *conn, bytes int64) Verdict {
	g.mu.Lock()
	defer g.mu.Unlock()
	for {
		verdict, victims := g.ledger.Reserve(c.account, bytes, g.clock.Now())
		if len(victims) > 0 {
			g.mu.Unlock()
			g.close(NoMemory, victims...)
			g.mu.Lock()
			continue
		}
		if verdict != Wait {
			return verdict
		}
		g.released.Wait()
	}
}

// release returns all memory of a connection.
func (g *Gate) release(c *conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ledger.Release(c.account, c.account.bytes)
	g.released.Broadcast()
}

// connKey is the key of the connection in the context of a request.
type connKey struct{}

// listener accepts the connections that the ledger admits, and closes the others at once.
type listener struct {
	net.Listener

	gate *Gate
}

// Accept returns the next admitted connection.
func (l *listener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		g := l.gate
		g.mu.Lock()
		opened, victim := g.ledger.Open(g.clock.Now())
		c := &conn{Conn: inner, gate: g, account: opened}
		if opened != nil {
			g.connections[opened] = c
		}
		g.mu.Unlock()
		if victim != nil {
			g.close(TooMany, victim)
		}
		if opened != nil {
			return c, nil
		}
		_ = inner.Close()
		g.count(TooMany)
	}
}

// conn is a connection of a caller.
type conn struct {
	net.Conn

	gate    *Gate
	account *Account
	// unread is true if the request has a body that was not read whole. Only the goroutine that serves the connection uses it.
	unread bool
}

// Read reads bytes and records the progress. Bytes of a header count as memory until the header is complete.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	c.gate.mu.Lock()
	c.gate.ledger.Progress(c.account, c.gate.clock.Now())
	header := c.account.phase == Header
	c.gate.mu.Unlock()
	if header && c.gate.reserve(c, int64(n)*headerGrowth) != Granted {
		// The server answers an error of another type with status 400, which would be wrong.
		return 0, &net.OpError{Op: "read", Net: "tcp", Addr: c.RemoteAddr(), Err: net.ErrClosed}
	}
	return n, err
}

// Write writes an answer within writeTimeout.
func (c *conn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// CloseWrite ends the sending direction. The server uses it after an early answer, so that a caller that still sends a body can
// read the answer before the connection is reset.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Close closes the connection. The server calls it when it no longer uses the connection.
func (c *conn) Close() error {
	err := c.Conn.Close()
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	c.gate.ledger.Remove(c.account)
	delete(c.gate.connections, c.account)
	c.gate.released.Broadcast()
	return err
}

// enter begins a phase and releases the memory of the one before. It returns false if the connection was closed.
func (c *conn) enter(phase Phase) bool {
	c.gate.release(c)
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	return c.gate.ledger.Enter(c.account, phase, c.gate.clock.Now())
}

// beginAnswer is called when the answer to a request begins. The server reads the rest of the body before it sends the answer,
// so that time is limited like that of a body which a handler reads.
func (c *conn) beginAnswer() {
	if c.unread {
		c.unread = false
		c.enter(Body)
	}
}
