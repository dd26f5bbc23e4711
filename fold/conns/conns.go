package conns

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"plantainfold.example/fold"
)

const (
	// maxConns is the maximum number of connections to one host for hold calls, and for orders. A host accepts a limited number, and an
	// instance that vanishes leaves its own open there. With 64, as all deployments have, 15 owners or relays may vanish before
	// the next one gets fewer than it may use: 64 / (2 * maxConns) - 1.
	//
	// A relay has one hold call to a host at a time; the second connection is for the next call, while a first one that could not
	// be opened in time still waits for the answer of the host.
	maxConns = 2
	// openTimeout limits the opening of a connection and the call that identifies the host. It may be longer than the calls that
	// need the connection: these fail, and the next ones use it.
	openTimeout = 1500 * time.Millisecond
	// idleTimeout is how long an unused connection is kept for reuse, because opening a new one is costly.
	idleTimeout = 90 * time.Second
)

// Runner sends orders to hosts. It opens connections when they are needed and reuses them.
type Runner struct {
	dialer fold.HostDialer
	log    hclog.Logger
	// group counts the connections that are being opened, until ctx ends.
	group sync.WaitGroup
	ctx   context.Context
	stop  context.CancelFunc

	mu     sync.Mutex
	closed bool
	pools  map[poolKey]*pool
}

var _ fold.Runner = &Runner{}

// New returns a Runner without connections. Close closes those that it opens.
func New(dialer fold.HostDialer, log hclog.Logger) *Runner {
	ctx, stop := context.WithCancel(context.Background())
	return &Runner{dialer: dialer, log: log.Named("conns"), ctx: ctx, stop: stop, pools: make(map[poolKey]*pool)}
}

// Hold renews the leases on a host and returns its runs and ends. Leases are renewed and ends acknowledged only in the incarnation
// that h names; another one that answers in its place is only asked for its runs and ends.
func (r *Runner) Hold(ctx context.Context, h fold.Host, q fold.HoldRequest) (fold.HoldReply, error) {
	var reply fold.HoldReply
	err := r.use(ctx, h, holds, q.Fence, func(c *conn) (err error) {
		if q.LeaseEnd != 0 || q.Acked != 0 {
			if !c.identified {
				if err := c.identify(ctx, q.Fence); err != nil {
					return err
				}
			}
			if c.incarnation != h.Incarnation {
				q = fold.HoldRequest{Fence: q.Fence}
			}
		}
		reply, err = c.hold(ctx, q)
		return err
	})
	return reply, err
}

// Start starts a run of a task.
func (r *Runner) Start(ctx context.Context, h fold.Host, q fold.StartRequest) error {
	return r.use(ctx, h, orders, q.Fence, func(c *conn) error { return c.Start(ctx, q) })
}

// Stop stops a run. A run that has not started yet is rejected when its start arrives.
func (r *Runner) Stop(ctx context.Context, h fold.Host, task string, run int, fence int64) error {
	return r.use(ctx, h, orders, fence, func(c *conn) error { return c.Stop(ctx, task, run, fence) })
}

// Pace limits the speed of a run to a percentage of its full speed.
func (r *Runner) Pace(ctx context.Context, h fold.Host, task string, run, percent int, fence int64) error {
	return r.use(ctx, h, orders, fence, func(c *conn) error { return c.Pace(ctx, task, run, percent, fence) })
}

// Disconnect closes the connections that no call uses.
func (r *Runner) Disconnect() {
	r.mu.Lock()
	var idle []*conn
	for key, p := range r.pools {
		idle = append(idle, p.idle...)
		p.idle = nil
		r.dropUnused(key, p)
	}
	r.mu.Unlock()
	for _, c := range idle {
		r.closeConn(c)
	}
}

// Close closes the connections that no call uses and those that are being opened, and makes further calls fail.
func (r *Runner) Close() error {
	r.mu.Lock()
	r.closed = true
	r.mu.Unlock()
	r.stop()
	r.Disconnect()
	r.group.Wait()
	return nil
}

// use calls fn with a connection to the host. A connection for orders has been identified as one to the incarnation that h names.
func (r *Runner) use(ctx context.Context, h fold.Host, kind kind, fence int64, fn func(*conn) error) error {
	began := time.Now()
	key := poolKey{id: h.ID, address: h.Address, kind: kind}
	p, err := r.acquire(ctx, key)
	if err != nil {
		return err
	}
	c, err := r.connect(ctx, key, p, h, fence)
	if err != nil {
		return err
	}
	defer r.release(key, p, c)
	if deadline, ok := ctx.Deadline(); ok && kind == orders && time.Since(began) > time.Until(deadline) {
		// An order that is sent too late to be answered in time would cost the connection.
		return fold.Unavailable.Wrap(context.DeadlineExceeded, "the connection to the host %s was opened late; the order was not sent", h.ID)
	}
	if kind == orders && c.incarnation != h.Incarnation {
		r.log.Info("Did not send an order because the host has started again.", "host", h.ID, "born", h.Incarnation, "answered", c.incarnation, "fence", fence)
		return fold.Refuse(fold.HostRestarted, "wait for the report of the host", "the host %s has started again; the order was not sent", h.ID)
	}
	return fn(c)
}

