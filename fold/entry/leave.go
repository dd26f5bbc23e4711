package entry

import (
	"context"
	"crypto/tls"

	"plantainfold.example/fold"
	"plantainfold.example/fold/owner"
)

// leave hands over the pools and claim ranges of this entry, which continues to answer requests. A drain that began before
// the entry started was meant for an earlier process of the same name, so leave ends that drain.
func (e *Entry) leave(ctx context.Context, d fold.Drain) {
	if d.Name != e.settings.Name {
		return
	}
	if d.Began < e.createdAt.UnixMilli() {
		e.endOldDrain(ctx, d)
		return
	}
	var handovers []owner.HandOver
	e.withMachine(func(m *owner.Machine) {
		m.Leave()
		handovers = m.HandOvers(e.clock.Now())
	})
	if err := e.handOverUnits(ctx, handovers); err != nil {
		e.log.Warn("Cannot hand over all units. Trying again.", "error", err)
	}
}

// endOldDrain ends a drain that was meant for an earlier process of this entry.
func (e *Entry) endOldDrain(ctx context.Context, d fold.Drain) {
	_, err := e.commitChange(ctx, fold.Caller{KeyID: systemName, Operator: true}, func(headRow) (edit, error) {
		ed := edit{summary: "drain " + d.ID() + " ended with the earlier run of the entry"}
		ed.removeDrain(d.ID())
		return ed, nil
	})
	if err != nil {
		e.log.Debug("Cannot end the drain of an earlier process of this entry. Trying again.", "error", err)
	}
}

// ReportLeaving makes the entry report itself as leaving, for a planned stop.
func (e *Entry) ReportLeaving() {
	e.leaving.Store(true)
}

// isLeaving reports whether callers should move to another entry.
func (e *Entry) isLeaving() bool {
	d, drained := e.current.Load().drains[fold.Drain{Kind: fold.DrainEntry, Name: e.settings.Name}.ID()]
	return e.leaving.Load() || (drained && d.Began >= e.createdAt.UnixMilli())
}

// SetRequestCounter sets the function that returns the number of callers' requests under way.
func (e *Entry) SetRequestCounter(count func() int) {
	e.requestCounter.Store(&count)
}

// requestsUnderWay returns the number of callers' requests under way.
func (e *Entry) requestsUnderWay() int {
	if count := e.requestCounter.Load(); count != nil {
		return (*count)()
	}
	return 0
}

// UseTLS makes the entry dial its peers over TLS.
func (e *Entry) UseTLS(config func() (*tls.Config, error)) {
	e.node.UseTLS(config)
}
