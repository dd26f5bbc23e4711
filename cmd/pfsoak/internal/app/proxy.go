package app

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"
)

// mode is how a proxy handles its connections.
type mode int

const (
	// modePass forwards all data.
	modePass mode = iota
	// modeDelay forwards all data late.
	modeDelay
	// modeDropAnswers drops data from the target; connections stay open.
	modeDropAnswers
	// modeDropAll drops data in both directions; connections stay open.
	modeDropAll
	// modeReset aborts open and new connections.
	modeReset
	// modeCount is the number of modes that networkFault draws from. The modes after it are for faults of links.
	modeCount
	// modeDropRequests drops data to the target; connections stay open.
	modeDropRequests
	// modeHold keeps all data back until the mode changes. Requests then arrive late, also those of closed connections.
	modeHold
)

const (
	// delayTime is the delay of each piece of data in modeDelay.
	delayTime = 120 * time.Millisecond
	// holdInterval is the time between checks whether modeHold has ended.
	holdInterval = 10 * time.Millisecond
	// acceptRetryDelay is the time until a connection is accepted again after an error.
	acceptRetryDelay = 20 * time.Millisecond
)

// proxy forwards connections on loopback to a target and injects the network fault of its mode.
type proxy struct {
	listener net.Listener
	target   string

	mu   sync.Mutex
	mode mode
	// conns holds both ends of the open connections.
	conns map[net.Conn]bool
	group sync.WaitGroup
}

// newProxy returns a proxy that listens on a free port on loopback.
func newProxy(ctx context.Context, target string) (*proxy, error) {
	l, err := listen(ctx)
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

// setMode changes the mode. modeReset aborts the open connections at once.
func (p *proxy) setMode(m mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	if m == modeReset {
		for c := range p.conns {
			abort(c)
		}
	}
}

// restore ends the fault of the proxy. Connections that lost data cannot be used any more, so they are aborted.
func (p *proxy) restore() {
	if p.currentMode() != modeHold {
		p.setMode(modeReset)
	}
	p.setMode(modePass)
}

func (p *proxy) currentMode() mode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

// abort closes a connection with a TCP RST.
func abort(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		// If this fails, the connection is closed without an RST.
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// Close aborts all connections and waits until all goroutines of the proxy have ended.
func (p *proxy) Close() error {
	err := p.listener.Close()
	p.setMode(modeReset)
	p.group.Wait()
	return err
}

func (p *proxy) accept(ctx context.Context) {
	for {
		in, err := p.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			// For example, too many files are open.
			time.Sleep(acceptRetryDelay)
			continue
		}
		if p.currentMode() == modeReset {
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
		p.group.Go(func() { p.forward(out, in, false) })
		p.group.Go(func() { p.forward(in, out, true) })
	}
}

// forward copies data in one direction. The argument fromTarget tells whether the data comes from the target.
func (p *proxy) forward(to, from net.Conn, fromTarget bool) {
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
		m := p.currentMode()
		for ; m == modeHold; m = p.currentMode() {
			time.Sleep(holdInterval)
		}
		switch {
		case m == modeDelay:
			time.Sleep(delayTime)
		case m == modeDropAll || m == modeDropAnswers && fromTarget || m == modeDropRequests && !fromTarget:
			// Without this data, the other side could not parse the rest of the stream.
			p.discard(from)
			return
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

// discard reads and drops data until the connection ends.
func (p *proxy) discard(from net.Conn) {
	buffer := make([]byte, 4<<10)
	for {
		if _, err := from.Read(buffer); err != nil {
			return
		}
	}
}
