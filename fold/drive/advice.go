package drive

import (
	"context"
	"time"

	"github.com/hashicorp/go-hclog"

	"plantainfold.example/fold"
	"plantainfold.example/fold/core"
)

const (
	// quickDivisor reserves one in this many entries for quick calls to the adviser.
	quickDivisor = 4
	// minQuickEntries is the least number of entries that are reserved for quick calls.
	minQuickEntries = 2
	// minEntriesForQuick is the least number of entries with which any are reserved for quick calls.
	minEntriesForQuick = 4
	// minOverdueDelay is how much later than stated an answer is overdue if the recent ones came in time. Another entry then
	// makes a call for the step.
	minOverdueDelay = 250 * time.Millisecond
	// overdueFactor is the multiple of the usual delay of answers that is added to minOverdueDelay. An adviser that is slow
	// for all entries then does not get more calls.
	overdueFactor = 2
	// usualDelayWeight is the weight of the newest answer in the moving average of the delay.
	usualDelayWeight = 0.125
	// minCallPatience and maxCallPatience are the bounds of the time by which an answer may be later than stated before the call
	// is given up. The adviser may still serve the call, so until then its entry makes no other one.
	minCallPatience = 3 * time.Second
	maxCallPatience = 24 * time.Second
	// askerRetryDelay is how long an entry is not used after its call failed.
	askerRetryDelay = time.Second
	// maxTicketAge is how old the tickets in an answer may be when it arrives.
	maxTicketAge = 20 * time.Millisecond
)

// adviceCalls is the state of the calls to the adviser. Each entry makes one call at a time, because the adviser serves the
// calls of an instance one after the other.
type adviceCalls struct {
	busy      map[string]bool
	retryAt   map[string]fold.Instant
	slowCalls int
	// usualDelay is the moving average of how much later than stated answers arrive.
	usualDelay time.Duration
	// patience is how much later than stated an answer may arrive before the call is given up. It grows while calls are given
	// up, so that an adviser that is late for long is not asked in vain.
	patience time.Duration
	report   adviceReport
}

// recordDelay adjusts the limits to a call that was answered or given up. delay is how much longer than stated it took.
func (s *adviceCalls) recordDelay(delay time.Duration, answered, timedOut bool) {
	switch {
	case answered:
		s.usualDelay += time.Duration(usualDelayWeight * float64(max(0, delay)-s.usualDelay))
		s.patience = min(max(minCallPatience, 2*delay), maxCallPatience)
	case timedOut:
		s.patience = min(2*s.patience, maxCallPatience)
	}
}

// overdueDelay returns how much later than stated an answer is overdue.
func (s *adviceCalls) overdueDelay() time.Duration {
	return min(minOverdueDelay+overdueFactor*s.usualDelay, s.patience)
}

const (
	// adviceReportInterval is the shortest time between two logs about late and failed calls to the adviser.
	adviceReportInterval = 3 * time.Second
	// reportedDelay is how much longer than stated a call to the adviser takes before the log reports it.
	reportedDelay = 100 * time.Millisecond
)

// adviceReport sums up the calls to the adviser since the last log about them.
type adviceReport struct {
	since                fold.Instant
	calls, late, failed  int
	maxDelay             time.Duration
	lastStep, lastCaller string
	lastErr              error
}

// add adds a call that has ended. delay is how much longer than stated it took.
func (r *adviceReport) add(step, caller string, delay time.Duration, err error) {
	r.calls++
	if delay > reportedDelay {
		r.late++
	}
	if err != nil {
		r.failed++
		r.lastStep, r.lastCaller, r.lastErr = step, caller, err
	}
	r.maxDelay = max(r.maxDelay, delay)
}

