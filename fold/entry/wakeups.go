package entry

import (
	"context"
	"sync/atomic"
)

// wakeups are signals that run the membership loop before its period is over.
type wakeups struct {
	head  chan struct{}
	units chan struct{}
	stop  chan struct{}
	ended chan struct{}
	begun *atomic.Bool
}

func newWakeups() wakeups {
	return wakeups{
		head:  make(chan struct{}, 1),
		units: make(chan struct{}, 1),
		stop:  make(chan struct{}),
		ended: make(chan struct{}),
		begun: &atomic.Bool{},
	}
}

// wake signals a loop; a signal that is pending already is enough.
func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// runMember takes a membership step every period. In between it reads the configuration when a peer knows a newer one,
// and the owners when a peer has handed something over.
func (e *Entry) runMember(ctx context.Context) {
	e.wakeups.begun.Store(true)
	defer close(e.wakeups.ended)
	for ctx.Err() == nil {
		e.memberStep(ctx)
		due := e.clock.After(memberPeriod)
		for waiting := true; waiting; {
			select {
			case <-due:
				waiting = false
			case <-e.wakeups.head:
				e.report("Cannot read the configuration.", e.readHead(ctx))
			case <-e.wakeups.units:
				e.report("Cannot read the owners.", e.scanUnits(ctx))
				e.syncUnits()
			case <-e.wakeups.stop:
				return
			case <-ctx.Done():
				return
			}
		}
	}
}

// stopMember ends the membership loop after the step under way, so that no read from before a hand-over brings back
// what was handed over.
func (e *Entry) stopMember() {
	close(e.wakeups.stop)
	if e.wakeups.begun.Load() {
		<-e.wakeups.ended
	}
}

func (e *Entry) report(message string, err error) {
	if err != nil {
		e.log.Warn(message, "error", err)
	}
}
