package plat

import (
	"context"
	"sync"
	"time"

	"plantainfold.example/fold"
)

// MaxSlow bounds how long a slow call is held, in seconds.
const MaxSlow = 30

// Fault says how a service of the platform misbehaves; the zero value works normally.
type Fault struct {
	// Down makes every call fail.
	Down bool `json:"down,omitempty"`
	// Slow is how long each call takes, in seconds. A write takes effect even if its caller stops waiting.
	Slow float64 `json:"slow,omitempty"`
	// Flap makes the service fail and work in turn for so many seconds, beginning with failure.
	Flap float64 `json:"flap,omitempty"`
	// Writes makes every write fail, but no read.
	Writes bool `json:"writes,omitempty"`
	// Lost makes every write fail after it took effect.
	Lost bool `json:"lost,omitempty"`
	// Lag is the age of the instance list, in seconds.
	Lag float64 `json:"lag,omitempty"`
	// Frozen stops changes of the instance list from being seen.
	Frozen bool `json:"frozen,omitempty"`
}

// Switch holds the fault of one service, which may be changed at any time.
type Switch struct {
	clock fold.Clock

	mu    sync.Mutex
	fault Fault
	since fold.Instant
}

// NewSwitch returns a switch for a service that works.
func NewSwitch(clock fold.Clock) *Switch {
	return &Switch{clock: clock}
}

// Set replaces the fault.
func (s *Switch) Set(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
	s.since = s.clock.Now()
}

// Fault returns the present fault.
func (s *Switch) Fault() Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fault
}

// fails reports whether a call that begins now fails without effect.
func (s *Switch) fails(write bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.fault
	if f.Down || (f.Writes && write) {
		return true
	}
	return f.Flap > 0 && int64(s.clock.Now().Sub(s.since)/seconds(f.Flap))%2 == 0
}

// through makes a call under the fault of the switch.
func through[T any](ctx context.Context, s *Switch, write bool, fn func(context.Context) (T, error)) (T, error) {
	var zero T
	f := s.Fault()
	if s.fails(write) {
		return zero, fold.Unknown.New("service is down")
	}
	v, err := held(ctx, s, f, fn)
	if write && f.Lost {
		return zero, fold.Unknown.New("reply was lost")
	}
	return v, err
}

// held makes a call after the delay of the fault. The caller may stop waiting; the call is made nevertheless.
func held[T any](ctx context.Context, s *Switch, f Fault, fn func(context.Context) (T, error)) (T, error) {
	if f.Slow <= 0 {
		return fn(ctx)
	}
	type result struct {
		value T
		err   error
	}
	done := make(chan result, 1)
	go func() {
		<-s.clock.After(seconds(min(f.Slow, MaxSlow)))
		v, err := fn(context.WithoutCancel(ctx))
		done <- result{v, err}
	}()
	select {
	case r := <-done:
		return r.value, r.err
	case <-ctx.Done():
		var zero T
		return zero, fold.Unknown.Wrap(ctx.Err(), "service is slow")
	}
}

func seconds(s float64) time.Duration {
	return max(time.Duration(s*float64(time.Second)), time.Millisecond)
}
