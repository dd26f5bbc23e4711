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
	// pushTime bounds how long the answer to an operator waits for peers; a peer that misses the push reads the
	// table service within a second.
	pushTime = 300 * time.Millisecond
	// maxPushText is the largest manifest that is pushed, below the limit of a frame between entries.
	maxPushText = 1 << 20
)

// Kinds of calls between entries about the configuration.
const (
	kindConfig = "config"
	kindBody   = "body"
)

// configAnswer tells the revision in force at a peer.
type configAnswer struct {
	Revision int64 `json:"revision"`
}

// told remembers the revisions that peers reported in answer to a push, by entry and incarnation.
type told struct {
	mu    sync.Mutex
	newer map[string]int64
}

func (t *told) note(p owner.Entry, revision int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	id := p.ID + "/" + p.Incarnation
	t.newer[id] = max(t.newer[id], revision)
}

// revisions returns a copy of what was told.
func (t *told) revisions() map[string]int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := make(map[string]int64, len(t.newer))
	for id, n := range t.newer {
		all[id] = n
	}
	return all
}

// forget drops incarnations that are no longer registered.
func (t *told) forget(peers []owner.Entry) {
	t.mu.Lock()
	defer t.mu.Unlock()
	kept := make(map[string]int64, len(peers))
	for _, p := range peers {
		id := p.ID + "/" + p.Incarnation
		if n, ok := t.newer[id]; ok {
			kept[id] = n
		}
	}
	t.newer = kept
}

// push sends a committed change to all registered peers and waits shortly for their answers.
func (e *Entry) push(ctx context.Context, d delta) {
	if len(d.Text) > maxPushText {
		d.Text = nil
		d.Head.Revision = 0
	}
	var peers []owner.Entry
	e.member(func(m *owner.Machine) { peers = m.Peers(e.clock.Now()) })
	e.told.forget(peers)
	pushCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), pushTime)
	defer cancel()
	var calls errgroup.Group
	calls.SetLimit(maxCalls)
	for _, p := range peers {
		calls.Go(func() error {
			answer, err := peer.Call[delta, configAnswer](pushCtx, e.node, p.Address, kindConfig, d)
			if err != nil {
				e.log.Debug("A peer did not take the configuration. It reads it by itself.", "peer", p.ID, "error", err)
				return nil
			}
			e.told.note(p, answer.Revision)
			return nil
		})
	}
	_ = calls.Wait()
}

// answerConfig puts a pushed revision in force, reading the table service when it does not follow the one in force.
func (e *Entry) answerConfig(ctx context.Context, _ string, d delta) (configAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, peerTime)
	defer cancel()
	known, err := e.advance(d)
	if err == nil && (!known || d.Head.Revision == 0) {
		err = e.readHead(ctx)
	}
	return configAnswer{Revision: e.current.Load().number}, err
}
