package entry

import (
	"context"

	"plantainfold.example/fold"
	"plantainfold.example/fold/owner"
	"plantainfold.example/fold/peer"
)

// Kinds of calls between entries.
const (
	kindBeat   = "beat"
	kindAssign = "assign"
	kindLookup = "lookup"
	kindCancel = "cancel"
	kindClaim  = "claim"
	kindOwner  = "owner"
	kindShort  = "short"
)

// assignCall tells the owner of a pool about a job part that was accepted under the epoch.
type assignCall struct {
	Pool  string `json:"pool"`
	Epoch int64  `json:"epoch"`
	Job   string `json:"job"`
}

// done is an answer without content.
type done struct{}

// jobCall asks the owner of a pool about a job, or to cancel it.
type jobCall struct {
	Pool string `json:"pool"`
	Job  string `json:"job"`
}

// jobAnswer is the owner's view of a job.
type jobAnswer struct {
	Status      fold.JobStatus   `json:"status"`
	Explanation fold.Explanation `json:"explanation"`
}

// ownerCall tells an entry that it became the owner of units, and before that which claims of them were granted.
type ownerCall struct {
	Claims []handedClaims `json:"claims,omitempty"`
}

// ownerAnswer is the empty answer to an ownerCall.
type ownerAnswer struct{}

// handlePeers registers the calls that this entry answers.
func (e *Entry) handlePeers() {
	peer.Handle(e.node, kindBeat, e.answerBeat)
	peer.Handle(e.node, kindClaim, e.answerClaim)
	peer.Handle(e.node, kindAssign, e.assignHere)
	peer.Handle(e.node, kindShort, func(_ context.Context, _ string, call shortCall) (done, error) {
		e.returnUnused(call)
		return done{}, nil
	})
	peer.Handle(e.node, kindOwner, func(_ context.Context, _ string, call ownerCall) (ownerAnswer, error) {
		if len(call.Claims) > 0 {
			e.claims.inherit(call.Claims)
			return ownerAnswer{}, nil
		}
		wake(e.wakeups.units)
		return ownerAnswer{}, nil
	})
	peer.Handle(e.node, kindLookup, func(_ context.Context, _ string, call jobCall) (jobAnswer, error) {
		return e.lookupHere(call)
	})
	peer.Handle(e.node, kindCancel, func(_ context.Context, _ string, call jobCall) (jobAnswer, error) {
		return e.cancelHere(call)
	})
}

func (e *Entry) answerBeat(_ context.Context, from string, b owner.Beat) (owner.Beat, error) {
	if b.ID != from {
		return owner.Beat{}, fold.Refuse(fold.Forbidden, "send heartbeats under the own name", "peer %s sent a heartbeat of %s", from, b.ID)
	}
	e.member(func(m *owner.Machine) { m.Told(e.clock.Now(), b) })
	e.learnRevision(b)
	return e.heartbeat(), nil
}
