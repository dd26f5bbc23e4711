package plat

import (
	"context"
	"sync"

	"plantainfold.example/fold"
)

// Registry is an instance list that can be changed.
type Registry interface {
	fold.Fleet
	// Set adds or replaces an instance.
	Set(in fold.Instance)
	// Remove removes an instance.
	Remove(name string)
}

// FaultyFleet is an instance list with injected faults. Depending on them, its changes appear late or not at all.
type FaultyFleet struct {
	faults *Faults

	mu sync.Mutex
	// visible is the list that callers see.
	visible Registry
	// pending are the changes that callers do not see yet, oldest first.
	pending []pendingChange
}

// pendingChange is a change of the list that callers do not see yet.
type pendingChange struct {
	madeAt fold.Instant
	apply  func(Registry)
}

var _ Registry = &FaultyFleet{}

// NewFaultyFleet returns an instance list that applies changes to fleet with the given faults.
func NewFaultyFleet(fleet Registry, faults *Faults) *FaultyFleet {
	return &FaultyFleet{visible: fleet, faults: faults}
}

// Instances returns the list as callers see it.
func (f *FaultyFleet) Instances(ctx context.Context) ([]fold.Instance, error) {
	return callWithFault(ctx, f.faults, false, func(ctx context.Context) ([]fold.Instance, error) {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.applyPending()
		return f.visible.Instances(ctx)
	})
}

// Set adds or replaces an instance.
func (f *FaultyFleet) Set(in fold.Instance) {
	f.change(func(r Registry) { r.Set(in) })
}

// Remove removes an instance.
func (f *FaultyFleet) Remove(name string) {
	f.change(func(r Registry) { r.Remove(name) })
}

func (f *FaultyFleet) change(apply func(Registry)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.pending = append(f.pending, pendingChange{madeAt: f.faults.clock.Now(), apply: apply})
	f.applyPending()
}

// applyPending makes the changes visible that are old enough. The caller must hold the lock.
func (f *FaultyFleet) applyPending() {
	fault := f.faults.Fault()
	if fault.Frozen {
		return
	}
	cutoff := f.faults.clock.Now()
	if fault.Lag > 0 {
		cutoff = cutoff.Add(-secondsToDuration(fault.Lag))
	}
	n := 0
	for n < len(f.pending) && f.pending[n].madeAt <= cutoff {
		f.pending[n].apply(f.visible)
		n++
	}
	f.pending = f.pending[n:]
}
