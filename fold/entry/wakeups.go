package entry

import (
	"context"
	"sync/atomic"
)

// wakeups holds the channels that signal the membership loop.
type wakeups struct {
	// config makes the loop read the configuration at once.
	config chan struct{}
	// units makes the loop read the owners of units at once.
	units chan struct{}
	// stop is closed to end the loop.
	stop chan struct{}
	// ended is closed when the loop has ended.
	ended chan struct{}
	// started is set when the loop has started.
	started *atomic.Bool
}

func newWakeups() wakeups {
	return wakeups{
		config:  make(chan struct{}, 1),
		units:   make(chan struct{}, 1),
		stop:    make(chan struct{}),
		ended:   make(chan struct{}),
		started: &atomic.Bool{},
	}
}

// wake signals a loop. It does nothing if a signal is pending already.
func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// runMembership runs a membership step every membershipPeriod. In between, it reads the configuration when a peer knows a
// newer one, and the owners of units when a peer has handed units over.
func (e *Entry) runMembership(ctx context.Context) {
	e.wakeups.started.Store(true)
	defer close(e.wakeups.ended)
	for ctx.Err() == nil {
		e.membershipStep(ctx)
		due := e.clock.After(membershipPeriod)
		for waiting := true; waiting; {
			select {
			case <-due:
				waiting = false
			case <-e.wakeups.config:
				e.logError("Cannot read the configuration.", e.readHead(ctx))
			case <-e.wakeups.units:
				e.logError("Cannot read the owners of units.", e.scanUnits(ctx))
				e.syncUnits()
			case <-e.wakeups.stop:
				return
			case <-ctx.Done():
				return
			}
		}
	}
}

// stopMembership ends the membership loop and waits for it, so that a read from before a handover cannot make the entry open
// units again that it has handed over.
func (e *Entry) stopMembership() {
	close(e.wakeups.stop)
	if e.wakeups.started.Load() {
		<-e.wakeups.ended
	}
}

// logError logs a warning if err is not nil.
func (e *Entry) logError(message string, err error) {
	if err != nil {
		e.log.Warn(message, "error", err)
	}
}
