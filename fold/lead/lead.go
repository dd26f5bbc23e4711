package lead

import (
	"context"
	"time"

	"github.com/joomcode/errorx"

	"plantainfold.example/fold"
	"plantainfold.example/fold/codec"
	"plantainfold.example/fold/lease"
)

// OwnerKey is the key of the row that names the owner.
const OwnerKey = "lead/owner"

const (
	// RenewInterval is the longest time between two writes of the owner's row.
	RenewInterval = 300 * time.Millisecond
	// TakeoverDelay is how long the row has to stay unchanged before another entry takes over. It allows for two lost
	// renewals in a row.
	TakeoverDelay = 1600 * time.Millisecond
	// takeoverDelayReads times the duration of a read is added to TakeoverDelay and SilentTakeoverDelay, because a commit to a
	// slow table takes longer than a read.
	takeoverDelayReads = 5
	// SilentTakeoverDelay replaces TakeoverDelay for an owner that does not answer other entries. It is longer than
	// RenewInterval.
	SilentTakeoverDelay = 500 * time.Millisecond
	// PollInterval is how often the other entries ask the owner whether it can commit. They read the row if it does not
	// confirm this. The interval bounds the time until they notice that the owner has handed over, except for entries that
	// are missing from a full list in the row: these ask less often.
	PollInterval = 250 * time.Millisecond
	// commitTimeout limits one attempt to commit to a table that answers within milliseconds.
	commitTimeout = 900 * time.Millisecond
	// slowCommitFactor raises commitTimeout to this multiple of the usual duration of a commit. Repeating a commit before
	// that would only slow down a slow table further.
	slowCommitFactor = 4
	// maxCommitTimeout is the longest limit of one attempt.
	maxCommitTimeout = 3 * time.Second
	// usualCommitWeight is the weight of the last commit in the moving average of the durations of commits.
	usualCommitWeight = 0.3
	// commitRetryDelay is the delay between two attempts to commit.
	commitRetryDelay = 60 * time.Millisecond
)

// Owner is the content of the owner's row.
type Owner struct {
	// Entry is the name of the owning entry. It is empty after the owner has handed over.
	Entry string `json:"entry"`
	// Incarnation identifies one process of the entry.
	Incarnation string `json:"incarnation"`
	// Address is the address at which other entries reach the owner.
	Address string `json:"address"`
	// Epoch increases with each takeover. Hosts refuse orders of an older epoch.
	Epoch int64 `json:"epoch"`
	// CommitCount is the number of commits in the epoch. It shows whether a commit without an answer succeeded.
	CommitCount int64 `json:"count"`
	// Entries holds the incarnations of the other entries that are best able to own the pool, the strongest first. The owner
	// announces to them that it starts runs before they are recorded. An entry that is not listed must expect such runs when
	// it takes over.
	Entries []string `json:"entries,omitempty"`
	// FitCount is how many of Entries, counted from the first, are strong enough to own the pool.
	FitCount int `json:"strong,omitempty"`
	// Waiting is the number of jobs, for each queue, that have not started any task.
	Waiting map[string]int `json:"waiting,omitempty"`
	// Leases bounds the leases of this owner and earlier ones, counted from before the row was written. It is nil unless the owner has
	// handed over.
	Leases *lease.Bounds `json:"leases,omitempty"`
}

// TakeoverDelayFor returns how long the row has to stay unchanged before another entry takes over, if a read of the table
// takes the given time; silent reports whether the owner does not answer other entries.
func TakeoverDelayFor(readTime time.Duration, silent bool) time.Duration {
	if silent {
		return SilentTakeoverDelay + takeoverDelayReads*readTime
	}
	return TakeoverDelay + takeoverDelayReads*readTime
}

// Read returns the owner and the version of its row. A row that does not exist has version 0.
func Read(ctx context.Context, table fold.Table) (Owner, int64, error) {
	row, err := table.Get(ctx, OwnerKey)
	if errorx.IsOfType(err, fold.NotFound) {
		return Owner{}, 0, nil
	}
	if err != nil {
		return Owner{}, 0, err
	}
	owner, err := codec.Decode[Owner](row.Value)
	return owner, row.Version, err
}

// Term is the ownership of the pool in one epoch. Commit must not be called concurrently.
type Term struct {
	table fold.Table
	clock fold.Clock
	// epoch and began never change and may be read during a commit. began is when TakeOver was called.
	epoch   int64
	began   fold.Instant
	owner   Owner
	version int64
	// usualCommit is the moving average of the durations of commit attempts.
	usualCommit time.Duration
	// outcomeUnknown is true if the outcome of the last commit is not known.
	outcomeUnknown bool
}

// PoolState holds the fields of Owner that the owner sets with each commit.
type PoolState struct {
	Waiting  map[string]int
	Entries  []string
	FitCount int
}

// TakeOver takes the ownership over from the previous owner, whose row has the given version; next describes the
// new owner. A Fenced or Conflict error means that another entry was faster; the other errors are those of Commit. After any
// error except Unknown the takeover has no effect.
func TakeOver(ctx context.Context, table fold.Table, clock fold.Clock, previous Owner, version int64, next Owner) (*Term, error) {
	next.Epoch, next.CommitCount, next.Waiting, next.Entries, next.FitCount, next.Leases = previous.Epoch+1, 0, previous.Waiting, nil, 0, nil
	t := &Term{table: table, clock: clock, epoch: next.Epoch, began: clock.Now(), owner: next, version: version}
	if err := t.commitUntilKnown(ctx, fold.Txn{}, t.owner); err != nil {
		return nil, err
	}
	return t, nil
}

// Epoch returns the epoch of the term.
func (t *Term) Epoch() int64 {
	return t.epoch
}

