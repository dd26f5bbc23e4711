package plat

import (
	"context"
	"sync"
	"time"

	"plantainfold.example/fold"
)

// meterSeconds is for how many seconds a Meter keeps counts.
const meterSeconds = 600

// Counts are calls of a table that arrived, whether they succeeded or not.
type Counts struct {
	// Second is the number of the second since the meter began.
	Second  int64 `json:"second"`
	Reads   int64 `json:"reads"`
	Commits int64 `json:"commits"`
	// Rows are the puts and deletes of the commits.
	Rows int64 `json:"rows"`
	// Errors are the calls that failed, conflicts included.
	Errors int64 `json:"errors"`
}

// Stats are the counts of a meter.
type Stats struct {
	Total Counts `json:"total"`
	// Seconds are the last seconds with at least one call, oldest first.
	Seconds []Counts `json:"seconds"`
}

// Meter is a Table that counts the calls that reach another one, by second.
type Meter struct {
	fold.Table
	clock fold.Clock
	began fold.Instant

	mu      sync.Mutex
	total   Counts
	seconds []Counts
}

var _ fold.Table = &Meter{}

// NewMeter returns a Table that counts calls of t.
func NewMeter(t fold.Table, clock fold.Clock) *Meter {
	return &Meter{Table: t, clock: clock, began: clock.Now()}
}

// Get returns a row.
func (m *Meter) Get(ctx context.Context, key string) (fold.Row, error) {
	row, err := m.Table.Get(ctx, key)
	m.count(Counts{Reads: 1}, err)
	return row, err
}

// Scan returns rows with the prefix.
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
	return Stats{Total: m.total, Seconds: append([]Counts(nil), m.seconds...)}
}

// Peak returns the most commits that arrived in any one of the given seconds.
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
	if len(m.seconds) == meterSeconds {
		m.seconds = append(m.seconds[:0], m.seconds[1:]...)
	}
	m.seconds = append(m.seconds, c)
}

// plus returns the sum under the later second.
func (c Counts) plus(o Counts) Counts {
	return Counts{
		Second:  max(c.Second, o.Second),
		Reads:   c.Reads + o.Reads,
		Commits: c.Commits + o.Commits,
		Rows:    c.Rows + o.Rows,
		Errors:  c.Errors + o.Errors,
	}
}
