package peer_test

import (
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

// proxy connects entries of a test in memory. It can swallow or hold the bytes of its open connections.
type proxy struct {
	accepted chan net.Conn
	done     chan struct{}

	mu sync.Mutex
	// silent tells for each opened connection whether its bytes are swallowed.
	silent []*bool
	// heldUntil is when held bytes move on.
	heldUntil time.Time
	// open counts the connections that neither side has closed.
	open int
}

func newProxy() *proxy {
	return &proxy{accepted: make(chan net.Conn), done: make(chan struct{})}
}

func (p *proxy) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	near, nearEnd := net.Pipe()
	farEnd, far := net.Pipe()
	// Other calls can dial during the time on the way.
	time.Sleep(time.Millisecond)
	select {
	case p.accepted <- far:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	silent := new(bool)
	p.mu.Lock()
	p.silent = append(p.silent, silent)
	p.open++
	p.mu.Unlock()
	closed := sync.OnceFunc(func() {
		_, _ = nearEnd.Close(), farEnd.Close()
		p.mu.Lock()
		p.open--
		p.mu.Unlock()
	})
	go p.forward(nearEnd, farEnd, silent, closed)
	go p.forward(farEnd, nearEnd, silent, closed)
	return near, nil
}

// forward moves bytes until one side closes the connection.
func (p *proxy) forward(from, to net.Conn, silent *bool, closed func()) {
	defer closed()
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		p.mu.Lock()
		swallow, hold := *silent, time.Until(p.heldUntil)
		p.mu.Unlock()
		if swallow {
			continue
		}
		time.Sleep(hold)
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

// silence swallows all further bytes of the open connections.
func (p *proxy) silence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, silent := range p.silent {
		*silent = true
	}
}

// hold holds back all bytes for a time.
func (p *proxy) hold(length time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.heldUntil = time.Now().Add(length)
}

func (p *proxy) counts() (dialled, open int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.silent), p.open
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