// Began returns an instant before the commit that began the term was sent.
func (t *Term) Began() fold.Instant {
	return t.began
}

// Version returns the table version of the last commit. It must not be called during a commit.
func (t *Term) Version() int64 {
	return t.version
}

// Commit applies the transaction and renews the ownership. It tries until the outcome is known; an Unknown error means that
// ctx ended first, or that another entry took over after an attempt without an answer. A Fenced error means that another
// entry has taken over and nothing was written. A Conflict error means that a check of txn failed and nothing was written. An
// Unavailable or Overload error means that no attempt has taken or will take effect.
func (t *Term) Commit(ctx context.Context, txn fold.Txn, state PoolState) error {
	next := t.owner
	next.CommitCount++
	next.Waiting, next.Entries, next.FitCount = state.Waiting, state.Entries, state.FitCount
	return t.commitUntilKnown(ctx, txn, next)
}

// Release gives up the ownership so that another entry can take over at once. The owner must have stopped granting leases; bounds bounds
// those that it and earlier owners have granted.
func (t *Term) Release(ctx context.Context, bounds lease.Bounds) error {
	if t.outcomeUnknown {
		// The last commit may have been applied; the release then follows it.
		found, version, err := t.readOwner(ctx)
		if err == nil && found.Incarnation == t.owner.Incarnation && found.Epoch == t.epoch {
			t.owner, t.version = found, version
		}
	}
	next := t.owner
	next.CommitCount++
	next.Entry, next.Leases = "", &bounds
	return t.commitUntilKnown(ctx, fold.Txn{}, next)
}

// commitUntilKnown commits the transaction together with the owner's row. An attempt without an answer may still take
// effect later, but only while the row has the expected version. Repeating the transaction is therefore safe, and one of
// the attempts has succeeded once the row contains the commit count of next.
func (t *Term) commitUntilKnown(ctx context.Context, txn fold.Txn, next Owner) error {
	value, err := codec.Encode(next)
	if err != nil {
		return err
	}
	// A conflict names the first check that failed. The check of the owner's row comes first, so a conflict on another row
	// proves that this entry still owns the pool.
	txn.Checks = append([]fold.Check{{Key: OwnerKey, Version: t.version}}, txn.Checks...)
	txn.Puts = append(txn.Puts, fold.Put{Key: OwnerKey, Value: value})
	mayHaveRun := false
	for {
		version, err := t.tryCommit(ctx, txn)
		mayHaveRun = mayHaveRun || !fold.DidNotRun(err)
		if err == nil {
			t.owner, t.version = next, version
			return nil
		}
		if key := fold.ConflictKey(err); key != "" && key != OwnerKey {
			return err
		}
		if errorx.IsOfType(err, fold.Conflict) {
			return t.resolveConflict(ctx, next, err, mayHaveRun)
		}
		if errorx.IsOfType(err, fold.Invalid) || errorx.IsOfType(err, fold.TooLarge) {
			return err
		}
		if !mayHaveRun && errorx.IsOfType(err, fold.Overload) {
			return fold.Overload.Wrap(err, "the table did not accept the commit")
		}
		if !mayHaveRun {
			return fold.Unavailable.Wrap(err, "the table did not accept the commit")
		}
		select {
		case <-ctx.Done():
			t.outcomeUnknown = true
			return fold.Unknown.Wrap(err, "the outcome of a commit in epoch %d is not known", next.Epoch)
		case <-t.clock.After(commitRetryDelay):
		}
	}
}

func (t *Term) tryCommit(ctx context.Context, txn fold.Txn) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, min(maxCommitTimeout, max(commitTimeout, slowCommitFactor*t.usualCommit)))
	defer cancel()
	started := t.clock.Now()
	version, err := t.table.Commit(ctx, txn)
	if err == nil || errorx.IsOfType(err, fold.Conflict) {
		t.usualCommit += time.Duration(usualCommitWeight * float64(t.clock.Now().Sub(started)-t.usualCommit))
	}
	return version, err
}

// UsualCommitTime returns how long a commit to the table usually takes.
func (t *Term) UsualCommitTime() time.Duration {
	return t.usualCommit
}

// resolveConflict reads the row after a conflict. It finds out whether an earlier attempt has succeeded, a check of the
// transaction has failed, or another entry has taken over. mayHaveRun reports whether an earlier attempt had no answer. The
// row of a later owner does not show whether such an attempt was applied before the takeover.
func (t *Term) resolveConflict(ctx context.Context, next Owner, conflict error, mayHaveRun bool) error {
	for {
		found, version, err := t.readOwner(ctx)
		switch {
		case err == nil && found.Incarnation == next.Incarnation && found.Epoch == next.Epoch && found.CommitCount == next.CommitCount && found.Entry == next.Entry:
			t.owner, t.version = next, version
			return nil
		case err == nil && version == t.version:
			return conflict
		case err == nil && mayHaveRun:
			return fold.Refuse(fold.Unknown, "stop acting as the owner", "entry %q owns the pool in epoch %d; an earlier attempt to commit in epoch %d may have been applied", found.Entry, found.Epoch, next.Epoch)
		case err == nil:
			return fold.Refuse(fold.Fenced, "stop acting as the owner", "entry %q owns the pool in epoch %d", found.Entry, found.Epoch)
		}
		select {
		case <-ctx.Done():
			t.outcomeUnknown = true
			return fold.Unknown.Wrap(err, "could not read the owner's row after a conflict in epoch %d", next.Epoch)
		case <-t.clock.After(commitRetryDelay):
		}
	}
}

func (t *Term) readOwner(ctx context.Context) (Owner, int64, error) {
	ctx, cancel := context.WithTimeout(ctx, max(commitTimeout, slowCommitFactor*t.usualCommit))
	defer cancel()
	return Read(ctx, t.table)
}
