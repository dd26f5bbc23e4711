package entry

import (
	"bytes"
	"context"
	"time"

	"github.com/google/uuid"
	"github.com/joomcode/errorx"

	"plantainfold.example/fold"
	"plantainfold.example/fold/owner"
	"plantainfold.example/fold/store"
)

// applyTries bounds how often a change is tried again when other rows changed meanwhile.
const applyTries = 8

// edit is one change of the configuration as it is to be written.
type edit struct {
	delta   delta
	summary string
	writes  []fold.Txn
}

// change writes the next revision; make is called again when rows changed meanwhile.
func (e *Entry) change(ctx context.Context, c fold.Caller, make func(headRow) (edit, error)) (fold.Revision, error) {
	var eligible bool
	e.member(func(m *owner.Machine) { eligible = m.Eligible(e.clock.Now()) })
	if !eligible {
		return fold.Revision{}, fold.Refuse(fold.Unavailable, "retry in a few seconds, or use another entry",
			"entry %s has no contact with the table service and most entries", e.settings.Name)
	}
	for range applyTries {
		d, err := e.tryChange(ctx, c, make)
		if errorx.IsOfType(err, fold.Conflict) {
			continue
		}
		if err != nil {
			return fold.Revision{}, err
		}
		e.adopt(ctx, d)
		e.push(ctx, d)
		if err := e.announce(ctx, d.Head.Revision); err != nil {
			return fold.Revision{}, err
		}
		return e.Spread(ctx), nil
	}
	return fold.Revision{}, fold.Refuse(fold.Unavailable, "retry", "other changes came in between %d times", applyTries)
}

func (e *Entry) tryChange(ctx context.Context, c fold.Caller, make func(headRow) (edit, error)) (delta, error) {
	row, err := store.Get[headRow](ctx, e.table, store.HeadKey)
	if err != nil && !errorx.IsOfType(err, fold.NotFound) {
		return delta{}, err
	}
	one, err := make(row.Value)
	if err != nil {
		return delta{}, err
	}
	head := headRow{Revision: row.Value.Revision + 1, Who: c.KeyID, Writer: uuid.NewString(), Hash: row.Value.Hash}
	var body bodyRow
	if len(one.delta.Text) > 0 {
		if body, err = e.storeBody(ctx, &head, one.delta.Text); err != nil {
			return delta{}, err
		}
	}
	if len(head.Hash) == 0 {
		return delta{}, fold.Refuse(fold.Invalid, "apply a manifest first", "there is no manifest")
	}
	one.delta.Head = head
	txn, err := changeTxn(row.Version, one, body)
	if err != nil {
		return delta{}, err
	}
	_, err = e.table.Commit(ctx, txn)
	if errorx.IsOfType(err, fold.Conflict) && e.wrote(ctx, head) {
		err = nil
	}
	if err == nil {
		e.dropHistory(head)
	}
	return one.delta, err
}

// changeTxn returns the transaction of a change. The head comes first, because lost replies are settled by it.
func changeTxn(version int64, one edit, body bodyRow) (fold.Txn, error) {
	head := one.delta.Head
	headPut, err := store.PutOf(store.HeadKey, head)
	if err != nil {
		return fold.Txn{}, err
	}
	past := revRow{
		Change: fold.Change{Revision: head.Revision, Who: head.Who, Time: time.Now().UnixMilli(), Summary: one.summary},
		Writer: head.Writer,
		Object: body.Object,
	}
	pastPut, err := store.PutOf(revKey(head.Revision), past)
	if err != nil {
		return fold.Txn{}, err
	}
	txn := fold.Txn{
		Checks: []fold.Check{{Key: store.HeadKey, Version: version}},
		Puts:   []fold.Put{headPut, pastPut},
	}
	if len(one.delta.Text) > 0 {
		bodyPut, err := store.PutOf(bodyKey, body)
		if err != nil {
			return fold.Txn{}, err
		}
		txn.Puts = append(txn.Puts, bodyPut)
	}
	for _, w := range one.writes {
		txn.Checks = append(txn.Checks, w.Checks...)
		txn.Puts = append(txn.Puts, w.Puts...)
		txn.Deletes = append(txn.Deletes, w.Deletes...)
	}
	return txn, nil
}

// wrote reports whether the change took effect although its reply was lost and the head has moved on since.
func (e *Entry) wrote(ctx context.Context, head headRow) bool {
	row, err := store.Get[revRow](ctx, e.table, revKey(head.Revision))
	return err == nil && row.Value.Writer == head.Writer
}

// adopt puts an own change in force here, by its delta or from the table service. The change is committed, so a
// failure only means that it is read again within a second.
func (e *Entry) adopt(ctx context.Context, d delta) {
	known, err := e.advance(d)
	if err == nil && !known {
		err = e.readHead(ctx)
	}
	if err != nil {
		e.log.Warn("A committed change is not in force here yet. Reading it again.", "error", err)
	}
}

// sameHash reports whether the text is the manifest of the head.
func sameHash(head headRow, text []byte) bool {
	return bytes.Equal(head.Hash, hashOf(text))
}