// acquire waits until the pool with the key permits another connection in use. A successful call must be followed by one of
// release.
func (r *Runner) acquire(ctx context.Context, key poolKey) (*pool, error) {
	r.mu.Lock()
	p, ok := r.pools[key]
	if !ok {
		p = &pool{inUse: make(chan struct{}, maxConns)}
		r.pools[key] = p
	}
	p.users++
	r.mu.Unlock()
	select {
	case p.inUse <- struct{}{}:
		return p, nil
	case <-ctx.Done():
		r.mu.Lock()
		p.users--
		r.dropUnused(key, p)
		r.mu.Unlock()
		return nil, fold.Unavailable.Wrap(ctx.Err(), "all connections to the host %s are in use", key.id)
	}
}

// release ends the use of the connection, which may be nil, and keeps the connection for the next call if it is still usable.
func (r *Runner) release(key poolKey, p *pool, c *conn) {
	r.mu.Lock()
	if c != nil && !r.closed && c.Usable() {
		c.expiry = time.AfterFunc(idleTimeout, func() { r.expire(key, p, c) })
		p.idle = append(p.idle, c)
		c = nil
	}
	<-p.inUse
	p.users--
	r.dropUnused(key, p)
	r.mu.Unlock()
	if c != nil {
		r.closeConn(c)
	}
}

// expire closes a connection if no call has used it since it was released.
func (r *Runner) expire(key poolKey, p *pool, c *conn) {
	r.mu.Lock()
	at := slices.Index(p.idle, c)
	if at >= 0 {
		p.idle = slices.Delete(p.idle, at, at+1)
		r.dropUnused(key, p)
	}
	r.mu.Unlock()
	if at >= 0 {
		r.closeConn(c)
	}
}

// dropUnused removes a pool without connections and users. The caller holds the lock.
func (r *Runner) dropUnused(key poolKey, p *pool) {
	if p.users == 0 && len(p.idle) == 0 && r.pools[key] == p {
		delete(r.pools, key)
	}
}

func (r *Runner) closeConn(c *conn) {
	if err := c.Close(); err != nil {
		r.log.Debug("Closing a connection to a host failed.", "error", err)
	}
}

// connect returns a connection from the pool, or a new one if none fits. After an error the pool is released.
func (r *Runner) connect(ctx context.Context, key poolKey, p *pool, h fold.Host, fence int64) (*conn, error) {
	c, stale := r.takeIdle(p, key.kind, h.Incarnation)
	for _, s := range stale {
		r.closeConn(s)
	}
	if c != nil {
		return c, nil
	}
	type result struct {
		conn *conn
		err  error
	}
	opened := make(chan result)
	open := func() {
		defer r.group.Done()
		// The opening goes on after the call has ended, so that a later call to a slow host finds the connection.
		limited, cancel := context.WithTimeout(r.ctx, openTimeout)
		defer cancel()
		c, err := r.open(limited, key.kind, h, fence)
		select {
		case opened <- result{c, err}:
		case <-ctx.Done():
			if err != nil {
				r.log.Debug("Opening a connection to a host failed after its call had ended.", "host", h.ID, "error", err)
			}
			r.release(key, p, c)
		}
	}
	r.mu.Lock()
	closed := r.closed
	if !closed {
		r.group.Add(1)
		go open()
	}
	r.mu.Unlock()
	if closed {
		r.release(key, p, nil)
		return nil, fold.Refuse(fold.Unavailable, "send the order from another entry", "this entry is closing its connections")
	}
	select {
	case o := <-opened:
		if o.err != nil {
			r.release(key, p, nil)
		}
		return o.conn, o.err
	case <-ctx.Done():
		return nil, fold.Unavailable.Wrap(ctx.Err(), "no connection to the host %s in time", h.ID)
	}
}

// open opens a connection. It identifies the host on a connection for orders.
func (r *Runner) open(ctx context.Context, kind kind, h fold.Host, fence int64) (*conn, error) {
	dialed, err := r.dialer.Dial(ctx, h)
	if err != nil {
		return nil, err
	}
	c := &conn{HostConn: dialed}
	if kind == orders {
		if err := c.identify(ctx, fence); err != nil {
			r.closeConn(c)
			if !fold.DidNotRun(err) {
				err = fold.Unavailable.Wrap(err, "the host %s did not tell its incarnation; the order was not sent", h.ID)
			}
			return nil, err
		}
	}
	return c, nil
}

// takeIdle removes a connection that fits from the idle ones of the pool, the most recently used first. It returns nil if there
// is none. The other connections that it removes must be closed: the unusable ones, and one to another incarnation if none
// fits, to make room for a new one.
func (r *Runner) takeIdle(p *pool, kind kind, incarnation int64) (taken *conn, stale []*conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	usable := p.idle[:0]
	for _, c := range p.idle {
		if c.Usable() {
			usable = append(usable, c)
		} else {
			c.expiry.Stop()
			stale = append(stale, c)
		}
	}
	p.idle = usable
	for i, c := range slices.Backward(p.idle) {
		if kind == holds || c.incarnation == incarnation {
			c.expiry.Stop()
			p.idle = slices.Delete(p.idle, i, i+1)
			return c, stale
		}
	}
	if len(p.idle) > 0 {
		p.idle[0].expiry.Stop()
		stale = append(stale, p.idle[0])
		p.idle = slices.Delete(p.idle, 0, 1)
	}
	return nil, stale
}
