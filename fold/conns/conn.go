package conns

import (
	"context"
	"time"

	"plantainfold.example/fold"
)

// kind is a kind of calls that have connections of their own, so that slow orders do not make a host look silent.
type kind int

const (
	holds kind = iota
	orders
)

// poolKey identifies the connections to a host for one kind of calls.
type poolKey struct {
	id, address string
	kind        kind
}

// pool holds the connections to a host. The lock of the Runner guards it, except for inUse.
type pool struct {
	// inUse holds an element for each connection that is in use or being opened.
	inUse chan struct{}
	// users counts the calls and openings that use the pool or wait for it.
	users int
	// idle are the connections that no call uses, the most recently used last.
	idle []*conn
}

// conn is a connection that one call at a time uses.
type conn struct {
	fold.HostConn
	// identified is true once the host has answered a hold call, and incarnation is the incarnation that answered.
	identified  bool
	incarnation int64
	// expiry closes the connection while it is idle.
	expiry *time.Timer
}

// identify asks the host for its incarnation, without a lease or an acknowledgement that another incarnation could apply.
func (c *conn) identify(ctx context.Context, fence int64) error {
	_, err := c.hold(ctx, fold.HoldRequest{Fence: fence})
	return err
}

// hold makes a hold call and records the incarnation that answers.
func (c *conn) hold(ctx context.Context, q fold.HoldRequest) (fold.HoldReply, error) {
	reply, err := c.Hold(ctx, q)
	if err == nil {
		c.identified, c.incarnation = true, reply.Incarnation
	}
	return reply, err
}
