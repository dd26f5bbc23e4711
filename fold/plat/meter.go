package plat

import (
	"context"
	"sync"
	"time"

	"plantainfold.example/fold"
)

// maxMeterSeconds is the number of seconds for which a Meter keeps separate counts. Seconds without calls are left out.
const maxMeterSeconds = 600

// Counts are the numbers of calls that a table completed, failed ones included.
type Counts struct {
	// Second is the latest second with a counted call, in seconds since the meter began to count.
	Second  int64 `json:"second"`
	Reads   int64 `json:"reads"`
	Commits int64 `json:"commits"`
	// Rows is the number of puts and deletes in the commits.
	Rows int64 `json:"rows"`
	// Errors is the number of calls that failed, conflicts included.
	Errors int64 `json:"errors"`
}

// Stats are the counts of a meter.
type Stats struct {
	// Began is the instant when the meter began to count, on the boot clock of the platform.
	Began fold.Instant `json:"began"`
	Total Counts       `json:"total"`
	// Seconds are the counts of the last seconds with at least one call, oldest first.
	Seconds []Counts `json:"seconds"`
}

// Meter is a Table that passes calls to another one and counts them by second.
type Meter struct {
	fold.Table
	clock fold.Clock
	began fold.Instant

	mu      sync.Mutex
	total   Counts
	seconds []Counts
}

var _ fold.Table = &Meter{}

// NewMeter returns a Meter that passes calls to t.
func NewMeter(t fold.Table, clock fold.Clock) *Meter {
	return &Meter{Table: t, clock: clock, began: clock.Now()}
}

// Get returns a row.
func (m *Meter) Get(ctx context.Context, key string) (fold.Row, error) {
	row, err := m.Table.Get(ctx, key)
	m.count(Counts{Reads: 1}, err)
	return row, err
}

// Scan returns up to limit rows with the prefix whose keys are greater than after.
func (m *Meter) Scan(ctx context.Context, prefix, after string, limit int) ([]fold.Row, error) {
	rows, err := m.Table.Scan(ctx, prefix, after, limit)
	m.count(Counts{Reads: 1}, err)
	return rows, err
}

// Commit applies a transaction.
func (m *Meter) Commit(ctx context.Context, t fold.Txn) (int64, error) {
	version, err := m.Table.Commit(ctx, t)
	m.count(Counts{Commits: 1, Rows: int64(len(t.Puts) + len(t.Deletes))}, err)
	return version, err
}

// Stats returns the counts so far.
func (m *Meter) Stats() Stats {
	m.mu.Lock()
	defer m.mu.Unlock()
	return Stats{Began: m.began, Total: m.total, Seconds: append([]Counts(nil), m.seconds...)}
}

// Peak returns the maximum number of commits in one second, over the seconds s with from <= s < to.
func (s Stats) Peak(from, to int64) int64 {
	var peak int64
	for _, c := range s.Seconds {
		if c.Second >= from && c.Second < to {
			peak = max(peak, c.Commits)
		}
	}
	return peak
}

func (m *Meter) count(c Counts, err error) {
	if err != nil {
		c.Errors = 1
	}
	c.Second = int64(m.clock.Now().Sub(m.began) / time.Second)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.total = m.total.plus(c)
	last := len(m.seconds) - 1
	if last >= 0 && m.seconds[last].Second >= c.Second {
		m.seconds[last] = m.seconds[last].plus(c)
		return
	}
	if len(m.seconds) == maxMeterSeconds {
		m.seconds = append(m.seconds[:0], m.seconds[1:]...)
	}
	m.seconds = append(m.seconds, c)
}

// plus returns the sum of the counts. Its second is the later one.
func (c Counts) plus(o Counts) Counts {
	return Counts{
		Second:  max(c.Second, o.Second),
		Reads:   c.Reads + o.Reads,
		Commits: c.Commits + o.Commits,
		Rows:    c.Rows + o.Rows,
		Errors:  c.Errors + o.Errors,
	}
}
