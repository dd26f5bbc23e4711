package fold

import (
	"context"
	"time"
)

// RulesSource reads the declared configuration.
type RulesSource interface {
	// Read returns the newest revision and the version of its row. It returns a NotFound error if no configuration has been
	// declared yet.
	Read(ctx context.Context) (Rules, int64, error)
	// Next waits up to wait for a revision that is newer than the row version after. It returns the row version to pass to
	// the next call and reports whether there was a newer revision.
	Next(ctx context.Context, after int64, wait time.Duration) (rules Rules, version int64, changed bool, err error)
	// Check returns the transaction condition that the row of the configuration still has the version.
	Check(version int64) Check
}
