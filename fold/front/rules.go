package front

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/joomcode/errorx"

	"plantainfold.example/fold"
	"plantainfold.example/fold/book"
)

const (
	// pollWait bounds the wait for a new revision in one call, and thereby the age of the confirmed configuration.
	pollWait = 700 * time.Millisecond
	// pollMargin is the time that a call may take in addition to its wait before another one is started, so that a dead
	// connection is detected.
	pollMargin = 400 * time.Millisecond
	// lateAnswerTimeout bounds a call. An answer that arrives after pollMargin and before this timeout still counts.
	lateAnswerTimeout = 3 * time.Second
	// pollRetryDelay is the delay after a failed call.
	pollRetryDelay = 100 * time.Millisecond
	// askOtherAge is the age of the configuration from which on another entry is asked for it.
	askOtherAge = 400 * time.Millisecond
	// readTimeout bounds a call to the table for a caller, and the wait for a read of the configuration.
	readTimeout = 700 * time.Millisecond
)

// AskOther asks another entry for what the operator has declared. It returns the state and its age. If the configuration's row
// has the given version there, the rules of the state contain only the evacuated failure domains.
type AskOther func(ctx context.Context, version int64) (fold.Declared, time.Duration, error)

// Rules follows the declared configuration.
type Rules struct {
	source fold.RulesSource
	clock  fold.Clock
	log    hclog.Logger
	// changed is called with each new revision and each change of the evacuated failure domains.
	changed func(fold.Rules)
	// askOther asks another entry for its state.
	askOther AskOther

	mu sync.Mutex
	// index is the newest configuration, or nil before the first is read.
	index *book.Index
	// declared is the newest known state. The index is made from its rules.
	declared fold.Declared
	// confirmedAt is when the call that last confirmed the configuration was sent.
	confirmedAt fold.Instant

	// reading is the last read of the whole configuration if it is under way, or nil. earlierRead is the one that was under way
	// when it began, or nil. wholeReads counts the reads under way.
	reading, earlierRead *wholeRead
	wholeReads           int
	// ended is done when Run has ended. Reads of the whole configuration end then.
	ended context.Context
	end   context.CancelFunc
	// applying is held while a state is put into force, so that changed is called in the order of the states.
	applying sync.Mutex
	// calls are the calls that wait for a new revision and the reads of the whole configuration.
	calls sync.WaitGroup
}

// NewRules returns a follower of the source; changed is called with each new revision and each change of the
// evacuated failure domains.
func NewRules(source fold.RulesSource, clock fold.Clock, log hclog.Logger, changed func(fold.Rules)) *Rules {
	ended, end := context.WithCancel(context.Background())
	return &Rules{source: source, clock: clock, log: log.Named("rules"), changed: changed, ended: ended, end: end}
}

// SetFallback sets the function that asks another entry while the source does not answer.
func (r *Rules) SetFallback(askOther AskOther) {
	r.askOther = askOther
}

// Current returns the newest configuration, its version and the time since it was last confirmed. The index is nil before the
// first configuration is read.
func (r *Rules) Current() (*book.Index, int64, time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.index, r.declared.Version, r.clock.Now().Sub(r.confirmedAt)
}

// Declared returns the newest known state.
func (r *Rules) Declared() fold.Declared {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.declared
}

// Run keeps the configuration up to date until ctx ends.
func (r *Rules) Run(ctx context.Context) {
	defer r.close()
	lost := false
	for ctx.Err() == nil {
		err := r.poll(ctx)
		if err != nil && ctx.Err() == nil {
			if !lost {
				r.log.Warn("Cannot read the configuration from the table.", "error", err)
			}
			lost = true
			r.refreshFromOther(ctx)
			select {
			case <-ctx.Done():
			case <-r.clock.After(pollRetryDelay):
			}
			continue
		}
		if lost && err == nil {
			r.log.Info("The configuration can be read from the table again.")
			lost = false
		}
	}
}

// refreshFromOther applies the configuration of another entry if this entry's copy is older than askOtherAge.
func (r *Rules) refreshFromOther(ctx context.Context) {
	index, _, age := r.Current()
	if r.askOther == nil || index == nil || age < askOtherAge {
		return
	}
	sent := r.clock.Now()
	known := r.Declared()
	other, otherAge, err := r.askOther(ctx, known.Version)
	if err != nil {
		r.log.Debug("Could not get the configuration from another entry.", "error", err)
		return
	}
	if other.Version == known.Version {
		evacuated := other.Rules.Evacuated
		other.Rules = known.Rules
		other.Rules.Evacuated = evacuated
	}
	r.apply(other, sent.Add(-otherAge))
}

