package node

import (
	"context"

	"plantainfold.example/fold"
	"plantainfold.example/fold/drive"
	"plantainfold.example/fold/peer"
	"plantainfold.example/fold/relay"
)

// Calls between the owner of the pool and the entries that look after hosts for it.
const (
	// carryCall is made by the owner, the others by the entry.
	carryCall     = "carry"
	ordersCall    = "orders"
	relayNewsCall = "relaynews"
)

// sessionOf names a session of the owner of an epoch.
type sessionOf struct {
	Epoch   int64  `json:"epoch"`
	Session uint64 `json:"session"`
}

// carry asks an entry to look after hosts for the owner at the address.
type carry struct {
	sessionOf
	Address string `json:"address"`
	// Stamp is an instant of the owner's clock.
	Stamp fold.Instant `json:"stamp"`
}

// relayNews is what a relay tells the owner.
type relayNews struct {
	sessionOf
	Number  uint64       `json:"number"`
	Got     uint64       `json:"got"`
	News    relay.Events `json:"news"`
	Leaving bool         `json:"leaving,omitempty"`
}

// gotOrders is a relay's call for the batch of orders after the one that it has.
type gotOrders struct {
	sessionOf
	Got uint64 `json:"got"`
}

// handleRelays answers the calls by which entries look after hosts for the owner.
func (n *Node) handleRelays(node *peer.Node) {
	peer.Handle(node, carryCall, func(_ context.Context, _ string, q carry) (bool, error) {
		return true, n.carry(node, q)
	})
	peer.Handle(node, ordersCall, func(ctx context.Context, _ string, q gotOrders) (relay.Batch, error) {
		d := n.owning()
		if d == nil || d.Epoch() != q.Epoch {
			return relay.Batch{Ended: true}, nil
		}
		return d.Orders(ctx, q.Session, q.Got), nil
	})
	peer.Handle(node, relayNewsCall, func(_ context.Context, _ string, q relayNews) (relay.Permit, error) {
		d := n.owning()
		if d == nil || d.Epoch() != q.Epoch {
			return relay.Permit{Ended: true}, nil
		}
		return d.HandleEvents(q.Session, q.Number, q.Got, q.News, q.Leaving), nil
	})
}

// carrying is the session in which this entry looks after hosts, or the last one.
type carrying struct {
	sessionOf
	session *relay.Session
}

// carry opens a session and ends an earlier one.
func (n *Node) carry(peers *peer.Node, q carry) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	last := n.carrying
	older := q.Epoch < last.Epoch || q.Epoch == last.Epoch && q.Session <= last.Session
	if n.leaving.Load() || older {
		return fold.Refuse(fold.Unavailable, "use another entry", "the entry leaves or has a newer session")
	}
	if last.session != nil {
		// It ends by itself; nobody waits for it here.
		go func() { _ = last.session.Close() }()
	}
	n.carrying = carrying{sessionOf: q.sessionOf, session: relay.Open(relay.Parts{
		Runner: n.parts.Runner, Clock: n.clock, Logger: n.log, Meter: n.meter, Epoch: q.Epoch, Lease: n.settings.Times().Lease,
	}, remoteOwner{node: peers, carry: q}, q.Stamp, n.leaving.Load)}
	return nil
}

// stopCarrying ends the session of this entry.
func (n *Node) stopCarrying() {
	n.mu.Lock()
	session := n.carrying.session
	n.mu.Unlock()
	if session != nil {
		_ = session.Close()
	}
}

// remoteOwner is the owner of a session in another process.
type remoteOwner struct {
	node *peer.Node
	carry
}

var _ relay.Owner = remoteOwner{}

// Orders waits for orders of the owner.
func (o remoteOwner) Orders(ctx context.Context, got uint64) (relay.Batch, error) {
	return peer.Call[gotOrders, relay.Batch](ctx, o.node, o.Address, ordersCall, gotOrders{sessionOf: o.sessionOf, Got: got})
}

// News gives news to the owner.
func (o remoteOwner) News(ctx context.Context, number, got uint64, news relay.Events, leaving bool) (relay.Permit, error) {
	return peer.Call[relayNews, relay.Permit](ctx, o.node, o.Address, relayNewsCall, relayNews{sessionOf: o.sessionOf, Number: number, Got: got, News: news, Leaving: leaving})
}

// helper is another entry that can look after hosts.
type helper struct {
	name string
	registration
	node *peer.Node
	// own is the address of this entry.
	own string
}

var _ drive.RelayEntry = helper{}

// Name returns the name of the entry.
func (h helper) Name() string { return h.name }

// Domain returns the failure domain of the entry.
func (h helper) Domain() string { return h.registration.Domain }

// Room returns how many hosts the entry can look after.
func (h helper) Room() int { return h.registration.Room }

// Carry asks the entry to open a session.
func (h helper) Carry(ctx context.Context, epoch int64, session uint64, stamp fold.Instant) error {
	_, err := peer.Call[carry, bool](ctx, h.node, h.Address, carryCall, carry{sessionOf: sessionOf{Epoch: epoch, Session: session}, Address: h.own, Stamp: stamp})
	return err
}
