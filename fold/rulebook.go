package fold

import (
	"context"
	"time"
)

// RulesSource reads what the operator has declared.
type RulesSource interface {
	// Read returns the newest state. It returns a NotFound error if no configuration has been declared yet.
	Read(ctx context.Context) (Declared, error)
	// Next waits up to wait for changes after the position of the known state. It returns the known state with these changes and
	// with the position to continue from, and reports whether there were any. An Outdated error means that the changes are no
	// longer available.
	Next(ctx context.Context, known Declared, wait time.Duration) (declared Declared, changed bool, err error)
	// Check returns the transaction condition that the row of the configuration still has the version.
	Check(version int64) Check
}
