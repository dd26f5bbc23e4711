package drive

import (
	"context"
	"time"

	"plantainfold.example/fold"
	"plantainfold.example/fold/core"
)

const (
	// quickShare is the part of the entries that slow calls to the adviser leave free for quick ones, at least
	// quickEntries, of at least quickFrom entries.
	quickShare   = 4
	quickEntries = 2
	quickFrom    = 4
	// askTime bounds a call beyond the time that the adviser needs for it: another entry can make it instead.
	askTime = 250 * time.Millisecond
	// askerRest is how long an entry whose call failed is not asked again.
	askerRest = time.Second
	// ticketAge is how old the tickets of an answer may be when it arrives.
	ticketAge = 20 * time.Millisecond
)

// asking is the state of the entries that call the adviser; each has one call at a time, because the adviser serves the
// calls of an instance one after the other.
type asking struct {
	busy map[string]bool
	rest map[string]fold.Instant
	slow int
}

// ask hands the calls that the cell wants to entries that are free.
func (d *Driver) ask(ctx context.Context) {
	state := &asking{busy: make(map[string]bool), rest: make(map[string]fold.Instant)}
	done := make(chan func(), 64)
	for {
		d.dispatch(ctx, state, done)
		select {
		case <-ctx.Done():
			return
		case fn := <-done:
			fn()
		case <-d.askWake:
		}
	}
}

func (d *Driver) dispatch(ctx context.Context, state *asking, done chan func()) {
	askers := d.parts.AdviceCallers()
	now := d.parts.Clock.Now()
	for _, asker := range askers {
		if state.busy[asker.Name()] || state.rest[asker.Name()] > now {
			continue
		}
		slow := len(askers) < quickFrom || state.slow < len(askers)-max(quickEntries, len(askers)/quickShare)
		var ask core.AdviceCall
		var ok bool
		d.with(func(c *core.Cell) { ask, ok = c.NextAdviceCall(slow) })
		if !ok {
			if slow {
				return
			}
			continue
		}
		d.assign(ctx, state, asker, ask, done)
	}
}

// assign lets an entry make a call.
func (d *Driver) assign(ctx context.Context, state *asking, asker AdviceCaller, ask core.AdviceCall, done chan func()) {
	name := asker.Name()
	state.busy[name] = true
	isSlow := ask.Slow()
	if isSlow {
		state.slow++
	}
	d.spawn(func() {
		sent := d.parts.Clock.Now()
		call, cancel := context.WithTimeout(ctx, ask.Duration+askTime)
		advice, err := asker.Advise(call, ask.Step, ask.Hosts)
		cancel()
		took := d.parts.Clock.Now().Sub(sent)
		d.parts.Meter.Ask(took, err)
		d.log.Debug("Adviser asked.", "step", ask.Step, "hosts", len(ask.Hosts), "approved", len(advice.Approvals), "by", name, "took", took.String(), "error", err)
		d.update(func(c *core.Cell) { c.ApplyAdvice(ask, advice, d.parts.Clock.Now().Add(-ticketAge), err) })
		finish := func() {
			state.busy[name] = false
			if isSlow {
				state.slow--
			}
			if err != nil {
				state.rest[name] = d.parts.Clock.Now().Add(askerRest)
			}
		}
		select {
		case done <- finish:
		case <-ctx.Done():
		}
	})
}
