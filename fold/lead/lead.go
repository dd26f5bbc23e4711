package lead

import (
	"context"
	"time"

	"github.com/joomcode/errorx"

	"plantainfold.example/fold"
	"plantainfold.example/fold/codec"
)

// Key is the row that names the owner.
const Key = "lead/owner"

const (
	// RenewInterval is how often the owner rewrites its row at least.
	RenewInterval = 300 * time.Millisecond
	// TakeoverDelay is how long the row stays unchanged before another entry takes over; it covers two renewals that are lost.
	// Where the table is slow, lapseReads times the time of a read are added, because a commit takes longer than a read.
	TakeoverDelay = 1600 * time.Millisecond
	lapseReads    = 5
	// SilentTakeoverDelay is used for an owner that does not answer other entries either; it covers a renewal.
	SilentTakeoverDelay = 500 * time.Millisecond
	// PollInterval is how often the other entries ask the owner, or read the row while it does not say that it is at work; it bounds
	// the delay after an owner has handed over.
	PollInterval = 250 * time.Millisecond
	// commitTime bounds one try of a commit to a table that answers within milliseconds. To a slow table a try may take
	// slowFactor times as long as usual, at most maxCommitTime: repeating it sooner would only make the table slower.
	commitTime    = 900 * time.Millisecond
	slowFactor    = 4
	maxCommitTime = 3 * time.Second
	// usualWeight is the weight of the last commit in the usual time of one.
	usualWeight = 0.3
	// commitPause separates tries of a commit.
	commitPause = 60 * time.Millisecond
)

// Owner is the content of the row.
type Owner struct {
	// Entry and Incarnation name one run of an entry; Entry is empty after an owner has handed over.
	Entry       string `json:"entry"`
	Incarnation string `json:"incarnation"`
	// Address is where other entries reach the owner.
	Address string `json:"address"`
	// Epoch grows with each takeover; hosts refuse orders of an older epoch.
	Epoch int64 `json:"epoch"`
	// Count numbers the commits of an epoch, by which a lost answer is settled.
	Count int64 `json:"count"`
	// Entries are the incarnations of the entries that the owner tells before it starts runs without records, the
	// strongest first. Any other entry that takes over must expect such runs.
	Entries []string `json:"entries,omitempty"`
	// Strong is how many of them are fit to own the pool.
	Strong int `json:"strong,omitempty"`
	// Waiting counts, for each queue, the jobs of which no task has started.
	Waiting map[string]int `json:"waiting,omitempty"`
}

// TakeoverDelayFor returns how long the row may stay unchanged when the table takes the given time for a read and the owner answers
// other entries or is silent.
func TakeoverDelayFor(read time.Duration, silent bool) time.Duration {
	if silent {
		return SilentTakeoverDelay + lapseReads*read
	}
	return TakeoverDelay + lapseReads*read
}

// Read returns the row and its version; a row that does not exist has version 0.
func Read(ctx context.Context, table fold.Table) (Owner, int64, error) {
	row, err := table.Get(ctx, Key)
	if errorx.IsOfType(err, fold.NotFound) {
		return Owner{}, 0, nil
	}
	if err != nil {
		return Owner{}, 0, err
	}
	owner, err := codec.Decode[Owner](row.Value)
	return owner, row.Version, err
}

// Term is the ownership of one epoch. Commit must not be called concurrently.
type Term struct {
	table fold.Table
	clock fold.Clock
	// epoch never changes, so that it may be read during a commit.
	epoch   int64
	owner   Owner
	version int64
	// usual is the usual time of a try.
	usual time.Duration
}

// PoolState is what the owner tells the other entries with each commit; see Owner.
type PoolState struct {
	Waiting map[string]int
	Entries []string
	Strong  int
}

// TakeOver takes the row over from the owner that it had at the version; next names the new one. A Conflict error means that another entry was
// faster.
func TakeOver(ctx context.Context, table fold.Table, clock fold.Clock, previous Owner, version int64, next Owner) (*Term, error) {
	next.Epoch, next.Count, next.Waiting, next.Entries, next.Strong = previous.Epoch+1, 0, previous.Waiting, nil, 0
	t := &Term{table: table, clock: clock, epoch: next.Epoch, owner: next, version: version}
	if err := t.settle(ctx, fold.Txn{}, t.owner); err != nil {
		return nil, err
	}
	return t, nil
}