func (r *Rules) poll(ctx context.Context) error {
	if index, _, _ := r.Current(); index == nil {
		return r.Refresh(ctx)
	}
	notice, cancel := context.WithTimeout(ctx, pollWait+pollMargin)
	defer cancel()
	answer := make(chan error)
	r.calls.Go(func() {
		err := r.waitForChange(ctx)
		select {
		case answer <- err:
		case <-notice.Done():
			r.finishLate(ctx, err)
		}
	})
	select {
	case err := <-answer:
		if errorx.IsOfType(err, fold.Outdated) {
			return r.pollRow(ctx)
		}
		return err
	case <-notice.Done():
		return fold.Unknown.Wrap(notice.Err(), "no answer about the configuration yet")
	}
}

// waitForChange waits up to pollWait for a new revision and applies the answer.
func (r *Rules) waitForChange(ctx context.Context) error {
	sent := r.clock.Now()
	call, cancel := context.WithTimeout(ctx, lateAnswerTimeout)
	defer cancel()
	declared, _, err := r.source.Next(call, r.Declared(), pollWait)
	if err != nil {
		return err
	}
	r.apply(declared, sent)
	return nil
}

// finishLate handles the result of a call that poll no longer waits for.
func (r *Rules) finishLate(ctx context.Context, err error) {
	if errorx.IsOfType(err, fold.Outdated) {
		err = r.Refresh(ctx)
	}
	if err != nil && ctx.Err() == nil {
		r.log.Debug("A late call for the configuration failed.", "error", err)
	}
}

// pollRow reads the whole row instead of its changes, because the table no longer has those since the row was written. It then
// waits, because the next call for changes would fail at once.
func (r *Rules) pollRow(ctx context.Context) error {
	r.log.Debug("Read the whole configuration because its changes are no longer available.")
	if err := r.Refresh(ctx); err != nil {
		return err
	}
	select {
	case <-ctx.Done():
	case <-r.clock.After(pollWait):
	}
	return nil
}

// apply puts a state into force unless a newer one is known. The argument sent is the time at which it was requested. A
// configuration whose revision is lower than the known one is ignored, but not the rest of its state.
func (r *Rules) apply(declared fold.Declared, sent fold.Instant) {
	r.applying.Lock()
	defer r.applying.Unlock()
	r.mu.Lock()
	known := r.declared
	if declared.Position < known.Position {
		r.mu.Unlock()
		return
	}
	lowerRevision := r.index != nil && declared.Rules.Revision < known.Rules.Revision
	if lowerRevision {
		evacuated := declared.Rules.Evacuated
		declared.Rules = known.Rules
		declared.Rules.Evacuated = evacuated
	}
	r.declared = declared
	r.confirmedAt = max(r.confirmedAt, sent)
	newRules := r.index == nil || declared.Rules.Revision > known.Rules.Revision
	newEvacuation := !slices.Equal(declared.Rules.Evacuated, known.Rules.Evacuated)
	if newRules || newEvacuation {
		r.index = book.New(declared.Rules)
	}
	r.mu.Unlock()
	if lowerRevision && declared.Version != known.Version {
		r.log.Warn("Ignored a configuration with a lower revision than the one in force.", "version", declared.Version, "revision", known.Rules.Revision)
	}
	if newRules {
		r.log.Info("Configuration in force.", "revision", declared.Rules.Revision, "queues", len(declared.Rules.Queues), "teams", len(declared.Rules.Teams))
	}
	if newEvacuation {
		r.log.Info("The evacuated failure domains changed.", "domains", declared.Rules.Evacuated, "before", known.Rules.Evacuated)
	}
	if newRules || newEvacuation {
		r.changed(declared.Rules)
	}
}

// Resend calls the function for changes with the newest configuration. A receiver that was added after a change uses it to
// learn of the change.
func (r *Rules) Resend() {
	r.applying.Lock()
	defer r.applying.Unlock()
	r.mu.Lock()
	index, rules := r.index, r.declared.Rules
	r.mu.Unlock()
	if index != nil {
		r.changed(rules)
	}
}
