package node

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/joomcode/errorx"

	"plantainfold.example/fold"
)

// tableReportInterval is the shortest time between two logs about calls to the table that failed.
const tableReportInterval = 3 * time.Second

// tableCalls sums up calls of one kind since the last log about them.
type tableCalls struct {
	calls, overloaded, unavailable, unknown int
	maxTime                                 time.Duration
}

// add adds a call that has ended.
func (c *tableCalls) add(took time.Duration, err error) {
	c.calls++
	c.maxTime = max(c.maxTime, took)
	switch {
	case err == nil, errorx.IsOfType(err, fold.NotFound), errorx.IsOfType(err, fold.Conflict):
	case errorx.IsOfType(err, fold.Overload):
		c.overloaded++
	case fold.DidNotRun(err):
		c.unavailable++
	default:
		c.unknown++
	}
}

func (c *tableCalls) failed() int {
	return c.overloaded + c.unavailable + c.unknown
}

// observedTable logs how many calls to a table fail, and why.
type observedTable struct {
	table fold.Table
	clock fold.Clock
	log   hclog.Logger

	mu             sync.Mutex
	since          fold.Instant
	commits, reads tableCalls
	lastErr        error
}

var _ fold.Table = &observedTable{}

func newObservedTable(table fold.Table, clock fold.Clock, log hclog.Logger) *observedTable {
	return &observedTable{table: table, clock: clock, log: log.Named("table"), since: clock.Now()}
}

// Get returns a row.
func (t *observedTable) Get(ctx context.Context, key string) (fold.Row, error) {
	sent := t.clock.Now()
	row, err := t.table.Get(ctx, key)
	t.observe(&t.reads, sent, err)
	return row, err
}

// Scan returns up to limit rows with the prefix whose keys are greater than after.
func (t *observedTable) Scan(ctx context.Context, prefix, after string, limit int) ([]fold.Row, error) {
	sent := t.clock.Now()
	rows, err := t.table.Scan(ctx, prefix, after, limit)
	t.observe(&t.reads, sent, err)
	return rows, err
}

// Commit applies a transaction.
func (t *observedTable) Commit(ctx context.Context, txn fold.Txn) (int64, error) {
	sent := t.clock.Now()
	version, err := t.table.Commit(ctx, txn)
	t.observe(&t.commits, sent, err)
	return version, err
}

// observe adds a call that has ended, and logs the sums at most once in tableReportInterval.
func (t *observedTable) observe(into *tableCalls, sent fold.Instant, err error) {
	now := t.clock.Now()
	t.mu.Lock()
	failedBefore := into.failed()
	into.add(now.Sub(sent), err)
	if into.failed() > failedBefore {
		t.lastErr = err
	}
	commits, reads, lastErr, since := t.commits, t.reads, t.lastErr, t.since
	due := now.Sub(since) >= tableReportInterval
	if due {
		t.commits, t.reads, t.lastErr, t.since = tableCalls{}, tableCalls{}, nil, now
	}
	t.mu.Unlock()
	if !due || commits.failed()+reads.failed() == 0 {
		return
	}
	t.log.Warn("Calls to the table failed.", "within", now.Sub(since).String(),
		"commits", commits.calls, "commitsOverloaded", commits.overloaded, "commitsUnavailable", commits.unavailable, "commitsUnknown", commits.unknown, "slowestCommit", commits.maxTime.String(),
		"reads", reads.calls, "readsOverloaded", reads.overloaded, "readsUnavailable", reads.unavailable, "readsUnknown", reads.unknown, "slowestRead", reads.maxTime.String(),
		"error", lastErr)
}
