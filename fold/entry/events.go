package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"plantainfold.example/fold"
	"plantainfold.example/fold/peer"
)

const (
	// kindEvents is the kind of calls that ask a peer for its events.
	kindEvents = "events"
	// snapshotPeriod is the time between two snapshots of the events in the object store.
	snapshotPeriod = time.Minute
	// maxSnapshots is the maximum number of snapshots of one entry in the object store.
	maxSnapshots = 64
	// maxListedEvents is the maximum number of events in one answer.
	maxListedEvents = 4096
)

// eventsCall asks a peer for its events.
type eventsCall struct{}

// eventsAnswer holds the events that a peer keeps in memory.
type eventsAnswer struct {
	Events []fold.Event `json:"events"`
}

// handleOperators registers the handlers of calls from peers that serve operators or the configuration.
func (e *Entry) handleOperators() {
	peer.Handle(e.node, kindConfig, e.answerConfig)
	peer.Handle(e.node, kindManifest, e.answerManifest)
	peer.Handle(e.node, kindDrains, e.answerDrains)
	peer.Handle(e.node, kindStatus, func(ctx context.Context, _ string, _ statusCall) (fold.Status, error) {
		return e.Status(ctx), nil
	})
	peer.Handle(e.node, kindEvents, func(context.Context, string, eventsCall) (eventsAnswer, error) {
		return eventsAnswer{Events: e.events.List()}, nil
	})
}

// Events lists the events of all entries that answer, newest last. Events record what the system did by itself.
func (e *Entry) Events(ctx context.Context, c fold.Caller) ([]fold.Event, error) {
	if err := requireOperator(c); err != nil {
		return nil, err
	}
	all := e.events.List()
	for _, p := range e.registeredPeers() {
		callCtx, cancel := context.WithTimeout(ctx, peerTimeout)
		answer, err := peer.Call[eventsCall, eventsAnswer](callCtx, e.node, p.Address, kindEvents, eventsCall{})
		cancel()
		if err == nil {
			all = append(all, answer.Events...)
		}
	}
	slices.SortStableFunc(all, func(a, b fold.Event) int { return int(a.Time - b.Time) })
	return all[max(0, len(all)-maxListedEvents):], nil
}

// snapshotStep writes the events to the object store if there are new ones, and deletes the oldest snapshots.
func (e *Entry) snapshotStep(ctx context.Context) {
	events := e.events.List()
	if len(events) == 0 || events[len(events)-1].Number == e.lastStoredEvent.Load() {
		return
	}
	body, err := json.Marshal(events)
	if err != nil {
		return
	}
	prefix := "events/" + e.settings.Name + "/"
	last := events[len(events)-1]
	key := fmt.Sprintf("%s%016d", prefix, last.Time)
	if err := e.platform.Objects.Put(ctx, key, body); err != nil {
		e.log.Debug("Cannot write the events to the object store. Trying again.", "error", err)
		return
	}
	e.lastStoredEvent.Store(last.Number)
	keys, err := e.platform.Objects.List(ctx, prefix)
	if err != nil {
		return
	}
	for _, old := range keys[:max(0, len(keys)-maxSnapshots)] {
		if err := e.platform.Objects.Delete(ctx, old); err != nil {
			return
		}
	}
}
