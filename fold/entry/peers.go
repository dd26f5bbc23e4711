package entry

import (
	"context"

	"plantainfold.example/fold"
	"plantainfold.example/fold/owner"
	"plantainfold.example/fold/peer"
)

// Each of these constants is the kind of a call between entries.
const (
	kindHeartbeat = "beat"
	kindAssign    = "assign"
	kindLookup    = "lookup"
	kindCancel    = "cancel"
	kindClaim     = "claim"
	kindOwner     = "owner"
	kindReturn    = "short"
)

// assignCall notifies the owner of a pool of a part of a job that was accepted under this epoch.
type assignCall struct {
	Pool  string `json:"pool"`
	Epoch int64  `json:"epoch"`
	Job   string `json:"job"`
}

// emptyAnswer is the empty answer of calls that return nothing.
type emptyAnswer struct{}

// jobCall asks the owner of a pool for the status of a part of a job, or to cancel it.
type jobCall struct {
	Pool string `json:"pool"`
	Job  string `json:"job"`
}

// jobAnswer holds the status of a part of a job and the reason for it.
type jobAnswer struct {
	Status      fold.JobStatus   `json:"status"`
	Explanation fold.Explanation `json:"explanation"`
}

// ownerCall notifies an entry that it became the owner of units. With Claims, it is sent before the handover and passes on
// the claims that were granted.
type ownerCall struct {
	Claims []handedClaims `json:"claims,omitempty"`
}

// ownerAnswer is the empty answer to an ownerCall.
type ownerAnswer struct{}

// handlePeers registers the handlers of calls from peers about membership, claims and jobs.
func (e *Entry) handlePeers() {
	peer.Handle(e.node, kindHeartbeat, e.answerHeartbeat)
	peer.Handle(e.node, kindClaim, e.answerClaim)
	peer.Handle(e.node, kindAssign, e.handleAssign)
	peer.Handle(e.node, kindReturn, func(_ context.Context, _ string, call returnCall) (emptyAnswer, error) {
		e.returnUnused(call)
		return emptyAnswer{}, nil
	})
	peer.Handle(e.node, kindOwner, func(_ context.Context, _ string, call ownerCall) (ownerAnswer, error) {
		if len(call.Claims) > 0 {
			e.claims.storeHanded(call.Claims)
			return ownerAnswer{}, nil
		}
		wake(e.wakeups.units)
		return ownerAnswer{}, nil
	})
	peer.Handle(e.node, kindLookup, func(_ context.Context, _ string, call jobCall) (jobAnswer, error) {
		return e.lookupLocal(call)
	})
	peer.Handle(e.node, kindCancel, func(_ context.Context, _ string, call jobCall) (jobAnswer, error) {
		return e.cancelLocal(call)
	})
}

// answerHeartbeat records a heartbeat of a peer and answers with one of this entry.
func (e *Entry) answerHeartbeat(_ context.Context, from string, b owner.Beat) (owner.Beat, error) {
	if b.ID != from {
		return owner.Beat{}, fold.Refuse(fold.Forbidden, "send heartbeats under the own name", "peer %s sent a heartbeat in the name of %s", from, b.ID)
	}
	e.withMachine(func(m *owner.Machine) { m.RecordRequest(e.clock.Now(), b) })
	e.learnRevision(b)
	return e.heartbeat(), nil
}
