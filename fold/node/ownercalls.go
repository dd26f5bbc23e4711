package node

import (
	"context"
	"sync"
	"time"

	"plantainfold.example/fold"
	"plantainfold.example/fold/core"
	"plantainfold.example/fold/drive"
	"plantainfold.example/fold/flow"
	"plantainfold.example/fold/front"
	"plantainfold.example/fold/peer"
)

// Calls between entries about the ownership of the pool and its jobs.
const (
	// ownedEpochCall asks an entry for its ownedEpoch, the epoch in which it owns the pool or 0.
	ownedEpochCall = "owns"
	// submitCall asks the owner to record a job.
	submitCall = "submit"
	// cancelCall asks the owner to record a cancellation request.
	cancelCall = "cancel"
	// stateCall asks the owner for the state of a job.
	stateCall = "state"
	// snapshotCall asks the owner for its copy of the configuration and of the owner's row. Entries that cannot reach the
	// table make this call.
	snapshotCall = "news"
	// announceCall tells an entry whether the calling owner starts unrecorded runs.
	announceCall = "announce"
	// inviteCall asks an entry to take the pool over from the calling owner.
	inviteCall = "invite"
	// closeCall asks an entry to refuse announcements of the previous owner. A new owner makes this call.
	closeCall = "close"
	// tableHealthyCall asks an entry whether the table is healthy for it (see tableHealthy).
	tableHealthyCall = "healthy"
)

// ownerBackoffTime is how long this entry makes no calls to an owner that has failed to answer.
const ownerBackoffTime = time.Second

// ownerRequest asks the owner to record a job or a cancellation request.
type ownerRequest struct {
	// Job is the job to submit.
	Job flow.Job `json:"job"`
	// ID identifies the job to cancel, and Team is the team of the caller.
	ID   string `json:"id,omitempty"`
	Team string `json:"team,omitempty"`
	// Check is the condition on the table under which the request is recorded.
	Check fold.Check `json:"check"`
	// TimeLeft is how long the asking entry waits for the answer, or 0 if it has no deadline.
	TimeLeft time.Duration `json:"left,omitempty"`
}

// answerReserve is the part of ownerRequest.TimeLeft that is reserved for the delivery of the owner's answer.
const answerReserve = 40 * time.Millisecond

// withTimeout returns a context that ends early enough for the owner's answer to reach the asking entry.
func (r ownerRequest) withTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	if r.TimeLeft <= 0 {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, r.TimeLeft-answerReserve)
}

// timeLeft returns the time until the deadline of ctx, or 0 if it has none.
func timeLeft(ctx context.Context) time.Duration {
	end, ok := ctx.Deadline()
	if !ok {
		return 0
	}
	return max(time.Millisecond, time.Until(end))
}

// ownerReply is the answer to an ownerRequest.
type ownerReply struct {
	// Known reports whether the job had been submitted before.
	Known bool `json:"known,omitempty"`
	// Conflict is the key of the row whose check failed, or "".
	Conflict string `json:"conflict,omitempty"`
}

// jobState is the owner's answer about a job.
type jobState struct {
	// State is the recorded state of the job.
	State flow.State `json:"state"`
	// Team is the team that the job belongs to.
	Team string `json:"team,omitempty"`
}

