package plat

import (
	"context"
	"sync"
	"time"

	"plantainfold.example/fold"
)

// maxDelaySeconds limits Fault.Slow.
const maxDelaySeconds = 30

// Fault describes how a platform service fails. The zero value describes a service without faults.
type Fault struct {
	// Down makes every call fail without effect.
	Down bool `json:"down,omitempty"`
	// Slow is the delay of every call in seconds. A delayed call is made even if its caller stops waiting.
	Slow float64 `json:"slow,omitempty"`
	// Flap makes the service fail and work alternately, each for this number of seconds, beginning with failure.
	Flap float64 `json:"flap,omitempty"`
	// Writes makes every write fail without effect. Reads are not affected.
	Writes bool `json:"writes,omitempty"`
	// Lost makes every write return an error after it took effect, as if the reply had been lost.
	Lost bool `json:"lost,omitempty"`
	// Lag is the number of seconds after which a change appears in the instance list.
	Lag float64 `json:"lag,omitempty"`
	// Frozen hides changes of the instance list until the fault ends.
	Frozen bool `json:"frozen,omitempty"`
}

// Faults holds the current fault of one service, which can be replaced at any time.
type Faults struct {
	clock fold.Clock

	mu    sync.Mutex
	fault Fault
	setAt fold.Instant
}

// NewFaults returns the Faults of a service that works.
func NewFaults(clock fold.Clock) *Faults {
	return &Faults{clock: clock}
}

// Set replaces the fault.
func (f *Faults) Set(fault Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fault = fault
	f.setAt = f.clock.Now()
}

// Fault returns the current fault.
func (f *Faults) Fault() Fault {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.fault
}

// fails reports whether a call that begins now fails without effect.
func (f *Faults) fails(write bool) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	fault := f.fault
	if fault.Down || (fault.Writes && write) {
		return true
	}
	return fault.Flap > 0 && int64(f.clock.Now().Sub(f.setAt)/secondsToDuration(fault.Flap))%2 == 0
}

// callWithFault makes a call to a service under the service's current fault.
func callWithFault[T any](ctx context.Context, faults *Faults, write bool, call func(context.Context) (T, error)) (T, error) {
	var zero T
	fault := faults.Fault()
	if faults.fails(write) {
		return zero, fold.Unknown.New("service is down")
	}
	v, err := callDelayed(ctx, faults, fault, call)
	if write && fault.Lost {
		return zero, fold.Unknown.New("reply was lost")
	}
	return v, err
}

// callDelayed makes a call after the delay of the fault.
func callDelayed[T any](ctx context.Context, faults *Faults, fault Fault, call func(context.Context) (T, error)) (T, error) {
	if fault.Slow <= 0 {
		return call(ctx)
	}
	type result struct {
		value T
		err   error
	}
	done := make(chan result, 1)
	go func() {
		<-faults.clock.After(secondsToDuration(min(fault.Slow, maxDelaySeconds)))
		v, err := call(context.WithoutCancel(ctx))
		done <- result{v, err}
	}()
	select {
	case r := <-done:
		return r.value, r.err
	case <-ctx.Done():
		var zero T
		return zero, fold.Unknown.Wrap(ctx.Err(), "wait for the slow service")
	}
}

// secondsToDuration converts seconds to a duration of at least 1 ms, so that it can be a divisor.
func secondsToDuration(seconds float64) time.Duration {
	return max(time.Duration(seconds*float64(time.Second)), time.Millisecond)
}
