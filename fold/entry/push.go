package entry

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"plantainfold.example/fold/owner"
	"plantainfold.example/fold/peer"
)

const (
	// pushTimeout is the maximum time that the answer to an operator waits for peers. A peer that misses the push reads the
	// table service within a second.
	pushTimeout = 300 * time.Millisecond
	// maxPushText is the largest manifest in bytes that is pushed. It is below the limit of a frame between entries.
	maxPushText = 1 << 20
)

const (
	// kindConfig is the kind of calls that push a configuration change to a peer.
	kindConfig = "config"
	// kindManifest is the kind of calls that ask a peer for a manifest.
	kindManifest = "body"
)

// configAnswer holds the revision in force at a peer.
type configAnswer struct {
	Revision int64 `json:"revision"`
}

// reportedRevisions holds the revisions that peers reported in answer to a push.
type reportedRevisions struct {
	mu sync.Mutex
	// newest holds the newest reported revision by entry and incarnation.
	newest map[string]int64
}

// record records the revision that a peer reported.
func (t *reportedRevisions) record(p owner.Entry, revision int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	id := p.ID + "/" + p.Incarnation
	t.newest[id] = max(t.newest[id], revision)
}

// revisions returns a copy of the reported revisions.
func (t *reportedRevisions) revisions() map[string]int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := make(map[string]int64, len(t.newest))
	for id, n := range t.newest {
		all[id] = n
	}
	return all
}

// forget deletes the reports of incarnations that are no longer registered.
func (t *reportedRevisions) forget(peers []owner.Entry) {
	t.mu.Lock()
	defer t.mu.Unlock()
	kept := make(map[string]int64, len(peers))
	for _, p := range peers {
		id := p.ID + "/" + p.Incarnation
		if n, ok := t.newest[id]; ok {
			kept[id] = n
		}
	}
	t.newest = kept
}

// push sends a committed change to all registered peers and waits up to pushTimeout for their answers.
func (e *Entry) push(ctx context.Context, d delta) {
	if len(d.Text) > maxPushText {
		d.Text = nil
		d.Head.Revision = 0
	}
	var peers []owner.Entry
	e.withMachine(func(m *owner.Machine) { peers = m.Peers(e.clock.Now()) })
	e.reported.forget(peers)
	pushCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), pushTimeout)
	defer cancel()
	var calls errgroup.Group
	calls.SetLimit(maxPeerCalls)
	for _, p := range peers {
		calls.Go(func() error {
			answer, err := peer.Call[delta, configAnswer](pushCtx, e.node, p.Address, kindConfig, d)
			if err != nil {
				e.log.Debug("Cannot push a configuration change to a peer. The peer reads it from the table service.", "peer", p.ID, "error", err)
				return nil
			}
			e.reported.record(p, answer.Revision)
			return nil
		})
	}
	_ = calls.Wait()
}

// answerConfig puts a pushed revision in force. It reads the table service if the revision does not follow the one in force.
func (e *Entry) answerConfig(ctx context.Context, _ string, d delta) (configAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	known, err := e.applyDelta(d)
	if err == nil && (!known || d.Head.Revision == 0) {
		err = e.readHead(ctx)
	}
	return configAnswer{Revision: e.current.Load().number}, err
}
