package entry

import (
	"context"

	"plantainfold.example/fold"
	"plantainfold.example/fold/owner"
	"plantainfold.example/fold/peer"
)

// heartbeatStep sends a heartbeat to each peer that has no heartbeat under way. It does not wait for the answers, so a peer
// that does not answer does not delay heartbeats to others.
func (e *Entry) heartbeatStep(ctx context.Context) {
	var peers []owner.Entry
	e.withMachine(func(m *owner.Machine) {
		m.Tick(e.clock.Now())
		for _, p := range m.Peers(e.clock.Now()) {
			if !e.heartbeatPending[p.ID] && len(e.heartbeatPending) < maxHeartbeats {
				e.heartbeatPending[p.ID] = true
				peers = append(peers, p)
			}
		}
	})
	// Peers use the pools and short teams of answers only, so the request leaves them out.
	beat := e.heartbeat()
	beat.Pools, beat.ShortTeams = nil, nil
	for _, p := range peers {
		e.running.Add(1)
		go func() {
			defer e.running.Done()
			e.sendHeartbeat(ctx, p, beat)
		}()
	}
}

// sendHeartbeat sends one heartbeat to a peer and records the answer.
func (e *Entry) sendHeartbeat(ctx context.Context, p owner.Entry, beat owner.Beat) {
	callCtx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	sent := e.clock.Now()
	answer, err := peer.Call[owner.Beat, owner.Beat](callCtx, e.node, p.Address, kindHeartbeat, beat)
	e.withMachine(func(m *owner.Machine) {
		delete(e.heartbeatPending, p.ID)
		if err == nil {
			m.RecordAnswer(sent, answer)
		}
	})
	if err != nil {
		e.log.Debug("A peer did not answer a heartbeat.", "peer", p.ID, "error", err)
		return
	}
	e.learnRevision(answer)
}

// learnRevision wakes the membership loop to read the configuration if a peer knows a newer one.
func (e *Entry) learnRevision(b owner.Beat) {
	if b.KnownRevision > e.current.Load().number {
		wake(e.wakeups.config)
	}
}

// awaitMajority sends heartbeats until a majority of the entries knows the revision. After that, a minority of entries
// that is partitioned off cannot confirm the previous revision as the newest one.
func (e *Entry) awaitMajority(ctx context.Context, revision int64) error {
	begin := e.clock.Now()
	for {
		var known bool
		e.withMachine(func(m *owner.Machine) { known = m.KnownByMajority(e.clock.Now(), revision) })
		if known {
			return nil
		}
		if e.clock.Now().Sub(begin) > majorityTimeout {
			return fold.Refuse(fold.Unknown, "read the manifest; the change is recorded and comes into force once entries reach each other",
				"most entries have not learned of revision %d", revision)
		}
		e.heartbeatStep(ctx)
		select {
		case <-e.clock.After(majorityPollPeriod):
		case <-ctx.Done():
			return fold.Unknown.Wrap(ctx.Err(), "announce revision %d", revision)
		}
	}
}

// heartbeat returns the content of this entry's next heartbeat.
func (e *Entry) heartbeat() owner.Beat {
	var beat owner.Beat
	e.withMachine(func(m *owner.Machine) { beat = m.Beat(e.clock.Now(), e.current.Load().number) })
	beat.Pools = e.headroom()
	for team := range e.localShortTeams(nil) {
		beat.ShortTeams = append(beat.ShortTeams, team)
	}
	return beat
}