// Epoch returns the epoch of the term.
func (t *Term) Epoch() int64 {
	return t.epoch
}

// Version returns the version of the table that the last commit made. It must not be called during a commit.
func (t *Term) Version() int64 {
	return t.version
}

// Commit applies the transaction and renews the ownership. It tries until the outcome is known. A Fenced error means
// that another entry has taken over, a Conflict error that a condition of txn itself has failed; nothing was written. An
// Unavailable or Overload error means that the table has not taken a single try.
func (t *Term) Commit(ctx context.Context, txn fold.Txn, note PoolState) error {
	next := t.owner
	next.Count++
	next.Waiting, next.Entries, next.Strong = note.Waiting, note.Entries, note.Strong
	return t.settle(ctx, txn, next)
}

// Release hands the ownership over.
func (t *Term) Release(ctx context.Context) error {
	next := t.owner
	next.Count++
	next.Entry = ""
	return t.settle(ctx, fold.Txn{}, next)
}

// settle commits the transaction together with the row. A try without an answer may still take effect later, but only
// as long as the row has the version that it expects; so repeating the same transaction is safe, and once the row names
// its count one of the tries has succeeded.
func (t *Term) settle(ctx context.Context, txn fold.Txn, next Owner) error {
	value, err := codec.Encode(next)
	if err != nil {
		return err
	}
	// A conflict names the first check that failed; behind this one, a conflict with another row proves the ownership.
	txn.Checks = append([]fold.Check{{Key: Key, Version: t.version}}, txn.Checks...)
	txn.Puts = append(txn.Puts, fold.Put{Key: Key, Value: value})
	sent := false
	for {
		version, err := t.try(ctx, txn)
		sent = sent || !fold.DidNotRun(err)
		if err == nil {
			t.owner, t.version = next, version
			return nil
		}
		if key := fold.ConflictKey(err); key != "" && key != Key {
			return err
		}
		if errorx.IsOfType(err, fold.Conflict) {
			return t.conflict(ctx, next, err)
		}
		if errorx.IsOfType(err, fold.Invalid) || errorx.IsOfType(err, fold.TooLarge) {
			return err
		}
		if !sent && errorx.IsOfType(err, fold.Overload) {
			return fold.Overload.Wrap(err, "the table does not take the commit")
		}
		if !sent {
			return fold.Unavailable.Wrap(err, "the table does not take the commit")
		}
		select {
		case <-ctx.Done():
			return fold.Unknown.Wrap(err, "commit of epoch %d", next.Epoch)
		case <-t.clock.After(commitPause):
		}
	}
}

func (t *Term) try(ctx context.Context, txn fold.Txn) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, min(maxCommitTime, max(commitTime, slowFactor*t.usual)))
	defer cancel()
	sent := t.clock.Now()
	version, err := t.table.Commit(ctx, txn)
	if err == nil || errorx.IsOfType(err, fold.Conflict) {
		t.usual += time.Duration(usualWeight * float64(t.clock.Now().Sub(sent)-t.usual))
	}
	return version, err
}

// UsualCommitTime returns how long the table usually takes for a commit.
func (t *Term) UsualCommitTime() time.Duration {
	return t.usual
}

// conflict reads the row to tell an earlier try that has succeeded and a condition of the transaction that has failed
// from another owner.
func (t *Term) conflict(ctx context.Context, next Owner, failed error) error {
	for {
		found, version, err := t.read(ctx)
		switch {
		case err == nil && found.Incarnation == next.Incarnation && found.Epoch == next.Epoch && found.Count == next.Count:
			t.owner, t.version = next, version
			return nil
		case err == nil && version == t.version:
			return failed
		case err == nil:
			return fold.Refuse(fold.Fenced, "let the newer owner go on", "entry %q owns the pool in epoch %d", found.Entry, found.Epoch)
		}
		select {
		case <-ctx.Done():
			return fold.Unknown.Wrap(err, "read the owner after a conflict in epoch %d", next.Epoch)
		case <-t.clock.After(commitPause):
		}
	}
}

func (t *Term) read(ctx context.Context) (Owner, int64, error) {
	ctx, cancel := context.WithTimeout(ctx, max(commitTime, slowFactor*t.usual))
	defer cancel()
	return Read(ctx, t.table)
}
