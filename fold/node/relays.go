package node

import (
	"context"

	"plantainfold.example/fold"
	"plantainfold.example/fold/drive"
	"plantainfold.example/fold/peer"
	"plantainfold.example/fold/relay"
)

// Calls between the owner of the pool and the entries that supervise hosts for it as relays.
const (
	// openRelayCall is the owner's request to an entry to open a relay session.
	openRelayCall = "carry"
	// ordersCall is a relay's request to the owner for orders.
	ordersCall = "orders"
	// relayEventsCall delivers a relay's events to the owner.
	relayEventsCall = "relaynews"
)

// sessionOf identifies a relay session.
type sessionOf struct {
	// Epoch is the epoch of the owner that opened the session.
	Epoch int64 `json:"epoch"`
	// Session is the number of the session in the epoch.
	Session uint64 `json:"session"`
}

// openRelayRequest asks an entry to open a relay session with the owner.
type openRelayRequest struct {
	sessionOf
	// Address is the address of the owner.
	Address string `json:"address"`
	// Timestamp is an instant of the owner's clock.
	Timestamp fold.Instant `json:"stamp"`
}

// relayEvents is a relay's report to the owner.
type relayEvents struct {
	sessionOf
	// Number is the number of the report in the session.
	Number uint64 `json:"number"`
	// LastBatch is the number of the last batch of orders whose releases the relay has applied.
	LastBatch uint64 `json:"got"`
	// Events are the events at the hosts since the previous report.
	Events relay.Events `json:"news"`
	// Leaving reports whether the entry is stopping.
	Leaving bool `json:"leaving,omitempty"`
}

// ordersRequest is a relay's request for the next batch of orders.
type ordersRequest struct {
	sessionOf
	// LastBatch is the number of the last batch whose releases the relay has applied.
	LastBatch uint64 `json:"got"`
}

// registerRelayCalls registers the handlers of the calls between the owner and its relays.
func (n *Node) registerRelayCalls(transport *peer.Transport) {
	peer.Handle(transport, openRelayCall, func(_ context.Context, _ string, q openRelayRequest) (bool, error) {
		return true, n.openRelay(transport, q)
	})
	peer.Handle(transport, ordersCall, func(ctx context.Context, _ string, q ordersRequest) (relay.Batch, error) {
		d := n.currentDriver()
		if d == nil || d.Epoch() != q.Epoch {
			return relay.Batch{Ended: true}, nil
		}
		return d.Orders(ctx, q.Session, q.LastBatch), nil
	})
	peer.Handle(transport, relayEventsCall, func(_ context.Context, _ string, q relayEvents) (relay.Permit, error) {
		d := n.currentDriver()
		if d == nil || d.Epoch() != q.Epoch {
			return relay.Permit{Ended: true}, nil
		}
		return d.HandleEvents(q.Session, q.Number, q.LastBatch, q.Events, q.Leaving), nil
	})
}

// relaySession is the current relay session of this entry, or the last one.
type relaySession struct {
	sessionOf
	session *relay.Session
}

// openRelay opens a relay session and closes the previous one.
func (n *Node) openRelay(transport *peer.Transport, q openRelayRequest) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	last := n.relaySession
	older := q.Epoch < last.Epoch || q.Epoch == last.Epoch && q.Session <= last.Session
	if n.leaving.Load() || older {
		return fold.Refuse(fold.Unavailable, "use another entry", "cannot open a relay session: the entry is leaving or has a newer session")
	}
	if last.session != nil {
		// The old session closes in the background; the new one does not depend on it.
		go func() { _ = last.session.Close() }()
	}
	n.relaySession = relaySession{sessionOf: q.sessionOf, session: relay.Open(relay.Parts{
		Runner: n.parts.Runner, Clock: n.clock, Logger: n.log, Meter: n.meter, Epoch: q.Epoch, Lease: n.settings.Times().Lease,
	}, relayOwner{transport: transport, openRelayRequest: q}, q.Timestamp, n.leaving.Load)}
	return nil
}

// closeRelay closes the relay session of this entry.
func (n *Node) closeRelay() {
	n.mu.Lock()
	session := n.relaySession.session
	n.mu.Unlock()
	if session != nil {
		_ = session.Close()
	}
}

// relayOwner calls the owner of a relay session in another process.
type relayOwner struct {
	transport *peer.Transport
	openRelayRequest
}

var _ relay.Owner = relayOwner{}

// Orders waits for the next batch of orders from the owner.
func (o relayOwner) Orders(ctx context.Context, lastBatch uint64) (relay.Batch, error) {
	return peer.Call[ordersRequest, relay.Batch](ctx, o.transport, o.Address, ordersCall, ordersRequest{sessionOf: o.sessionOf, LastBatch: lastBatch})
}

// SendEvents sends events to the owner.
func (o relayOwner) SendEvents(ctx context.Context, number, lastBatch uint64, events relay.Events, leaving bool) (relay.Permit, error) {
	return peer.Call[relayEvents, relay.Permit](ctx, o.transport, o.Address, relayEventsCall, relayEvents{sessionOf: o.sessionOf, Number: number, LastBatch: lastBatch, Events: events, Leaving: leaving})
}

// relayEntry is another entry that can supervise hosts for this entry.
type relayEntry struct {
	name string
	registration
	transport *peer.Transport
	// ownAddress is the address of this entry.
	ownAddress string
}

var _ drive.RelayEntry = relayEntry{}

// Name returns the name of the entry.
func (e relayEntry) Name() string { return e.name }

// Domain returns the failure domain of the entry.
func (e relayEntry) Domain() string { return e.registration.Domain }

// Capacity returns the number of hosts that the entry can supervise.
func (e relayEntry) Capacity() int { return e.registration.RelayCapacity }

// OpenSession asks the entry to open a relay session.
func (e relayEntry) OpenSession(ctx context.Context, epoch int64, session uint64, timestamp fold.Instant) error {
	_, err := peer.Call[openRelayRequest, bool](ctx, e.transport, e.Address, openRelayCall, openRelayRequest{sessionOf: sessionOf{Epoch: epoch, Session: session}, Address: e.ownAddress, Timestamp: timestamp})
	return err
}
