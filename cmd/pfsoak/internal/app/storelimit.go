package app

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"plantainfold.example/fold"
)

// storeRates are the rates that the store permits, as its page tells them.
type storeRates struct {
	// writes and reads are calls of all entries together in a second.
	writes, reads float64
	// txnTime is how long a partition takes for one transaction. A transaction for which it would have to wait for longer than
	// maxPartitionWait is turned away.
	txnTime time.Duration
	// latency is the time of an answer.
	latency time.Duration
}

const (
	// maxPartitionWait is the longest wait of a transaction in a partition.
	maxPartitionWait = time.Second
	// maxLateWrite is the longest time after which a write whose answer was lost is performed.
	maxLateWrite = 6 * time.Second
	minLateWrite = time.Second
	// lostWriteTimeout limits how long the connection of a lost answer stays open.
	lostWriteTimeout = 10 * time.Second
)

// largeStoreRates are those of a store of 147 entries.
var largeStoreRates = storeRates{writes: 3200, reads: 16000, txnTime: time.Second / 300, latency: 4 * time.Millisecond}

// storeState is the state of the store's limits and of its faults, which all entries share.
type storeState struct {
	rates storeRates

	mu     sync.Mutex
	random *rand.Rand
	// partitionFree is when the partition has performed the transactions that wait.
	partitionFree time.Time
	// second is the second that writes and reads are counted in.
	second        int64
	writes, reads float64
	// slowFactor multiplies the times of the store, and lostShare is the share of the writes whose answers are lost.
	slowFactor, lostShare float64
	// turnedAway holds the entries whose calls are turned away, and turnAway the error for them.
	turnedAway map[string]bool
	turnAway   error
	// counts are the calls by entry since the last report.
	counts map[string]*storeCounts
}

// storeCounts counts the calls of an entry.
type storeCounts struct {
	writes, reads, rejectedWrites, rejectedReads int
}

func newStoreState(rates storeRates, seed uint64) *storeState {
	return &storeState{rates: rates, random: rand.New(rand.NewPCG(seed, 23)), slowFactor: 1, counts: make(map[string]*storeCounts)}
}

// setTurnedAway makes the store answer the calls of some entries with an error. An error of nil ends that.
func (s *storeState) setTurnedAway(entries []*entry, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.turnedAway, s.turnAway = make(map[string]bool), err
	for _, e := range entries {
		s.turnedAway[e.settings.Name] = err != nil
	}
}

func (s *storeState) setSlowFactor(factor float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slowFactor = factor
}

func (s *storeState) setLostShare(share float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lostShare = share
}

// admission is what the store does with a call.
type admission struct {
	// wait is the time until the call is performed, which is after the usual time for a late one, and lost is set if its answer is lost.
	wait time.Duration
	lost bool
	err  error
}

// errOverload is the store's answer 429.
func errOverload() error {
	return fold.Refuse(fold.Overload, "call less often", "the store turns this call away")
}

// admit decides about a call of an entry.
func (s *storeState) admit(entry string, write bool) admission {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	count := s.counts[entry]
	if count == nil {
		count = &storeCounts{}
		s.counts[entry] = count
	}
	a := s.decide(now, entry, write)
	switch {
	case write && a.err != nil:
		count.rejectedWrites++
	case write:
		count.writes++
	case a.err != nil:
		count.rejectedReads++
	default:
		count.reads++
	}
	return a
}

// decide does the work of admit. The caller holds the lock.
func (s *storeState) decide(now time.Time, entry string, write bool) admission {
	if s.turnedAway[entry] {
		return admission{err: s.turnAway}
	}
	if second := now.Unix(); second != s.second {
		s.second, s.writes, s.reads = second, 0, 0
	}
	latency := time.Duration(float64(s.rates.latency) * s.slowFactor)
	if !write {
		if s.reads++; s.reads > s.rates.reads {
			return admission{err: errOverload()}
		}
		return admission{wait: latency}
	}
	if s.writes++; s.writes > s.rates.writes {
		return admission{err: errOverload()}
	}
	wait := max(0, s.partitionFree.Sub(now))
	if wait > maxPartitionWait {
		return admission{err: errOverload()}
	}
	s.partitionFree = now.Add(wait + time.Duration(float64(s.rates.txnTime)*s.slowFactor))
	if s.random.Float64() < s.lostShare {
		a := admission{wait: s.partitionFree.Sub(now), lost: true}
		if s.random.IntN(2) == 0 {
			a.wait = minLateWrite + time.Duration(s.random.Int64N(int64(maxLateWrite-minLateWrite)))
		}
		return a
	}
	return admission{wait: s.partitionFree.Sub(now) + latency}
}

// limitedStore is the store as one entry sees it, with the limits and the faults of a storeState.
type limitedStore struct {
	linkedStore
	state *storeState
}

var (
	_ fold.Table      = limitedStore{}
	_ fold.ChangeFeed = limitedStore{}
)

// admitRead waits until a read is performed.
func (l limitedStore) admitRead() error {
	a := l.state.admit(l.entry, false)
	time.Sleep(a.wait)
	return a.err
}

// Commit applies a transaction. It is applied even if the caller has stopped waiting.
func (l limitedStore) Commit(ctx context.Context, txn fold.Txn) (int64, error) {
	a := l.state.admit(l.entry, true)
	if a.err != nil {
		return 0, a.err
	}
	txn.Puts = slices.Clone(txn.Puts)
	if a.lost {
		time.AfterFunc(a.wait, func() { _, _ = l.linkedStore.Commit(context.WithoutCancel(ctx), txn) })
		select {
		case <-ctx.Done():
		case <-time.After(lostWriteTimeout):
		}
		return 0, fold.Unknown.New("the answer was lost")
	}
	time.Sleep(a.wait)
	return l.linkedStore.Commit(context.WithoutCancel(ctx), txn)
}

// Snapshot returns all rows of a table and a version.
func (l limitedStore) Snapshot(ctx context.Context, table string) ([]fold.Row, int64, error) {
	if err := l.admitRead(); err != nil {
		return nil, 0, err
	}
	return l.linkedStore.Snapshot(ctx, table)
}

// Changes returns the changes of a table after the version.
func (l limitedStore) Changes(ctx context.Context, table string, after int64, wait time.Duration) ([]fold.RowChange, int64, error) {
	if err := l.admitRead(); err != nil {
		return nil, 0, err
	}
	return l.linkedStore.Changes(ctx, table, after, wait)
}
