package store

import (
	"bytes"
	"context"
	"errors"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/joomcode/errorx"

	"plantainfold.example/fold"
)

// settleTries bounds how often a commit with an unknown outcome is sent again.
const settleTries = 3

// Settled is a Table that finds out whether a commit took effect when its reply was lost. Transactions must carry a
// check or a value that no other writer uses.
type Settled struct {
	fold.Table
}

var _ fold.Table = &Settled{}

// NewSettled returns a Table that settles lost replies of t.
func NewSettled(t fold.Table) *Settled {
	return &Settled{Table: t}
}

// Commit applies t; an Unknown error remains only if the table service stays unreachable.
func (s *Settled) Commit(ctx context.Context, t fold.Txn) (int64, error) {
	lost := false
	try := func() (int64, error) {
		version, err := s.Table.Commit(ctx, t)
		switch {
		case err == nil:
			return version, nil
		case errorx.IsOfType(err, fold.Unknown):
			lost = true
			return 0, err
		case errorx.IsOfType(err, fold.Conflict) && lost:
			return s.readBack(ctx, t, err)
		default:
			return 0, backoff.Permanent(err)
		}
	}
	version, err := backoff.Retry(ctx, try, backoff.WithMaxTries(settleTries), backoff.WithBackOff(newBackOff()))
	if permanent, ok := errors.AsType[*backoff.PermanentError](err); ok {
		err = permanent.Err
	}
	return version, err
}

// readBack decides a conflict that may come from an earlier try of the same transaction.
func (s *Settled) readBack(ctx context.Context, t fold.Txn, conflict error) (int64, error) {
	if len(t.Puts) == 0 {
		return 0, backoff.Permanent(conflict)
	}
	row, err := s.Get(ctx, t.Puts[0].Key)
	switch {
	case err == nil && bytes.Equal(row.Value, t.Puts[0].Value):
		return row.Version, nil
	case err == nil || errorx.IsOfType(err, fold.NotFound):
		return 0, backoff.Permanent(conflict)
	default:
		return 0, err
	}
}

func newBackOff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = 50 * time.Millisecond
	b.MaxInterval = time.Second
	return b
}
