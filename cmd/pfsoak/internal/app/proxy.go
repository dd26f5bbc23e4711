package app

import (
	"context"
	"net"
	"sync"
	"time"
)

// mode says how a proxy treats its connections.
type mode int

const (
	// pass forwards, delay does so late.
	pass mode = iota
	delay
	// deaf drops what the target answers, silent drops both directions; connections stay open.
	deaf
	silent
	// reset breaks connections off, old and new ones.
	reset
	modes
)

// delayTime is how late a delayed piece of data is.
const delayTime = 120 * time.Millisecond

// proxy forwards connections on loopback to a target and misbehaves on demand.
type proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	mode  mode
	conns map[net.Conn]bool
	group sync.WaitGroup
}

// newProxy listens on a free port.
func newProxy(ctx context.Context, target string) (*proxy, error) {
	l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, target: target, conns: make(map[net.Conn]bool)}
	p.group.Go(func() { p.accept(ctx) })
	return p, nil
}

func (p *proxy) address() string {
	return p.listener.Addr().String()
}

// set changes the mode; a reset breaks the open connections off at once.
func (p *proxy) set(m mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	if m == reset {
		for c := range p.conns {
			abort(c)
		}
	}
}

func (p *proxy) now() mode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

// abort closes a connection with a reset.
func abort(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		// The connection is closed in any case.
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// Close breaks all connections off and waits for the proxy's loops.
func (p *proxy) Close() error {
	err := p.listener.Close()
	p.mu.Lock()
	for c := range p.conns {
		abort(c)
	}
	p.mu.Unlock()
	p.group.Wait()
	return err
}

func (p *proxy) accept(ctx context.Context) {
	for {
		in, err := p.listener.Accept()
		if err != nil {
			return
		}
		if p.now() == reset {
			abort(in)
			continue
		}
		out, err := (&net.Dialer{}).DialContext(ctx, "tcp", p.target)
		if err != nil {
			abort(in)
			continue
		}
		p.mu.Lock()
		p.conns[in], p.conns[out] = true, true
		p.mu.Unlock()
		p.group.Go(func() { p.pump(out, in, false) })
		p.group.Go(func() { p.pump(in, out, true) })
	}
}

// pump forwards one direction; answers says that it comes from the target.
func (p *proxy) pump(to, from net.Conn, answers bool) {
	defer func() {
		p.mu.Lock()
		delete(p.conns, from)
		p.mu.Unlock()
		_ = from.Close()
		_ = to.Close()
	}()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		switch m := p.now(); {
		case m == delay:
			time.Sleep(delayTime)
		case m == silent || m == deaf && answers:
			// The rest of the stream would make no sense to the other side.
			p.drain(from)
			return
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

// drain reads what comes until the connection ends, and forwards nothing.
func (p *proxy) drain(from net.Conn) {
	buffer := make([]byte, 4<<10)
	for {
		if _, err := from.Read(buffer); err != nil {
			return
		}
	}
}
