package store

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/joomcode/errorx"

	"plantainfold.example/fold"
)

// Limits of the breaker.
const (
	// breakAfter is the number of calls in a row without an answer that opens the breaker.
	breakAfter = 3
	minBreak   = 250 * time.Millisecond
	// maxBreak bounds the wait between probes. Entries learn of the return of the table service from each other within
	// two heartbeats and then need their own renewal, so a longer wait would stop placements.
	maxBreak = time.Second
)

// Breaker is a Table that stops calling another one that does not answer. After a wait with jitter one call goes
// through as a probe. Reads and writes are judged by themselves, because either may fail alone.
type Breaker struct {
	table  fold.Table
	reads  *gate
	writes *gate
}

var _ fold.Table = &Breaker{}

// NewBreaker returns t behind a breaker; random spreads the probes of different entries.
func NewBreaker(t fold.Table, clock fold.Clock, random *rand.Rand) *Breaker {
	shared := &source{random: random}
	return &Breaker{table: t, reads: newGate(clock, shared), writes: newGate(clock, shared)}
}

// Get returns a row.
func (b *Breaker) Get(ctx context.Context, key string) (fold.Row, error) {
	return pass(b.reads, func() (fold.Row, error) { return b.table.Get(ctx, key) })
}

// Scan returns rows with the prefix.
func (b *Breaker) Scan(ctx context.Context, prefix, after string, limit int) ([]fold.Row, error) {
	return pass(b.reads, func() ([]fold.Row, error) { return b.table.Scan(ctx, prefix, after, limit) })
}

// Commit applies a transaction; an Unavailable error means that it was not sent.
func (b *Breaker) Commit(ctx context.Context, t fold.Txn) (int64, error) {
	return pass(b.writes, func() (int64, error) { return b.table.Commit(ctx, t) })
}

// pass makes a call if the gate lets it through and tells the gate whether it was answered.
func pass[T any](g *gate, call func() (T, error)) (T, error) {
	if !g.enter() {
		var zero T
		return zero, fold.Refuse(fold.Unavailable, "retry in a second", "the table service does not answer")
	}
	v, err := call()
	g.leave(!errorx.IsOfType(err, fold.Unknown))
	return v, err
}

// gate decides which calls go through.
type gate struct {
	clock  fold.Clock
	random *source

	mu      sync.Mutex
	misses  int
	wait    time.Duration
	until   fold.Instant
	probing bool
}

func newGate(clock fold.Clock, random *source) *gate {
	return &gate{clock: clock, random: random}
}

// enter reports whether a call may be made; leave must follow.
func (g *gate) enter() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.misses < breakAfter {
		return true
	}
	if g.probing || g.clock.Now() < g.until {
		return false
	}
	g.probing = true
	return true
}

func (g *gate) leave(answered bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.probing = false
	if answered {
		g.misses = 0
		g.wait = 0
		return
	}
	g.misses++
	if g.misses < breakAfter {
		return
	}
	g.wait = min(max(2*g.wait, minBreak), maxBreak)
	// Half of the wait is fixed and half is random.
	g.until = g.clock.Now().Add(g.wait/2 + g.random.upTo(g.wait/2))
}

// source is a random source for concurrent use.
type source struct {
	mu     sync.Mutex
	random *rand.Rand
}

func (s *source) upTo(d time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Duration(s.random.Int64N(int64(d)))
}
