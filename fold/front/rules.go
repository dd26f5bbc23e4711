package front

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"plantainfold.example/fold"
	"plantainfold.example/fold/book"
)

const (
	// ruleWait bounds the wait for a new revision, and so the age of what is known.
	ruleWait = 700 * time.Millisecond
	// ruleTime bounds a call beyond its wait, so that a silent connection is noticed.
	ruleTime = 400 * time.Millisecond
	// rulePause separates tries that failed.
	rulePause = 100 * time.Millisecond
	// askAge is how old the revision must be for another entry to be asked.
	askAge = 400 * time.Millisecond
	// readTime bounds a call to the table on behalf of a caller.
	readTime = 700 * time.Millisecond
)

// Rules follows the declared configuration.
type Rules struct {
	source fold.RulesSource
	clock  fold.Clock
	log    hclog.Logger
	// changed is called with each new revision.
	changed func(fold.Rules)
	// others asks another entry for a revision newer than the version and for the age of what that entry knows.
	others func(ctx context.Context, version int64) (*fold.Rules, int64, time.Duration, error)

	mu      sync.Mutex
	book    *book.Index
	version int64
	// known is when the call was sent that last confirmed the revision.
	known fold.Instant
}

// NewRules returns a follower of the source; changed is called with each new revision.
func NewRules(source fold.RulesSource, clock fold.Clock, log hclog.Logger, changed func(fold.Rules)) *Rules {
	return &Rules{source: source, clock: clock, log: log.Named("rules"), changed: changed}
}

// SetFallback sets how other entries are asked while the source does not answer.
func (r *Rules) SetFallback(others func(ctx context.Context, version int64) (*fold.Rules, int64, time.Duration, error)) {
	r.others = others
}

// Current returns the newest known revision, its version and how long ago it was confirmed; the book is nil before the first.
func (r *Rules) Current() (*book.Index, int64, time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.book, r.version, r.clock.Now().Sub(r.known)
}

// Run follows the configuration until ctx ends.
func (r *Rules) Run(ctx context.Context) {
	lost := false
	for ctx.Err() == nil {
		err := r.step(ctx)
		if err != nil && ctx.Err() == nil {
			if !lost {
				r.log.Warn("Lost contact with the configuration.", "error", err)
			}
			lost = true
			r.askOthers(ctx)
			select {
			case <-ctx.Done():
			case <-r.clock.After(rulePause):
			}
			continue
		}
		if lost && err == nil {
			r.log.Info("Regained contact with the configuration.")
			lost = false
		}
	}
}

// askOthers takes what another entry knows.
func (r *Rules) askOthers(ctx context.Context) {
	b, version, age := r.Current()
	if r.others == nil || b == nil || age < askAge {
		return
	}
	sent := r.clock.Now()
	rules, told, old, err := r.others(ctx, version)
	if err != nil {
		r.log.Debug("No other entry told the configuration.", "error", err)
		return
	}
	if rules == nil {
		r.take(b.Rules(), told, false, sent.Add(-old))
		return
	}
	r.take(*rules, told, true, sent.Add(-old))
}

func (r *Rules) step(ctx context.Context) error {
	if b, _, _ := r.Current(); b == nil {
		return r.Refresh(ctx)
	}
	_, version, _ := r.Current()
	sent := r.clock.Now()
	call, cancel := context.WithTimeout(ctx, ruleWait+ruleTime)
	defer cancel()
	rules, next, changed, err := r.source.Next(call, version, ruleWait)
	if err != nil {
		return err
	}
	r.take(rules, next, changed, sent)
	return nil
}

// Refresh reads the newest revision now.
func (r *Rules) Refresh(ctx context.Context) error {
	sent := r.clock.Now()
	call, cancel := context.WithTimeout(ctx, readTime)
	defer cancel()
	rules, version, err := r.source.Read(call)
	if err != nil {
		return err
	}
	r.take(rules, version, true, sent)
	return nil
}

// take puts a revision in force unless a newer one is.
func (r *Rules) take(rules fold.Rules, version int64, changed bool, sent fold.Instant) {
	r.mu.Lock()
	if version < r.version {
		r.mu.Unlock()
		return
	}
	r.version = version
	r.known = max(r.known, sent)
	fresh := changed && (r.book == nil || rules.Revision > r.book.Rules().Revision)
	if fresh {
		r.book = book.New(rules)
	}
	r.mu.Unlock()
	if fresh {
		r.log.Info("Configuration in force.", "revision", rules.Revision, "queues", len(rules.Queues), "teams", len(rules.Teams))
		r.changed(rules)
	}
}
