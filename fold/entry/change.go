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

// maxChangeTries is the maximum number of attempts to commit a change that conflicts with concurrent changes.
const maxChangeTries = 8

// edit is one change of the configuration that is to be committed.
type edit struct {
	delta   delta
	summary string
	writes  []fold.Txn
}

// commitChange commits the next revision. It calls make again for each attempt after a conflict.
func (e *Entry) commitChange(ctx context.Context, c fold.Caller, makeEdit func(headRow) (edit, error)) (fold.Revision, error) {
	var eligible bool
	e.withMachine(func(m *owner.Machine) { eligible = m.Eligible(e.clock.Now()) })
	if !eligible {
		return fold.Revision{}, fold.Refuse(fold.Unavailable, "retry in a few seconds, or use another entry",
			"entry %s has no contact with the table service and most entries", e.settings.Name)
	}
	for range maxChangeTries {
		d, err := e.tryChange(ctx, c, makeEdit)
		if errorx.IsOfType(err, fold.Conflict) {
			continue
		}
		if err != nil {
			return fold.Revision{}, err
		}
		e.applyCommitted(ctx, d)
		e.push(ctx, d)
		if err := e.awaitMajority(ctx, d.Head.Revision); err != nil {
			return fold.Revision{}, err
		}
		return e.Spread(ctx), nil
	}
	return fold.Revision{}, fold.Refuse(fold.Unavailable, "retry", "other changes came in between %d times", maxChangeTries)
}

// tryChange makes one attempt to commit a change. A Conflict error means that a row it depends on has changed.
func (e *Entry) tryChange(ctx context.Context, c fold.Caller, makeEdit func(headRow) (edit, error)) (delta, error) {
	row, err := store.Get[headRow](ctx, e.table, store.HeadKey)
	if err != nil && !errorx.IsOfType(err, fold.NotFound) {
		return delta{}, err
	}
	ed, err := makeEdit(row.Value)
	if err != nil {
		return delta{}, err
	}
	head := headRow{Revision: row.Value.Revision + 1, Who: c.KeyID, Writer: uuid.NewString(), Hash: row.Value.Hash}
	var body manifestRow
	if len(ed.delta.Text) > 0 {
		if body, err = e.storeManifest(ctx, &head, ed.delta.Text); err != nil {
			return delta{}, err
		}
	}
	if len(head.Hash) == 0 {
		return delta{}, fold.Refuse(fold.Invalid, "apply a manifest first", "there is no manifest")
	}
	ed.delta.Head = head
	txn, err := changeTxn(row.Version, ed, body)
	if err != nil {
		return delta{}, err
	}
	_, err = e.table.Commit(ctx, txn)
	if errorx.IsOfType(err, fold.Conflict) && e.wasCommitted(ctx, head) {
		err = nil
	}
	if err == nil {
		e.trimHistory(head)
	}
	return ed.delta, err
}

// changeTxn returns the transaction of a change. The head comes first, because it settles whether a commit whose reply was
// lost took effect.
func changeTxn(version int64, ed edit, body manifestRow) (fold.Txn, error) {
	head := ed.delta.Head
	headPut, err := store.EncodePut(store.HeadKey, head)
	if err != nil {
		return fold.Txn{}, err
	}
	history := historyRow{
		Change: fold.Change{Revision: head.Revision, Who: head.Who, Time: time.Now().UnixMilli(), Summary: ed.summary},
		Writer: head.Writer,
		Object: body.Object,
	}
	historyPut, err := store.EncodePut(historyKey(head.Revision), history)
	if err != nil {
		return fold.Txn{}, err
	}
	txn := fold.Txn{
		Checks: []fold.Check{{Key: store.HeadKey, Version: version}},
		Puts:   []fold.Put{headPut, historyPut},
	}
	if len(ed.delta.Text) > 0 {
		bodyPut, err := store.EncodePut(manifestKey, body)
		if err != nil {
			return fold.Txn{}, err
		}
		txn.Puts = append(txn.Puts, bodyPut)
	}
	for _, w := range ed.writes {
		txn.Checks = append(txn.Checks, w.Checks...)
		txn.Puts = append(txn.Puts, w.Puts...)
		txn.Deletes = append(txn.Deletes, w.Deletes...)
	}
	return txn, nil
}

// wasCommitted reports whether the change was committed. It detects a commit whose reply was lost and whose head has been
// replaced by a later change since.
func (e *Entry) wasCommitted(ctx context.Context, head headRow) bool {
	row, err := store.Get[historyRow](ctx, e.table, historyKey(head.Revision))
	return err == nil && row.Value.Writer == head.Writer
}

// applyCommitted puts a change that this entry committed in force here, by its delta or by reading the table service.
// After a failure the membership loop reads the configuration again within a second.
func (e *Entry) applyCommitted(ctx context.Context, d delta) {
	known, err := e.applyDelta(d)
	if err == nil && !known {
		err = e.readHead(ctx)
	}
	if err != nil {
		e.log.Warn("Cannot put a committed configuration change in force at this entry. Reading it again.", "error", err)
	}
}

// sameHash reports whether the text has the hash that the head names.
func sameHash(head headRow, text []byte) bool {
	return bytes.Equal(head.Hash, hashOf(text))
}
