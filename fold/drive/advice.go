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
	// minHoldDelay is how much later than stated an answer must be before its entry makes another call, if the last answer came in
	// time. The adviser may still serve the first call, and serves the next one after it.
	minHoldDelay = 2 * time.Second
	// maxAnswerDelay is how much later than stated an answer may arrive.
	maxAnswerDelay = 12 * time.Second
	// maxUnanswered is the maximum number of calls of an entry without an answer. The adviser refuses calls beside 32 that wait.
	maxUnanswered = 8
	// askerRetryDelay is how long an entry is not used after its call failed.
	askerRetryDelay = time.Second
	// maxTicketAge is how old the tickets in an answer may be when it arrives.
	maxTicketAge = 20 * time.Millisecond
)

// adviceCalls is the state of the calls to the adviser. An entry makes one call at a time as long as answers arrive, because the
// adviser serves the calls of an instance one after the other.
type adviceCalls struct {
	// busy holds the entries that make no other call now. slowCalls is the number of them that make a slow one.
	busy      map[string]bool
	slowCalls int
	// unanswered counts the calls without an answer, by entry.
	unanswered map[string]int
	retryAt    map[string]fold.Instant
	// usualDelay is the moving average of how much later than stated answers arrive. lastDelay is that of the last answer.
	usualDelay, lastDelay time.Duration
	report                adviceReport
}

// recordDelay records how much later than stated an answer arrived.
func (s *adviceCalls) recordDelay(delay time.Duration) {
	s.lastDelay = max(0, delay)
	s.usualDelay += time.Duration(usualDelayWeight * float64(s.lastDelay-s.usualDelay))
}

// overdueDelay returns how much later than stated an answer is overdue.
func (s *adviceCalls) overdueDelay() time.Duration {
	return min(minOverdueDelay+overdueFactor*s.usualDelay, maxAnswerDelay)
}

// holdDelay returns how much later than stated an answer must be before its entry makes another call. An adviser that is late
// for long gets no further calls before it has answered the ones before.
func (s *adviceCalls) holdDelay() time.Duration {
	return min(max(minHoldDelay, 2*s.lastDelay), maxAnswerDelay)
}

// inFlight returns the number of calls without an answer.
func (s *adviceCalls) inFlight() int {
	n := 0
	for _, calls := range s.unanswered {
		n += calls
	}
	return n
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
	state := &adviceCalls{busy: make(map[string]bool), unanswered: make(map[string]int), retryAt: make(map[string]fold.Instant)}
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
		if name := asker.Name(); state.busy[name] || state.unanswered[name] >= maxUnanswered || state.retryAt[name] > now {
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
	state.unanswered[name]++
	isSlow := ask.Slow()
	if isSlow {
		state.slowCalls++
	}
	// The functions below run where dispatchAdvice does.
	holds := true
	freeEntry := func() {
		if !holds {
			return
		}
		holds = false
		delete(state.busy, name)
		if isSlow {
			state.slowCalls--
		}
	}
	overdue, hold := ask.Duration+state.overdueDelay(), ask.Duration+state.holdDelay()
	d.spawn(func() {
		sent := d.parts.Clock.Now()
		call, cancel := context.WithTimeout(ctx, ask.Duration+maxAnswerDelay)
		d.spawn(func() { d.releaseOverdue(call, ask, overdue) })
		d.spawn(func() {
			if d.pause(call, hold) {
				runLater(ctx, done, freeEntry)
			}
		})
		advice, err := asker.Advise(call, ask.Step, ask.Hosts)
		timedOut := call.Err() != nil && ctx.Err() == nil
		cancel()
		took := d.parts.Clock.Now().Sub(sent)
		d.parts.Meter.Ask(took, err)
		d.log.Debug("Called the adviser.", "step", ask.Step, "hosts", len(ask.Hosts), "approved", len(advice.Approvals), "by", name, "took", took.String(), "error", err)
		d.updateCell(func(c *core.Cell) { c.ApplyAdvice(ask, advice, d.parts.Clock.Now().Add(-maxTicketAge), err) })
		runLater(ctx, done, func() {
			freeEntry()
			if state.unanswered[name]--; state.unanswered[name] == 0 {
				delete(state.unanswered, name)
			}
			if err == nil {
				state.recordDelay(took - ask.Duration)
			}
			state.report.add(ask.Step, name, took-ask.Duration, err)
			state.report.logIfDue(d.log, d.parts.Clock.Now(), state.inFlight())
			if err != nil && !timedOut {
				state.retryAt[name] = d.parts.Clock.Now().Add(askerRetryDelay)
			}
		})
	})
}

// runLater passes a function to the goroutine that dispatches calls, unless ctx ends.
func runLater(ctx context.Context, done chan<- func(), fn func()) {
	select {
	case done <- fn:
	case <-ctx.Done():
	}
}

// releaseOverdue lets another call be made for the step of a call that is not answered within the given time. The context ends
// with the call.
func (d *Driver) releaseOverdue(call context.Context, ask core.AdviceCall, overdue time.Duration) {
	if d.pause(call, overdue) {
		d.log.Debug("An answer of the adviser is overdue.", "step", ask.Step, "after", overdue.String())
		d.updateCell(func(c *core.Cell) { c.ReleaseAdviceCall(ask) })
	}
}
