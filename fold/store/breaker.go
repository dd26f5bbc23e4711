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
	// failuresToOpen is the number of consecutive unanswered calls that opens the breaker.
	failuresToOpen = 3
	// minProbeWait is the wait before the first probe of an open breaker.
	minProbeWait = 250 * time.Millisecond
	// maxProbeWait bounds the wait between probes. Entries tell each other within two heartbeats that the table service
	// answers again, and then each must renew its own lease. A longer wait would stop placements.
	maxProbeWait = time.Second
)

// Breaker is a circuit breaker around a Table. When the table stops answering, the breaker refuses calls and sends one
// call as a probe after each wait. Reads and writes have separate circuits, because either may fail alone.
type Breaker struct {
	table  fold.Table
	reads  *circuit
	writes *circuit
}

var _ fold.Table = &Breaker{}

// NewBreaker returns t behind a breaker. It should wrap Settled, not the reverse: a lost reply that Settled could resolve
// shows that the table service works. The random source adds jitter, so that entries do not send probes simultaneously.
func NewBreaker(t fold.Table, clock fold.Clock, random *rand.Rand) *Breaker {
	shared := &lockedRandom{random: random}
	return &Breaker{table: t, reads: newCircuit(clock, shared), writes: newCircuit(clock, shared)}
}

// Get reads a row.
func (b *Breaker) Get(ctx context.Context, key string) (fold.Row, error) {
	return callIfAllowed(b.reads, func() (fold.Row, error) { return b.table.Get(ctx, key) })
}

// Scan reads rows whose keys have the prefix.
func (b *Breaker) Scan(ctx context.Context, prefix, after string, limit int) ([]fold.Row, error) {
	return callIfAllowed(b.reads, func() ([]fold.Row, error) { return b.table.Scan(ctx, prefix, after, limit) })
}

// Commit applies a transaction. An Unavailable error means that the transaction was not sent.
func (b *Breaker) Commit(ctx context.Context, t fold.Txn) (int64, error) {
	return callIfAllowed(b.writes, func() (int64, error) { return b.table.Commit(ctx, t) })
}

// callIfAllowed makes a call if the circuit allows it and records whether the table service answered.
func callIfAllowed[T any](g *circuit, call func() (T, error)) (T, error) {
	if !g.allow() {
		var zero T
		return zero, fold.Refuse(fold.Unavailable, "retry in a second", "the table service does not answer")
	}
	v, err := call()
	g.recordResult(!errorx.IsOfType(err, fold.Unknown) && !errorx.IsOfType(err, fold.Unavailable))
	return v, err
}

// circuit counts unanswered calls and decides which calls may be made.
type circuit struct {
	clock  fold.Clock
	random *lockedRandom

	mu       sync.Mutex
	failures int
	wait     time.Duration
	probeAt  fold.Instant
	probing  bool
}

func newCircuit(clock fold.Clock, random *lockedRandom) *circuit {
	return &circuit{clock: clock, random: random}
}

// allow reports whether a call may be made. The caller must call recordResult after each allowed call.
func (g *circuit) allow() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.failures < failuresToOpen {
		return true
	}
	if g.probing || g.clock.Now() < g.probeAt {
		return false
	}
	g.probing = true
	return true
}

func (g *circuit) recordResult(answered bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.probing = false
	if answered {
		g.failures = 0
		g.wait = 0
		return
	}
	g.failures++
	if g.failures < failuresToOpen {
		return
	}
	g.wait = min(max(2*g.wait, minProbeWait), maxProbeWait)
	// Half of the wait is fixed and half is random.
	g.probeAt = g.clock.Now().Add(g.wait/2 + g.random.upTo(g.wait/2))
}

// lockedRandom is a random source that is safe for concurrent use.
type lockedRandom struct {
	mu     sync.Mutex
	random *rand.Rand
}

func (s *lockedRandom) upTo(d time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Duration(s.random.Int64N(int64(d)))
}
