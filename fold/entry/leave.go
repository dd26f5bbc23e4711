package entry

import (
	"context"
	"crypto/tls"

	"plantainfold.example/fold"
	"plantainfold.example/fold/owner"
)

// leave hands the pools and claim ranges of this entry over while it goes on answering requests. A drain that began
// before the entry was started belongs to an earlier run of it and is ended.
func (e *Entry) leave(ctx context.Context, d fold.Drain) {
	if d.Name != e.settings.Name {
		return
	}
	if d.Began < e.began.UnixMilli() {
		e.endOldDrain(ctx, d)
		return
	}
	var gives []owner.Give
	e.member(func(m *owner.Machine) {
		m.Leave()
		gives = m.Gives(e.clock.Now())
	})
	if err := e.give(ctx, gives); err != nil {
		e.log.Warn("Cannot hand over all units. Trying again.", "error", err)
	}
}

func (e *Entry) endOldDrain(ctx context.Context, d fold.Drain) {
	_, err := e.change(ctx, fold.Caller{KeyID: systemName, Operator: true}, func(headRow) (edit, error) {
		one := edit{summary: "drain " + d.ID() + " ended with the earlier run of the entry"}
		one.end(d.ID())
		return one, nil
	})
	if err != nil {
		e.log.Debug("Cannot end the drain of an earlier run. Trying again.", "error", err)
	}
}

// Leave makes the entry report itself as leaving, for a planned stop.
func (e *Entry) Leave() {
	e.leaving.Store(true)
}

// isLeaving reports whether callers should move to another entry.
func (e *Entry) isLeaving() bool {
	d, drained := e.current.Load().drains[fold.Drain{Kind: fold.DrainEntry, Name: e.settings.Name}.ID()]
	return e.leaving.Load() || (drained && d.Began >= e.began.UnixMilli())
}

// CountRequests sets the function that counts the callers' requests under way.
func (e *Entry) CountRequests(count func() int) {
	e.requests.Store(&count)
}

func (e *Entry) requestsUnderWay() int {
	if count := e.requests.Load(); count != nil {
		return (*count)()
	}
	return 0
}

// Secure makes the entry dial its peers over TLS.
func (e *Entry) Secure(config func() (*tls.Config, error)) {
	e.node.UseTLS(config)
}
