package store_test

import (
	"context"
	"sync"
	"time"

	"plantainfold.example/fold"
	"plantainfold.example/fold/plat"
)

// outcome is what a scripted table does with one call.
type outcome int

const (
	works outcome = iota
	// fails has no effect and no reply.
	fails
	// loses takes effect without a reply.
	loses
	// delays takes effect when a later call with release comes, or at the end.
	delays
	release
	outcomes
)

// scriptTable is a table whose calls end as a script says; it records the writes of every commit that took effect.
type scriptTable struct {
	*plat.Table
	script []outcome

	mu      sync.Mutex
	calls   int
	commits int
	held    []fold.Txn
	applied [][]fold.Put
}

func (s *scriptTable) next() outcome {
	if len(s.script) == 0 {
		return works
	}
	s.calls++
	return s.script[s.calls%len(s.script)]
}

func (s *scriptTable) Get(ctx context.Context, key string) (fold.Row, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.next() == fails {
		return fold.Row{}, fold.Unknown.New("no reply")
	}
	return s.Table.Get(ctx, key)
}

func (s *scriptTable) Commit(ctx context.Context, t fold.Txn) (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.commits++
	switch s.next() {
	case fails:
		return 0, fold.Unknown.New("no reply")
	case loses:
		_, _ = s.apply(ctx, t)
		return 0, fold.Unknown.New("no reply")
	case delays:
		s.held = append(s.held, t)
		return 0, fold.Unknown.New("no reply")
	case release:
		s.releaseAll(ctx)
	default:
	}
	return s.apply(ctx, t)
}

func (s *scriptTable) releaseAll(ctx context.Context) {
	for _, t := range s.held {
		_, _ = s.apply(ctx, t)
	}
	s.held = nil
}

func (s *scriptTable) apply(ctx context.Context, t fold.Txn) (int64, error) {
	version, err := s.Table.Commit(ctx, t)
	if err == nil {
		s.applied = append(s.applied, t.Puts)
	}
	return version, err
}

// bubbleClock follows the time of a synctest bubble.
type bubbleClock struct{ began time.Time }

func (c bubbleClock) Now() fold.Instant { return fold.Instant(time.Since(c.began)) }

func (c bubbleClock) After(d time.Duration) <-chan time.Time { return time.After(d) }
