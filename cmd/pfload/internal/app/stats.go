package app

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range of the histograms, in microseconds, and their precision.
const (
	minMicros         = 1
	maxMicros         = int64(2 * time.Minute / time.Microsecond)
	significantDigits = 3
)

// phaseStats collects the outcomes and latencies of the requests of one phase.
type phaseStats struct {
	phase  phase
	unsent atomic.Int64

	mu       sync.Mutex
	accounts []*accountStats
	// startDelay is how long after their due time requests were started.
	startDelay *hdrhistogram.Histogram
	// outcomes is keyed by the number of the request.
	outcomes map[int]outcome
}

// accountStats holds the counts and latencies of one account in one phase.
type accountStats struct {
	name string
	// late counts the answers after the deadline, which are also counted in answered.
	offered, answered, late, refused, unknown, wrong int
	latency                                          *hdrhistogram.Histogram
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(minMicros, maxMicros, significantDigits)
}

func newPhaseStats(accounts []account, p phase) *phaseStats {
	s := &phaseStats{phase: p, startDelay: newHistogram(), outcomes: make(map[int]outcome)}
	for _, a := range accounts {
		s.accounts = append(s.accounts, &accountStats{name: a.name, latency: newHistogram()})
	}
	return s
}

func (s *phaseStats) recordOffered(r request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.accounts[r.account].offered++
}

func (s *phaseStats) recordStart(delay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	recordDuration(s.startDelay, delay)
}

// recordOutcome records the outcome of a request and its latency, which is measured from when the request was due.
func (s *phaseStats) recordOutcome(r request, result outcome, latency, timeout time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outcomes[r.number] = result
	a := s.accounts[r.account]
	switch result {
	case outcomeAnswered:
		a.answered++
		if latency > timeout {
			a.late++
		}
		recordDuration(a.latency, latency)
	case outcomeRefused:
		a.refused++
	case outcomeUnknown:
		a.unknown++
	case outcomeWrong:
		a.wrong++
	case outcomeUnsent:
	}
}

func recordDuration(h *hdrhistogram.Histogram, d time.Duration) {
	// RecordValue fails only outside the range of the histogram, to which the value is clamped.
	_ = h.RecordValue(min(max(d.Microseconds(), minMicros), maxMicros))
}

// total returns the sum over all accounts.
func (s *phaseStats) total() *accountStats {
	all := &accountStats{name: "all", latency: newHistogram()}
	for _, a := range s.accounts {
		all.offered += a.offered
		all.answered += a.answered
		all.late += a.late
		all.refused += a.refused
		all.unknown += a.unknown
		all.wrong += a.wrong
		all.latency.Merge(a.latency)
	}
	return all
}
