package entry

import (
	"context"

	"plantainfold.example/fold"
	"plantainfold.example/fold/owner"
	"plantainfold.example/fold/peer"
)

// beatStep sends a heartbeat to each peer that has answered the last one. It does not wait for the answers, so a peer
// that does not answer delays no other.
func (e *Entry) beatStep(ctx context.Context) {
	var peers []owner.Entry
	e.member(func(m *owner.Machine) {
		m.Tick(e.clock.Now())
		for _, p := range m.Peers(e.clock.Now()) {
			if !e.beating[p.ID] && len(e.beating) < maxBeats {
				e.beating[p.ID] = true
				peers = append(peers, p)
			}
		}
	})
	// Only answers count as evidence, so the request leaves out what only answers must tell.
	beat := e.heartbeat()
	beat.Pools, beat.Short = nil, nil
	for _, p := range peers {
		e.running.Add(1)
		go func() {
			defer e.running.Done()
			e.beatPeer(ctx, p, beat)
		}()
	}
}

func (e *Entry) beatPeer(ctx context.Context, p owner.Entry, beat owner.Beat) {
	callCtx, cancel := context.WithTimeout(ctx, peerTime)
	defer cancel()
	sent := e.clock.Now()
	answer, err := peer.Call[owner.Beat, owner.Beat](callCtx, e.node, p.Address, kindBeat, beat)
	e.member(func(m *owner.Machine) {
		delete(e.beating, p.ID)
		if err == nil {
			m.Heard(sent, answer)
		}
	})
	if err != nil {
		e.log.Debug("No heartbeat.", "peer", p.ID, "error", err)
		return
	}
	e.learnRevision(answer)
}

// learnRevision reads the configuration soon when a peer knows a newer one.
func (e *Entry) learnRevision(b owner.Beat) {
	if b.Known > e.current.Load().number {
		wake(e.wakeups.head)
	}
}

// announce sends heartbeats until a majority of the entries knows the revision. Only then an entry that is cut off with
// other entries cannot take the revision before for the newest one.
func (e *Entry) announce(ctx context.Context, revision int64) error {
	begin := e.clock.Now()
	for {
		var known bool
		e.member(func(m *owner.Machine) { known = m.KnownByMajority(e.clock.Now(), revision) })
		if known {
			return nil
		}
		if e.clock.Now().Sub(begin) > announceTime {
			return fold.Refuse(fold.Unknown, "read the manifest; the change is recorded and comes into force once entries reach each other",
				"most entries have not learnt of revision %d", revision)
		}
		e.beatStep(ctx)
		select {
		case <-e.clock.After(announcePeriod):
		case <-ctx.Done():
			return fold.Unknown.Wrap(ctx.Err(), "announce revision %d", revision)
		}
	}
}

func (e *Entry) heartbeat() owner.Beat {
	var beat owner.Beat
	e.member(func(m *owner.Machine) { beat = m.Beat(e.clock.Now(), e.current.Load().number) })
	beat.Pools = e.headroom()
	for team := range e.ownShort(nil) {
		beat.Short = append(beat.Short, team)
	}
	return beat
}
