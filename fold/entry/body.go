package entry

import (
	"context"
	"crypto/sha256"
	"fmt"

	"github.com/joomcode/errorx"

	"plantainfold.example/fold"
	"plantainfold.example/fold/owner"
	"plantainfold.example/fold/peer"
	"plantainfold.example/fold/store"
)

const (
	// bodyKey is the row of the manifest in force.
	bodyKey = "config/manifest"
	// maxInline is the largest manifest that the table service holds; larger ones go to the object store.
	maxInline = 64 << 10
	// bodyPrefix begins the object keys of manifests.
	bodyPrefix = "config/"
)

// bodyRow is the row config/manifest.
type bodyRow struct {
	Text   []byte `json:"text,omitempty"`
	Object string `json:"object,omitempty"`
}

// bodyCall asks a peer for the manifest with the hash.
type bodyCall struct {
	Hash []byte `json:"hash"`
}

// bodyAnswer is empty if the peer does not have it.
type bodyAnswer struct {
	Text []byte `json:"text,omitempty"`
}

func hashOf(text []byte) []byte {
	sum := sha256.Sum256(text)
	return sum[:]
}

// storeBody completes the head for a manifest and returns its row. Each write has an object key of its own, so that
// removing an old object cannot take one that is about to be committed.
func (e *Entry) storeBody(ctx context.Context, head *headRow, text []byte) (bodyRow, error) {
	head.Hash = hashOf(text)
	if len(text) <= maxInline {
		return bodyRow{Text: text}, nil
	}
	body := bodyRow{Object: fmt.Sprintf("%s%d-%s", bodyPrefix, head.Revision, head.Writer)}
	if err := e.platform.Objects.Put(ctx, body.Object, text); err != nil {
		return body, fold.Unavailable.Wrap(err, "store the manifest")
	}
	return body, nil
}

// body returns the manifest of a head; a Conflict error means that the head has moved on.
func (e *Entry) body(ctx context.Context, head headRow) ([]byte, error) {
	if now := e.current.Load(); len(now.text) > 0 && sameHash(head, now.text) {
		return now.text, nil
	}
	row, err := store.Get[bodyRow](ctx, e.table, bodyKey)
	if err != nil {
		return nil, err
	}
	text := row.Value.Text
	if row.Value.Object != "" {
		text, err = e.platform.Objects.Get(ctx, row.Value.Object)
	}
	if err == nil && sameHash(head, text) {
		return text, nil
	}
	if row.Value.Object == "" || errorx.IsOfType(err, fold.NotFound) {
		return nil, fold.Refuse(fold.Conflict, "read the head again", "the manifest is not that of revision %d", head.Revision)
	}
	return e.peerBody(ctx, head)
}

// peerBody asks the peers for a manifest while the object store does not answer.
func (e *Entry) peerBody(ctx context.Context, head headRow) ([]byte, error) {
	var peers []owner.Entry
	e.member(func(m *owner.Machine) { peers = m.Peers(e.clock.Now()) })
	for _, p := range peers {
		callCtx, cancel := context.WithTimeout(ctx, peerTime)
		answer, err := peer.Call[bodyCall, bodyAnswer](callCtx, e.node, p.Address, kindBody, bodyCall{Hash: head.Hash})
		cancel()
		if err == nil && sameHash(head, answer.Text) {
			return answer.Text, nil
		}
	}
	return nil, fold.Refuse(fold.Unavailable, "wait for the object store", "neither the object store nor a peer has the manifest of revision %d", head.Revision)
}

func (e *Entry) answerBody(_ context.Context, _ string, call bodyCall) (bodyAnswer, error) {
	now := e.current.Load()
	if len(now.text) > 0 && sameHash(headRow{Hash: call.Hash}, now.text) {
		return bodyAnswer{Text: now.text}, nil
	}
	return bodyAnswer{}, nil
}
