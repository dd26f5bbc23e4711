package entry

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/joomcode/errorx"

	"plantainfold.example/fold"
	"plantainfold.example/fold/keys"
	"plantainfold.example/fold/spec"
	"plantainfold.example/fold/store"
)

// Grant issues a key. Its secret is part of this answer only.
func (e *Entry) Grant(ctx context.Context, c fold.Caller, g fold.KeyGrant) (fold.IssuedKey, error) {
	if err := requireOperator(c); err != nil {
		return fold.IssuedKey{}, err
	}
	if err := checkGrant(e.current.Load().manifest, g, time.Now()); err != nil {
		return fold.IssuedKey{}, err
	}
	g.Who = c.KeyID
	g.Withdrawn = false
	key, record := keys.Issue([]byte(e.settings.Cellkey), g)
	_, err := e.commitChange(ctx, c, func(headRow) (edit, error) {
		txn, err := keyTxn(record, 0)
		summary := fmt.Sprintf("key %s granted to team %q", record.Grant.ID, record.Grant.Team)
		return edit{delta: delta{Keys: []keys.Record{record}}, summary: summary, writes: []fold.Txn{txn}}, err
	})
	if err != nil {
		return fold.IssuedKey{}, err
	}
	return fold.IssuedKey{Grant: record.Grant, Key: key}, nil
}

// checkGrant refuses a grant whose key could never be used.
func checkGrant(m spec.Manifest, g fold.KeyGrant, now time.Time) error {
	if _, ok := m.Team(g.Team); !ok && !g.Operator {
		return fold.Refuse(fold.Invalid, "name a team of the manifest", "no team %q", g.Team)
	}
	if g.Expiry != 0 && g.Expiry <= now.UnixMilli() {
		return fold.Refuse(fold.Invalid, "give a time in the future, in milliseconds since the Unix epoch", "the expiry has passed")
	}
	if _, ok := m.Account(g.Account); g.Account != "" && !ok {
		return fold.Refuse(fold.Invalid, "declare the client account in the manifest", "no client account %q", g.Account)
	}
	for _, name := range g.Queues {
		q, ok := m.Queue(name)
		if !ok || (!q.Allows(g.Team) && !g.Operator) {
			return fold.Refuse(fold.Invalid, "name queues that the team may use", "team %q has no queue %q", g.Team, name)
		}
	}
	return nil
}

// Withdraw withdraws a key.
func (e *Entry) Withdraw(ctx context.Context, c fold.Caller, id string) (fold.Revision, error) {
	if err := requireOperator(c); err != nil {
		return fold.Revision{}, err
	}
	// An id has no dot. A caller that passes a whole key gets this error, which does not contain the key.
	if id == keys.RootID || strings.Contains(id, ".") {
		return fold.Revision{}, fold.Refuse(fold.Invalid, "name the id of a granted key, the part between the dots", "the given id is not that of a granted key")
	}
	return e.commitChange(ctx, c, func(headRow) (edit, error) {
		row, err := store.Get[keys.Record](ctx, e.table, store.KeyPrefix+id)
		if errorx.IsOfType(err, fold.NotFound) {
			return edit{}, fold.Refuse(fold.NotFound, "list the keys for their ids", "no key %q", id)
		}
		if err != nil {
			return edit{}, err
		}
		record := row.Value.WithWithdrawn(c.KeyID)
		txn, err := keyTxn(record, row.Version)
		summary := fmt.Sprintf("key %s of team %q withdrawn", id, record.Grant.Team)
		return edit{delta: delta{Keys: []keys.Record{record}}, summary: summary, writes: []fold.Txn{txn}}, err
	})
}

// Keys lists the keys without their secrets.
func (e *Entry) Keys(_ context.Context, c fold.Caller) ([]fold.KeyGrant, error) {
	if err := requireOperator(c); err != nil {
		return nil, err
	}
	return e.current.Load().ring.Grants(), nil
}

// keyTxn returns the transaction that replaces the row of a key at the version.
func keyTxn(r keys.Record, version int64) (fold.Txn, error) {
	key := store.KeyPrefix + r.Grant.ID
	put, err := store.EncodePut(key, r)
	return fold.Txn{Checks: []fold.Check{{Key: key, Version: version}}, Puts: []fold.Put{put}}, err
}