// registerOwnerCalls registers the handlers of the calls about ownership and jobs.
func (n *Node) registerOwnerCalls(transport *peer.Transport) {
	peer.Handle(transport, ownedEpochCall, func(_ context.Context, from string, _ struct{}) (int64, error) {
		n.peers.recordContact(from)
		return n.ownedEpoch(), nil
	})
	peer.Handle(transport, closeCall, func(_ context.Context, _ string, epoch int64) (closeReply, error) {
		return n.answerClose(epoch), nil
	})
	peer.Handle(transport, snapshotCall, func(_ context.Context, _ string, known int64) (snapshot, error) {
		return n.snapshotFor(known), nil
	})
	peer.Handle(transport, submitCall, func(ctx context.Context, _ string, req ownerRequest) (ownerReply, error) {
		d, err := n.loadedDriver()
		if err != nil {
			return ownerReply{}, err
		}
		ctx, cancel := req.withTimeout(ctx)
		defer cancel()
		known, err := d.Submit(ctx, req.Job, req.Check)
		return conflictAsAnswer(ownerReply{Known: known}, err)
	})
	peer.Handle(transport, cancelCall, func(ctx context.Context, _ string, req ownerRequest) (ownerReply, error) {
		d, err := n.loadedDriver()
		if err != nil {
			return ownerReply{}, err
		}
		ctx, cancel := req.withTimeout(ctx)
		defer cancel()
		return conflictAsAnswer(ownerReply{}, d.Cancel(ctx, req.ID, req.Team, req.Check))
	})
	peer.Handle(transport, announceCall, func(ctx context.Context, _ string, a announcement) (bool, error) {
		return n.recordAnnouncement(a, a.On && n.tableHealthy(ctx))
	})
	peer.Handle(transport, inviteCall, func(ctx context.Context, _ string, epoch int64) (bool, error) {
		return n.tableHealthy(ctx) && n.acceptInvitation(epoch), nil
	})
	peer.Handle(transport, tableHealthyCall, func(ctx context.Context, _ string, _ struct{}) (bool, error) {
		return n.tableHealthy(ctx), nil
	})
	peer.Handle(transport, explainCall, func(_ context.Context, _ string, question explainQuestion) (core.Explanation, error) {
		return n.explainHere(question)
	})
	peer.Handle(transport, stateCall, func(_ context.Context, _ string, id string) (jobState, error) {
		d, err := n.loadedDriver()
		if err != nil {
			return jobState{}, err
		}
		return stateOf(d, id)
	})
}

// conflictAsAnswer returns a failed check as a field of the answer, because an error loses the row's key on the way to
// another entry.
func conflictAsAnswer(reply ownerReply, err error) (ownerReply, error) {
	if key := fold.ConflictKey(err); key != "" {
		return ownerReply{Conflict: key}, nil
	}
	return reply, err
}

func stateOf(d *drive.Driver, id string) (jobState, error) {
	state, team, ok := d.State(id)
	if !ok {
		return jobState{}, fold.Refuse(fold.Gone, "read the table", "the owner does not know the job %q", id)
	}
	return jobState{State: state, Team: team}, nil
}

