package store

import (
	"context"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/joomcode/errorx"

	"plantainfold.example/fold"
)

const (
	// maxCommitAttempts bounds how often a commit with an unknown outcome is tried.
	maxCommitAttempts = 3
	// WriterPrefix is the prefix of the rows that hold the last commit of each writer.
	WriterPrefix = "writer/"
)

// mark is the value of the row writer/<name>. It identifies the last commit of a writer.
type mark struct {
	Incarnation string `json:"incarnation"`
	Sequence    int64  `json:"sequence"`
}

// Settled is a Table that finds out whether a commit took effect when its reply was lost. Each commit checks and
// writes the writer's own row. One read of this row therefore resolves a lost reply, and a delayed commit fails its
// check after a later commit of the same writer. Commits are sent one at a time.
type Settled struct {
	fold.Table
	key         string
	incarnation string

	mu       sync.Mutex
	sequence int64
	// version is the version of the writer's row if known is true.
	version int64
	// known is false when the writer's row must be read before the next commit.
	known bool
}

var _ fold.Table = &Settled{}

// NewSettled returns a Table that resolves lost replies of t for the named writer. Each process must use a new incarnation.
func NewSettled(t fold.Table, name, incarnation string) *Settled {
	return &Settled{Table: t, key: WriterPrefix + name, incarnation: incarnation}
}

// attempt is a transaction that Commit sends until its outcome is known or it gives up.
type attempt struct {
	txn  fold.Txn
	mark mark
	// replyLost says that the transaction was sent without a reply, so it may have taken effect or may still do so.
	replyLost bool
	// checkedVersion is the version of the writer's row that such a transaction checked.
	checkedVersion int64
}

// Commit applies t. It returns an Unknown error only if the table service stays unreachable after a lost reply, or if another
// process with the same writer name has replaced the mark meanwhile. An Unavailable error means that t had no effect.
func (s *Settled) Commit(ctx context.Context, t fold.Txn) (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sequence++
	a := &attempt{txn: t, mark: mark{Incarnation: s.incarnation, Sequence: s.sequence}}
	delays := newBackOff()
	for number := 1; ; number++ {
		version, retry, err := s.attemptCommit(ctx, a)
		if !retry {
			return version, err
		}
		if number == maxCommitAttempts || !sleep(ctx, delays.NextBackOff()) {
			s.known = false
			return 0, a.finalError(err)
		}
	}
}

// finalError returns the error of a commit that is not tried again.
func (a *attempt) finalError(cause error) error {
	if a.replyLost {
		return fold.Unknown.Wrap(cause, "commit transaction: reply lost, outcome unknown")
	}
	return fold.Unavailable.Wrap(cause, "commit transaction: not applied")
}

// attemptCommit sends the transaction once and resolves a lost reply. It sets retry if the outcome is still unknown.
func (s *Settled) attemptCommit(ctx context.Context, a *attempt) (version int64, retry bool, err error) {
	if !s.known {
		applied, err := s.readMark(ctx, a)
		switch {
		case applied:
			return s.version, false, nil
		case err != nil && a.replyLost:
			return 0, true, err
		case err != nil:
			return 0, false, a.finalError(err)
		case s.overwritten(a):
			return 0, false, a.overwrittenError()
		}
	}
	txn, err := s.marked(a)
	if err != nil {
		return 0, a.replyLost, err
	}
	version, err = s.Table.Commit(ctx, txn)
	switch {
	case err == nil:
		s.version = version
		return version, false, nil
	case errorx.IsOfType(err, fold.Unknown):
		if !a.replyLost {
			a.replyLost, a.checkedVersion = true, s.version
		}
	case !errorx.IsOfType(err, fold.Conflict):
		return 0, a.replyLost, err
	}
	return s.settle(ctx, a, err)
}

// settle reads the writer's row to find out whether a commit with a lost reply or a conflict was applied.
func (s *Settled) settle(ctx context.Context, a *attempt, cause error) (version int64, retry bool, err error) {
	conflict := errorx.IsOfType(cause, fold.Conflict)
	key := fold.ConflictKey(cause)
	if conflict && !a.replyLost && key != "" && key != s.key {
		return 0, false, cause
	}
	before := s.version
	applied, err := s.readMark(ctx, a)
	switch {
	case err != nil:
		return 0, true, cause
	case applied:
		return s.version, false, nil
	case s.overwritten(a):
		return 0, false, a.overwrittenError()
	case conflict && s.version == before:
		return 0, false, cause
	default:
		// The commit has not been applied yet, or the writer's row had an unexpected version.
		return 0, true, cause
	}
}

// readMark reads the writer's row and reports whether it holds the mark of the attempt.
func (s *Settled) readMark(ctx context.Context, a *attempt) (bool, error) {
	s.known = false
	row, err := Get[mark](ctx, s.Table, s.key)
	if errorx.IsOfType(err, fold.NotFound) {
		s.version, s.known = 0, true
		return false, nil
	}
	if err != nil {
		return false, err
	}
	s.version, s.known = row.Version, true
	return row.Value == a.mark, nil
}

// overwritten reports whether another process with the same writer name has replaced the mark since a transaction of the
// attempt was sent without a reply. The row then no longer shows whether it was applied.
func (s *Settled) overwritten(a *attempt) bool {
	return a.replyLost && s.version != a.checkedVersion
}

func (a *attempt) overwrittenError() error {
	return fold.Refuse(fold.Unknown, "read the rows of the transaction", "commit transaction: reply lost, and another process has replaced the mark of the writer")
}

// marked returns the transaction extended by the check and the write of the writer's row.
func (s *Settled) marked(a *attempt) (fold.Txn, error) {
	put, err := EncodePut(s.key, a.mark)
	if err != nil {
		return fold.Txn{}, err
	}
	return fold.Txn{
		Checks:  append([]fold.Check{{Key: s.key, Version: s.version}}, a.txn.Checks...),
		Puts:    append([]fold.Put{put}, a.txn.Puts...),
		Deletes: a.txn.Deletes,
	}, nil
}

func newBackOff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = 50 * time.Millisecond
	b.MaxInterval = time.Second
	return b
}

// sleep waits for d. It returns false if ctx ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
