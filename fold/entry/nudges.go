package entry

import (
	"context"
	"sync/atomic"
)

// nudges wake the membership loop before its period is over.
type nudges struct {
	head  chan struct{}
	units chan struct{}
	stop  chan struct{}
	ended chan struct{}
	begun *atomic.Bool
}

func newNudges() nudges {
	return nudges{
		head:  make(chan struct{}, 1),
		units: make(chan struct{}, 1),
		stop:  make(chan struct{}),
		ended: make(chan struct{}),
		begun: &atomic.Bool{},
	}
}

// nudge wakes the loop; a nudge that waits already is enough.
func nudge(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// runMember takes a membership step every period. In between it reads the configuration when a peer knows a newer one,
// and the owners when a peer has handed something over.
func (e *Entry) runMember(ctx context.Context) {
	e.nudges.begun.Store(true)
	defer close(e.nudges.ended)
	for ctx.Err() == nil {
		e.memberStep(ctx)
		due := e.clock.After(memberPeriod)
		for waiting := true; waiting; {
			select {
			case <-due:
				waiting = false
			case <-e.nudges.head:
				e.report("Cannot read the configuration.", e.readHead(ctx))
			case <-e.nudges.units:
				e.report("Cannot read the owners.", e.scanUnits(ctx))
				e.syncUnits()
			case <-e.nudges.stop:
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
	close(e.nudges.stop)
	if e.nudges.begun.Load() {
		<-e.nudges.ended
	}
}

func (e *Entry) report(message string, err error) {
	if err != nil {
		e.log.Warn(message, "error", err)
	}
}