// ownedEpoch returns the epoch in which this entry owns the pool or tries to take it over. It returns 0 if there is none, or
// if the driver cannot commit (see CanCommit). An unconfirmed takeover counts as ownership, because its commit may succeed
// long before the answer arrives.
func (n *Node) ownedEpoch() int64 {
	if d := n.currentDriver(); d != nil {
		if d.CanCommit() {
			return d.Epoch()
		}
		return 0
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.attemptedEpoch
}

// currentDriver returns the driver of this entry, or nil if it does not own the pool.
func (n *Node) currentDriver() *drive.Driver {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.driver
}

// loadedDriver returns the driver of this entry, or an error if there is none or it has not loaded all jobs yet.
func (n *Node) loadedDriver() (*drive.Driver, error) {
	d := n.currentDriver()
	if d != nil {
		select {
		case <-d.Loaded():
			return d, nil
		default:
		}
	}
	return nil, fold.Refuse(fold.Unavailable, "ask the owner of the pool", "this entry does not own the pool or has not loaded all jobs yet")
}

// owner returns the owner of the pool, or nil if there is none that this entry can call now.
func (n *Node) owner() front.Owner {
	if n.currentDriver() != nil {
		d, err := n.loadedDriver()
		if err != nil {
			return nil
		}
		return localOwner{driver: d}
	}
	n.mu.Lock()
	s := n.ownerRow
	n.mu.Unlock()
	transport := n.peers.peerTransport()
	if s.owner.Entry == "" || s.owner.Entry == n.settings.Name || transport == nil || !n.ownerBackoff.permits(n.clock.Now(), s.owner.Epoch) {
		return nil
	}
	return remoteOwner{transport: transport, address: s.owner.Address, epoch: s.owner.Epoch, backoff: &n.ownerBackoff, clock: n.clock}
}

// localOwner is the owner in this process.
type localOwner struct {
	driver *drive.Driver
}

var _ front.Owner = localOwner{}

// Submit makes a job durable.
func (o localOwner) Submit(ctx context.Context, job flow.Job, check fold.Check) (bool, error) {
	return o.driver.Submit(ctx, job, check)
}

// Cancel makes the request to cancel a job durable.
func (o localOwner) Cancel(ctx context.Context, id, team string, check fold.Check) error {
	return o.driver.Cancel(ctx, id, team, check)
}

// State returns the recorded state of a job.
func (o localOwner) State(_ context.Context, id string) (flow.State, string, error) {
	s, err := stateOf(o.driver, id)
	return s.State, s.Team, err
}

// remoteOwner calls the owner in another process.
type remoteOwner struct {
	transport *peer.Transport
	address   string
	epoch     int64
	backoff   *ownerBackoff
	clock     fold.Clock
}

var _ front.Owner = remoteOwner{}

// Submit asks the owner to make a job durable.
func (o remoteOwner) Submit(ctx context.Context, job flow.Job, check fold.Check) (bool, error) {
	reply, err := callOwner[ownerRequest, ownerReply](ctx, o, submitCall, ownerRequest{Job: job, Check: check, TimeLeft: timeLeft(ctx)})
	return reply.Known, reply.asError(err)
}

// Cancel asks the owner to make the request to cancel a job durable.
func (o remoteOwner) Cancel(ctx context.Context, id, team string, check fold.Check) error {
	reply, err := callOwner[ownerRequest, ownerReply](ctx, o, cancelCall, ownerRequest{ID: id, Team: team, Check: check, TimeLeft: timeLeft(ctx)})
	return reply.asError(err)
}

func (r ownerReply) asError(err error) error {
	if err == nil && r.Conflict != "" {
		return fold.ConflictOn(r.Conflict)
	}
	return err
}

// State asks the owner for the recorded state of a job.
func (o remoteOwner) State(ctx context.Context, id string) (flow.State, string, error) {
	s, err := callOwner[string, jobState](ctx, o, stateCall, id)
	return s.State, s.Team, err
}

const (
	// callPingInterval is how often the entry pings the owner while it waits for the answer to another call.
	callPingInterval = 400 * time.Millisecond
	// callPingTimeout limits such a ping.
	callPingTimeout = 300 * time.Millisecond
)

// callOwner calls the owner, and pings it until the answer arrives. If the owner does not confirm its epoch in time or ctx
// ends first, the call fails and further calls to the owner are suspended for ownerBackoffTime.
func callOwner[In, Out any](ctx context.Context, o remoteOwner, kind string, in In) (Out, error) {
	call, cancel := context.WithCancel(ctx)
	defer cancel()
	watched := make(chan struct{})
	go func() {
		defer close(watched)
		o.abortWhenLost(call, cancel)
	}()
	out, err := peer.Call[In, Out](call, o.transport, o.address, kind, in)
	if err != nil && call.Err() != nil {
		o.backoff.suspend(o.clock.Now(), o.epoch)
	}
	cancel()
	<-watched
	return out, err
}

// abortWhenLost pings the owner and calls abort when the owner does not answer or does not confirm its epoch.
func (o remoteOwner) abortWhenLost(ctx context.Context, abort context.CancelFunc) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-o.clock.After(callPingInterval):
		}
		ping, cancel := context.WithTimeout(ctx, callPingTimeout)
		epoch, err := peer.Call[struct{}, int64](ping, o.transport, o.address, ownedEpochCall, struct{}{})
		cancel()
		if err != nil || epoch != o.epoch {
			abort()
			return
		}
	}
}

// ownerBackoff suspends calls to an owner that did not answer.
type ownerBackoff struct {
	mu sync.Mutex
	// epoch is the epoch of the owner that did not answer.
	epoch int64
	// until is when calls to that owner resume.
	until fold.Instant
}

func (b *ownerBackoff) suspend(now fold.Instant, epoch int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.epoch, b.until = epoch, now.Add(ownerBackoffTime)
}

// permits reports whether the owner of the epoch can be called now.
func (b *ownerBackoff) permits(now fold.Instant, epoch int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.epoch != epoch || now >= b.until
}
