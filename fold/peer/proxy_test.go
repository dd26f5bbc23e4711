package peer_test

import (
	"bytes"
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"plantainfold.example/fold/peer"
)

// proxy connects entries of a test in memory. It can swallow, hold or block the bytes of its open connections.
type proxy struct {
	accepted chan net.Conn
	done     chan struct{}

	mu sync.Mutex
	// faults holds the fault of each opened connection.
	faults []*fault
	// heldUntil is when held bytes move on.
	heldUntil time.Time
	// delay is how long bytes are on their way.
	delay time.Duration
	// open counts the connections that neither side has closed.
	open int
}

// fault is what happens to the bytes of a connection.
type fault int

const (
	// noFault forwards bytes.
	noFault fault = iota
	// swallowed drops bytes.
	swallowed
	// blocked does not take bytes, so that writes to the connection block.
	blocked
)

func newProxy() *proxy {
	return &proxy{accepted: make(chan net.Conn), done: make(chan struct{})}
}

func (p *proxy) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	near, nearEnd := net.Pipe()
	farEnd, far := net.Pipe()
	gone := make(chan struct{})
	closed := sync.OnceFunc(func() {
		_, _ = nearEnd.Close(), farEnd.Close()
		p.mu.Lock()
		p.open--
		p.mu.Unlock()
		close(gone)
	})
	// Other calls can dial during the time on the way.
	time.Sleep(time.Millisecond)
	select {
	case p.accepted <- proxyConn{far, closed}:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	state := new(fault)
	p.mu.Lock()
	p.faults = append(p.faults, state)
	p.open++
	p.mu.Unlock()
	go p.forward(nearEnd, farEnd, state, closed, gone)
	go p.forward(farEnd, nearEnd, state, closed, gone)
	return proxyConn{near, closed}, nil
}

// proxyConn is a side's end of a connection, which the proxy closes with it.
type proxyConn struct {
	net.Conn
	closed func()
}

// Close closes the connection.
func (c proxyConn) Close() error {
	c.closed()
	return c.Conn.Close()
}

// maxChunks limits the chunks of bytes that are on their way in a direction of a connection.
const maxChunks = 1024

// chunk is bytes that arrive at a time.
type chunk struct {
	bytes []byte
	at    time.Time
}

// forward moves bytes until one side closes the connection.
func (p *proxy) forward(from, to net.Conn, state *fault, closed func(), gone <-chan struct{}) {
	defer closed()
	chunks := make(chan chunk, maxChunks)
	defer close(chunks)
	go func() {
		for c := range chunks {
			time.Sleep(time.Until(c.at))
			if _, err := to.Write(c.bytes); err != nil {
				closed()
			}
		}
	}()
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		p.mu.Lock()
		now, hold := *state, max(p.delay, time.Until(p.heldUntil))
		p.mu.Unlock()
		switch now {
		case noFault:
		case swallowed:
			continue
		case blocked:
			<-gone
			return
		}
		chunks <- chunk{bytes: bytes.Clone(buffer[:n]), at: time.Now().Add(hold)}
	}
}

// harm gives the open connections a fault.
func (p *proxy) harm(next fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, state := range p.faults {
		*state = next
	}
}

// hold holds back all bytes for a time.
func (p *proxy) hold(length time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.heldUntil = time.Now().Add(length)
}

// setDelay sets how long bytes are on their way.
func (p *proxy) setDelay(delay time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay = delay
}

func (p *proxy) counts() (dialled, open int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.faults), p.open
}

func (p *proxy) Accept() (net.Conn, error) {
	select {
	case c := <-p.accepted:
		return c, nil
	case <-p.done:
		return nil, net.ErrClosed
	}
}

func (p *proxy) Close() error   { close(p.done); return nil }
func (p *proxy) Addr() net.Addr { return &net.TCPAddr{} }

// testPair runs a test in virtual time with a client and a server, which answers each call after the time it names.
func testPair(t *testing.T, test func(t *testing.T, p *proxy, client *peer.Transport)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		p := newProxy()
		before := http.DefaultClient.Transport
		http.DefaultClient.Transport = &http.Transport{DialContext: p.dial, DisableKeepAlives: true}
		defer func() { http.DefaultClient.Transport = before }()
		server := peer.New("a", "a-1", []byte("secret"), hclog.NewNullLogger())
		peer.Handle(server, "wait", func(ctx context.Context, _ string, wait time.Duration) (time.Duration, error) {
			select {
			case <-ctx.Done():
			case <-time.After(wait):
			}
			return wait, nil
		})
		h := &http.Server{Handler: server}
		go func() { _ = h.Serve(p) }()
		client := peer.New("b", "b-1", []byte("secret"), hclog.NewNullLogger())
		defer func() {
			_, _, _ = client.Close(), server.Close(), h.Close()
		}()
		test(t, p, client)
	})
}

// ask calls the server, which answers after a time.
func ask(ctx context.Context, client *peer.Transport, limit, wait time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	got, err := peer.Call[time.Duration, time.Duration](ctx, client, "a:1", "wait", wait)
	if err == nil && got != wait {
		err = errors.New("wrong answer")
	}
	return err
}
