package app

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range and precision of the histograms, in microseconds and significant digits.
const (
	lowest  = 1
	highest = int64(2 * time.Minute / time.Microsecond)
	digits  = 3
)

// tally counts the requests of one phase.
type tally struct {
	phase  phase
	unsent atomic.Int64

	mu       sync.Mutex
	accounts []*counts
	// lag is how late the tool itself started requests.
	lag   *hdrhistogram.Histogram
	fates map[int]fate
}

// counts are the figures of one account in one phase.
type counts struct {
	name                                             string
	offered, answered, late, refused, unknown, wrong int
	latency                                          *hdrhistogram.Histogram
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(lowest, highest, digits)
}

func newTally(accounts []account, p phase) *tally {
	t := &tally{phase: p, lag: newHistogram(), fates: make(map[int]fate)}
	for _, a := range accounts {
		t.accounts = append(t.accounts, &counts{name: a.name, latency: newHistogram()})
	}
	return t
}

func (t *tally) offer(s shot) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.accounts[s.account].offered++
}

func (t *tally) begun(lag time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	record(t.lag, lag)
}

// ended counts a fate; took counts from when the request was due.
func (t *tally) ended(s shot, f fate, took, timeout time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.fates[s.number] = f
	c := t.accounts[s.account]
	switch f {
	case fateAnswered:
		c.answered++
		if took > timeout {
			c.late++
		}
		record(c.latency, took)
	case fateRefused:
		c.refused++
	case fateUnknown:
		c.unknown++
	case fateWrong:
		c.wrong++
	case fateUnsent:
	}
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	// RecordValue fails only beyond the range, which the clamp excludes.
	_ = h.RecordValue(min(max(d.Microseconds(), lowest), highest))
}

// sum adds up the accounts.
func (t *tally) sum() *counts {
	all := &counts{name: "all", latency: newHistogram()}
	for _, c := range t.accounts {
		all.offered += c.offered
		all.answered += c.answered
		all.late += c.late
		all.refused += c.refused
		all.unknown += c.unknown
		all.wrong += c.wrong
		all.latency.Merge(c.latency)
	}
	return all
}
