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
	// settleTries bounds how often a commit with an unknown outcome is sent again.
	settleTries = 3
	// WriterPrefix is the prefix of the rows that name the last commit of each writer.
	WriterPrefix = "writer/"
)

// mark is the row writer/<name>: the last commit of a writer.
type mark struct {
	Incarnation string `json:"incarnation"`
	Sequence    int64  `json:"sequence"`
}

// Settled is a Table that finds out whether a commit took effect when its reply was lost. Each commit checks and
// writes the writer's own row. So one read settles a lost reply, and a commit that the table service holds back
// cannot take effect after a later one of the same writer. Commits are sent one at a time.
type Settled struct {
	fold.Table
	key         string
	incarnation string

	mu       sync.Mutex
	sequence int64
	// version is that of the writer's row while known is true.
	version int64
	known   bool
}

var _ fold.Table = &Settled{}

// NewSettled returns a Table that settles lost replies of t for the writer with the name; an incarnation is never used twice.
func NewSettled(t fold.Table, name, incarnation string) *Settled {
	return &Settled{Table: t, key: WriterPrefix + name, incarnation: incarnation}
}

// attempt is one transaction on its way.
type attempt struct {
	txn  fold.Txn
	mark mark
	// lost says that an earlier try may have taken effect or may still do so.
	lost bool
}

// Commit applies t. An Unknown error remains only if the table service stays unreachable after a lost reply; an
// Unavailable error means that t had no effect.
func (s *Settled) Commit(ctx context.Context, t fold.Txn) (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sequence++
	a := &attempt{txn: t, mark: mark{Incarnation: s.incarnation, Sequence: s.sequence}}
	delays := newBackOff()
	for try := 1; ; try++ {
		version, again, err := s.try(ctx, a)
		if !again {
			return version, err
		}
		if try == settleTries || !pause(ctx, delays.NextBackOff()) {
			s.known = false
			return 0, a.unsettled(err)
		}
	}
}

// unsettled returns the error of a commit that was given up.
func (a *attempt) unsettled(cause error) error {
	if a.lost {
		return fold.Unknown.Wrap(cause, "commit with a lost reply")
	}
	return fold.Unavailable.Wrap(cause, "commit without effect")
}

// try sends the transaction once and settles a lost reply; again says that the outcome is not settled yet.
func (s *Settled) try(ctx context.Context, a *attempt) (version int64, again bool, err error) {
	if !s.known {
		applied, err := s.readMark(ctx, a)
		switch {
		case applied:
			return s.version, false, nil
		case err != nil && a.lost:
			return 0, true, err
		case err != nil:
			return 0, false, a.unsettled(err)
		}
	}
	txn, err := s.marked(a)
	if err != nil {
		return 0, a.lost, err
	}
	version, err = s.Table.Commit(ctx, txn)
	switch {
	case err == nil:
		s.version = version
		return version, false, nil
	case errorx.IsOfType(err, fold.Unknown):
		a.lost = true
	case !errorx.IsOfType(err, fold.Conflict):
		return 0, a.lost, err
	}
	return s.settle(ctx, a, err)
}

// settle reads the writer's row to find out what a lost reply or a conflict means.
func (s *Settled) settle(ctx context.Context, a *attempt, cause error) (version int64, again bool, err error) {
	conflict := errorx.IsOfType(cause, fold.Conflict)
	key := fold.ConflictKey(cause)
	if conflict && !a.lost && key != "" && key != s.key {
		return 0, false, cause
	}
	before := s.version
	applied, err := s.readMark(ctx, a)
	switch {
	case err != nil:
		return 0, true, cause
	case applied:
		return s.version, false, nil
	case conflict && s.version == before:
		return 0, false, cause
	default:
		// The commit was not applied so far, or the writer's row had another version than expected.
		return 0, true, cause
	}
}

// readMark reads the writer's row and reports whether it names the attempt.
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

// marked returns the transaction with the check and the write of the writer's row.
func (s *Settled) marked(a *attempt) (fold.Txn, error) {
	put, err := PutOf(s.key, a.mark)
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

// pause waits and reports false when ctx ended first.
func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
