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
	// manifestKey is the key of the row that holds the manifest in force.
	manifestKey = "config/manifest"
	// maxInlineManifest is the largest manifest in bytes that is stored in the row; larger ones go to the object store.
	maxInlineManifest = 64 << 10
	// manifestPrefix is the prefix of the object keys of manifests.
	manifestPrefix = "config/"
)

// manifestRow is the row config/manifest, which holds the manifest itself or the key of its object.
type manifestRow struct {
	Text   []byte `json:"text,omitempty"`
	Object string `json:"object,omitempty"`
}

// manifestCall asks a peer for the manifest with this hash.
type manifestCall struct {
	Hash []byte `json:"hash"`
}

// manifestAnswer holds the manifest; it is empty if the peer does not have the manifest.
type manifestAnswer struct {
	Text []byte `json:"text,omitempty"`
}

func hashOf(text []byte) []byte {
	sum := sha256.Sum256(text)
	return sum[:]
}

// storeManifest sets the hash in the head, stores the manifest and returns its row. Each write uses its own object key, so
// that deleting an old object cannot delete one that is about to be committed.
func (e *Entry) storeManifest(ctx context.Context, head *headRow, text []byte) (manifestRow, error) {
	head.Hash = hashOf(text)
	if len(text) <= maxInlineManifest {
		return manifestRow{Text: text}, nil
	}
	body := manifestRow{Object: fmt.Sprintf("%s%d-%s", manifestPrefix, head.Revision, head.Writer)}
	if err := e.platform.Objects.Put(ctx, body.Object, text); err != nil {
		return body, fold.Unavailable.Wrap(err, "store the manifest")
	}
	return body, nil
}

// readManifest returns the manifest of a head. A Conflict error means that a newer head has been written.
func (e *Entry) readManifest(ctx context.Context, head headRow) ([]byte, error) {
	if current := e.current.Load(); len(current.text) > 0 && sameHash(head, current.text) {
		return current.text, nil
	}
	row, err := store.Get[manifestRow](ctx, e.table, manifestKey)
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
		return nil, fold.Refuse(fold.Conflict, "read the head again", "the stored manifest does not belong to revision %d", head.Revision)
	}
	return e.manifestFromPeers(ctx, head)
}

// manifestFromPeers asks the peers for a manifest when the object store does not answer.
func (e *Entry) manifestFromPeers(ctx context.Context, head headRow) ([]byte, error) {
	var peers []owner.Entry
	e.withMachine(func(m *owner.Machine) { peers = m.Peers(e.clock.Now()) })
	for _, p := range peers {
		callCtx, cancel := context.WithTimeout(ctx, peerTimeout)
		answer, err := peer.Call[manifestCall, manifestAnswer](callCtx, e.node, p.Address, kindManifest, manifestCall{Hash: head.Hash})
		cancel()
		if err == nil && sameHash(head, answer.Text) {
			return answer.Text, nil
		}
	}
	return nil, fold.Refuse(fold.Unavailable, "wait for the object store", "neither the object store nor a peer has the manifest of revision %d", head.Revision)
}

// answerManifest answers a manifestCall of a peer.
func (e *Entry) answerManifest(_ context.Context, _ string, call manifestCall) (manifestAnswer, error) {
	current := e.current.Load()
	if len(current.text) > 0 && sameHash(headRow{Hash: call.Hash}, current.text) {
		return manifestAnswer{Text: current.text}, nil
	}
	return manifestAnswer{}, nil
}
