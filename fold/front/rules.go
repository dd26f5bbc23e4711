package front

import (
	"context"
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
	// readTimeout bounds a call to the table for a caller, and a read of the configuration.
	readTimeout = 700 * time.Millisecond
)

// Rules follows the declared configuration.
type Rules struct {
	source fold.RulesSource
	clock  fold.Clock
	log    hclog.Logger
	// changed is called with each new revision.
	changed func(fold.Rules)
	// askOther asks another entry for a configuration newer than the version. It returns that configuration or nil, and the
	// version and the age of what the other entry knows.
	askOther func(ctx context.Context, version int64) (*fold.Rules, int64, time.Duration, error)

	mu sync.Mutex
	// index is the newest configuration, or nil before the first is read.
	index *book.Index
	// version is the version of its row.
	version int64
	// confirmedAt is when the call that last confirmed the configuration was sent.
	confirmedAt fold.Instant

	// calls are the calls that wait for a new revision.
	calls sync.WaitGroup
}

// NewRules returns a follower of the source; changed is called with each new revision.
func NewRules(source fold.RulesSource, clock fold.Clock, log hclog.Logger, changed func(fold.Rules)) *Rules {
	return &Rules{source: source, clock: clock, log: log.Named("rules"), changed: changed}
}

// SetFallback sets the function that asks another entry while the source does not answer.
func (r *Rules) SetFallback(askOther func(ctx context.Context, version int64) (*fold.Rules, int64, time.Duration, error)) {
	r.askOther = askOther
}

// Current returns the newest configuration, its version and the time since it was last confirmed. The index is nil before the
// first configuration is read.
func (r *Rules) Current() (*book.Index, int64, time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.index, r.version, r.clock.Now().Sub(r.confirmedAt)
}

// Run keeps the configuration up to date until ctx ends.
func (r *Rules) Run(ctx context.Context) {
	defer r.calls.Wait()
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
	index, version, age := r.Current()
	if r.askOther == nil || index == nil || age < askOtherAge {
		return
	}
	sent := r.clock.Now()
	rules, otherVersion, otherAge, err := r.askOther(ctx, version)
	if err != nil {
		r.log.Debug("Could not get the configuration from another entry.", "error", err)
		return
	}
	if rules == nil {
		r.apply(index.Rules(), otherVersion, false, sent.Add(-otherAge))
		return
	}
	r.apply(*rules, otherVersion, true, sent.Add(-otherAge))
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
	_, version, _ := r.Current()
	sent := r.clock.Now()
	call, cancel := context.WithTimeout(ctx, lateAnswerTimeout)
	defer cancel()
	rules, next, changed, err := r.source.Next(call, version, pollWait)
	if err != nil {
		return err
	}
	r.apply(rules, next, changed, sent)
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

// Refresh reads the newest configuration from the source.
func (r *Rules) Refresh(ctx context.Context) error {
	sent := r.clock.Now()
	call, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	rules, version, err := r.source.Read(call)
	if err != nil {
		return err
	}
	r.apply(rules, version, true, sent)
	return nil
}

// apply puts a configuration into force unless its version is older than the current one. The argument sent is the time at
// which it was requested.
func (r *Rules) apply(rules fold.Rules, version int64, changed bool, sent fold.Instant) {
	r.mu.Lock()
	if version < r.version {
		r.mu.Unlock()
		return
	}
	r.version = version
	r.confirmedAt = max(r.confirmedAt, sent)
	newer := changed && (r.index == nil || rules.Revision > r.index.Rules().Revision)
	if newer {
		r.index = book.New(rules)
	}
	r.mu.Unlock()
	if newer {
		r.log.Info("Configuration in force.", "revision", rules.Revision, "queues", len(rules.Queues), "teams", len(rules.Teams))
		r.changed(rules)
	}
}
