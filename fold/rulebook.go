package fold

import (
	"context"
	"time"
)

// RulesSource reads the declared configuration.
type RulesSource interface {
	// Read returns the newest revision and the version of its row. It returns a NotFound error before the first one.
	Read(ctx context.Context) (Rules, int64, error)
	// Next waits up to wait for a revision after the version; it returns the version to go on from and reports whether
	// there was one.
	Next(ctx context.Context, after int64, wait time.Duration) (rules Rules, version int64, changed bool, err error)
	// Check returns the condition that the row of the configuration still has the version.
	Check(version int64) Check
}