// logIfDue logs late and failed calls, at most once in adviceReportInterval, and begins the next sum.
func (r *adviceReport) logIfDue(log hclog.Logger, now fold.Instant, inFlight int) {
	if now.Sub(r.since) < adviceReportInterval {
		return
	}
	if r.late > 0 || r.failed > 0 {
		log.Warn("Calls to the adviser were late or failed.", "calls", r.calls, "late", r.late, "failed", r.failed, "maxDelay", r.maxDelay.String(),
			"inFlight", inFlight, "lastStep", r.lastStep, "lastCaller", r.lastCaller, "error", r.lastErr)
	}
	*r = adviceReport{since: now}
}

// runAdvice makes the calls that the cell wants through entries that are free, until ctx ends.
func (d *Driver) runAdvice(ctx context.Context) {
	state := &adviceCalls{busy: make(map[string]bool), retryAt: make(map[string]fold.Instant), patience: minCallPatience}
	done := make(chan func(), 64)
	for {
		d.dispatchAdvice(ctx, state, done)
		select {
		case <-ctx.Done():
			return
		case fn := <-done:
			fn()
		case <-d.adviceWake:
		}
	}
}

func (d *Driver) dispatchAdvice(ctx context.Context, state *adviceCalls, done chan func()) {
	askers := d.parts.AdviceCallers()
	now := d.parts.Clock.Now()
	for _, asker := range askers {
		if state.busy[asker.Name()] || state.retryAt[asker.Name()] > now {
			continue
		}
		slow := len(askers) < minEntriesForQuick || state.slowCalls < len(askers)-max(minQuickEntries, len(askers)/quickDivisor)
		var ask core.AdviceCall
		var ok bool
		d.withCell(func(c *core.Cell) { ask, ok = c.NextAdviceCall(slow) })
		if !ok {
			if slow {
				return
			}
			continue
		}
		d.callAdviser(ctx, state, asker, ask, done)
	}
}

// callAdviser starts a call through an entry.
func (d *Driver) callAdviser(ctx context.Context, state *adviceCalls, asker AdviceCaller, ask core.AdviceCall, done chan func()) {
	name := asker.Name()
	state.busy[name] = true
	isSlow := ask.Slow()
	if isSlow {
		state.slowCalls++
	}
	overdue, limit := ask.Duration+state.overdueDelay(), ask.Duration+state.patience
	d.spawn(func() {
		sent := d.parts.Clock.Now()
		call, cancel := context.WithTimeout(ctx, limit)
		d.spawn(func() { d.releaseOverdue(call, ask, overdue) })
		advice, err := asker.Advise(call, ask.Step, ask.Hosts)
		timedOut := call.Err() != nil && ctx.Err() == nil
		cancel()
		took := d.parts.Clock.Now().Sub(sent)
		d.parts.Meter.Ask(took, err)
		d.log.Debug("Called the adviser.", "step", ask.Step, "hosts", len(ask.Hosts), "approved", len(advice.Approvals), "by", name, "took", took.String(), "error", err)
		d.updateCell(func(c *core.Cell) { c.ApplyAdvice(ask, advice, d.parts.Clock.Now().Add(-maxTicketAge), err) })
		finish := func() {
			state.recordDelay(took-ask.Duration, err == nil, timedOut)
			state.report.add(ask.Step, name, took-ask.Duration, err)
			state.report.logIfDue(d.log, d.parts.Clock.Now(), len(state.busy)-1)
			delete(state.busy, name)
			if isSlow {
				state.slowCalls--
			}
			if err != nil {
				state.retryAt[name] = d.parts.Clock.Now().Add(askerRetryDelay)
			}
		}
		select {
		case done <- finish:
		case <-ctx.Done():
		}
	})
}

// releaseOverdue lets another call be made for the step of a call that is not answered within the given time. The context ends
// with the call.
func (d *Driver) releaseOverdue(call context.Context, ask core.AdviceCall, overdue time.Duration) {
	if d.pause(call, overdue) {
		d.log.Debug("An answer of the adviser is overdue.", "step", ask.Step, "after", overdue.String())
		d.updateCell(func(c *core.Cell) { c.ReleaseAdviceCall(ask) })
	}
}
