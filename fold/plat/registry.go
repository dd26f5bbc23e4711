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
	// Remove drops an instance.
	Remove(name string)
}

// FaultyFleet is an instance list that shows the changes of another one late or not at all, by the faults of a switch.
type FaultyFleet struct {
	faults *Switch

	mu      sync.Mutex
	seen    Registry
	pending []change
}

// change is a change of the list that callers do not see yet.
type change struct {
	at    fold.Instant
	apply func(Registry)
}

var _ Registry = &FaultyFleet{}

// NewFaultyFleet returns f with the faults of s.
func NewFaultyFleet(f Registry, s *Switch) *FaultyFleet {
	return &FaultyFleet{seen: f, faults: s}
}

// Instances returns the list as callers see it.
func (f *FaultyFleet) Instances(ctx context.Context) ([]fold.Instance, error) {
	return through(ctx, f.faults, false, func(ctx context.Context) ([]fold.Instance, error) {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.catchUp()
		return f.seen.Instances(ctx)
	})
}

// Set adds or replaces an instance.
func (f *FaultyFleet) Set(in fold.Instance) {
	f.change(func(r Registry) { r.Set(in) })
}

// Remove drops an instance.
func (f *FaultyFleet) Remove(name string) {
	f.change(func(r Registry) { r.Remove(name) })
}

func (f *FaultyFleet) change(apply func(Registry)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.pending = append(f.pending, change{at: f.faults.clock.Now(), apply: apply})
	f.catchUp()
}

// catchUp shows the changes that are old enough.
func (f *FaultyFleet) catchUp() {
	fault := f.faults.Fault()
	if fault.Frozen {
		return
	}
	limit := f.faults.clock.Now()
	if fault.Lag > 0 {
		limit = limit.Add(-seconds(fault.Lag))
	}
	n := 0
	for n < len(f.pending) && f.pending[n].at <= limit {
		f.pending[n].apply(f.seen)
		n++
	}
	f.pending = f.pending[n:]
}
