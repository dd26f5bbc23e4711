package node

import (
	"context"
	"sync"
	"time"

	"plantainfold.example/fold"
	"plantainfold.example/fold/drive"
	"plantainfold.example/fold/flow"
	"plantainfold.example/fold/front"
	"plantainfold.example/fold/peer"
)

// Calls from an entry to the owner of the pool.
const (
	ownsCall   = "owns"
	submitCall = "submit"
	cancelCall = "cancel"
	stateCall  = "state"
	// newsCall is made by an entry that the table turns away.
	newsCall = "news"
	// announceCall and inviteCall are made by the owner to the other entries.
	announceCall = "announce"
	inviteCall   = "invite"
	// closeCall is made by a new owner about the one before it.
	closeCall = "close"
)

// ownerRest is how long the owner is left alone after it did not answer.
const ownerRest = time.Second

// wish is a request for the owner to record.
type wish struct {
	Job   flow.Job   `json:"job"`
	ID    string     `json:"id,omitempty"`
	Check fold.Check `json:"check"`
	// Left is how long the entry waits for the answer, or 0 if that is not bounded.
	Left time.Duration `json:"left,omitempty"`
}

// answerTime is kept for the answer of the owner to arrive.
const answerTime = 40 * time.Millisecond

// bounded ends the owner's work on the wish in time for its answer to arrive.
func (w wish) bounded(ctx context.Context) (context.Context, context.CancelFunc) {
	if w.Left <= 0 {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, w.Left-answerTime)
}

// timeLeft returns how long ctx goes on, or 0 if that is not bounded.
func timeLeft(ctx context.Context) time.Duration {
	end, ok := ctx.Deadline()
	if !ok {
		return 0
	}
	return max(time.Millisecond, time.Until(end))
}

// accepted is the answer to a wish. A failed check travels as a field, because its error names a row.
type accepted struct {
	Known    bool   `json:"known,omitempty"`
	Conflict string `json:"conflict,omitempty"`
}

// shown is the state of a job as the owner tells it.
type shown struct {
	State flow.State `json:"state"`
	Team  string     `json:"team,omitempty"`
}

// handleOwner answers the calls that other entries make to the owner.
func (n *Node) handleOwner(node *peer.Node) {
	peer.Handle(node, ownsCall, func(_ context.Context, from string, _ struct{}) (int64, error) {
		n.peers.hear(from)
		return n.owned(), nil
	})
	peer.Handle(node, closeCall, func(_ context.Context, _ string, epoch int64) (ended, error) {
		return n.closed(epoch), nil
	})
	peer.Handle(node, newsCall, func(_ context.Context, _ string, known int64) (news, error) {
		return n.tellNews(known), nil
	})
	peer.Handle(node, submitCall, func(ctx context.Context, _ string, w wish) (accepted, error) {
		d, err := n.loaded()
		if err != nil {
			return accepted{}, err
		}
		ctx, cancel := w.bounded(ctx)
		defer cancel()
		known, err := d.Submit(ctx, w.Job, w.Check)
		return conflictAsAnswer(accepted{Known: known}, err)
	})
	peer.Handle(node, cancelCall, func(ctx context.Context, _ string, w wish) (accepted, error) {
		d, err := n.loaded()
		if err != nil {
			return accepted{}, err
		}
		ctx, cancel := w.bounded(ctx)
		defer cancel()
		return conflictAsAnswer(accepted{}, d.Cancel(ctx, w.ID, w.Check))
	})
	peer.Handle(node, announceCall, func(ctx context.Context, _ string, a announcement) (bool, error) {
		return n.announced(a, a.On && n.served(ctx))
	})
	peer.Handle(node, inviteCall, func(ctx context.Context, _ string, epoch int64) (bool, error) {
		return n.served(ctx) && n.invited(epoch), nil
	})
	peer.Handle(node, stateCall, func(_ context.Context, _ string, id string) (shown, error) {
		d, err := n.loaded()
		if err != nil {
			return shown{}, err
		}
		return stateOf(d, id)
	})
}

// conflictAsAnswer turns a failed check into an answer, because its error names a row.
func conflictAsAnswer(a accepted, err error) (accepted, error) {
	if key := fold.ConflictKey(err); key != "" {
		return accepted{Conflict: key}, nil
	}
	return a, err
}

func stateOf(d *drive.Driver, id string) (shown, error) {
	state, team, ok := d.State(id)
	if !ok {
		return shown{}, fold.Refuse(fold.Gone, "read the table", "the owner does not know the job %q", id)
	}
	return shown{State: state, Team: team}, nil
}

// owned returns the epoch in which this entry owns the pool or is about to, or 0. The commit that takes the pool over
// may succeed long before its answer arrives.
func (n *Node) owned() int64 {
	if d := n.owning(); d != nil {
		if d.CanCommit() {
			return d.Epoch()
		}
		return 0
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.attempt
}

// owning returns the driver of this entry, or nil.
func (n *Node) owning() *drive.Driver {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.driver
}

// loaded returns the driver of this entry once it knows all jobs.
func (n *Node) loaded() (*drive.Driver, error) {
	d := n.owning()
	if d != nil {
		select {
		case <-d.Loaded():
			return d, nil
		default:
		}
	}
	return nil, fold.Refuse(fold.Unavailable, "ask the owner of the pool", "this entry does not own the pool")
}

// owner returns the owner of the pool as far as this entry can reach it, or nil.
func (n *Node) owner() front.Owner {
	if n.owning() != nil {
		d, err := n.loaded()
		if err != nil {
			return nil
		}
		return here{driver: d}
	}
	n.mu.Lock()
	s := n.seat
	n.mu.Unlock()
	node := n.peers.link()
	if s.owner.Entry == "" || s.owner.Entry == n.settings.Name || node == nil || !n.ownerUp.may(n.clock.Now(), s.owner.Epoch) {
		return nil
	}
	return there{node: node, address: s.owner.Address, epoch: s.owner.Epoch, up: &n.ownerUp, clock: n.clock}
}

// here is the owner in this process.
type here struct {
	driver *drive.Driver
}

var _ front.Owner = here{}

// Submit makes a job durable.
func (h here) Submit(ctx context.Context, job flow.Job, check fold.Check) (bool, error) {
	return h.driver.Submit(ctx, job, check)
}

// Cancel makes the wish to cancel a job durable.
func (h here) Cancel(ctx context.Context, id string, check fold.Check) error {
	return h.driver.Cancel(ctx, id, check)
}

// State returns the recorded state of a job.
func (h here) State(_ context.Context, id string) (flow.State, string, error) {
	s, err := stateOf(h.driver, id)
	return s.State, s.Team, err
}

// there is the owner in another process.
type there struct {
	node    *peer.Node
	address string
	epoch   int64
	up      *rest
	clock   fold.Clock
}

var _ front.Owner = there{}

// Submit lets the owner make a job durable.
func (t there) Submit(ctx context.Context, job flow.Job, check fold.Check) (bool, error) {
	a, err := callOwner[wish, accepted](ctx, t, submitCall, wish{Job: job, Check: check, Left: timeLeft(ctx)})
	return a.Known, a.failed(err)
}

// Cancel lets the owner make the wish to cancel a job durable.
func (t there) Cancel(ctx context.Context, id string, check fold.Check) error {
	a, err := callOwner[wish, accepted](ctx, t, cancelCall, wish{ID: id, Check: check, Left: timeLeft(ctx)})
	return a.failed(err)
}

func (a accepted) failed(err error) error {
	if err == nil && a.Conflict != "" {
		return fold.ConflictOn(a.Conflict)
	}
	return err
}

// State asks the owner for the recorded state of a job.
func (t there) State(ctx context.Context, id string) (flow.State, string, error) {
	s, err := callOwner[string, shown](ctx, t, stateCall, id)
	return s.State, s.Team, err
}

const (
	// askAlive is how often an owner that has not answered yet is asked whether it is at work, and aliveTime how long it
	// may take to answer that.
	askAlive  = 400 * time.Millisecond
	aliveTime = 300 * time.Millisecond
)

// callOwner calls the owner and waits for as long as it shows that it is at work; otherwise it is left alone for a while.
func callOwner[In, Out any](ctx context.Context, t there, kind string, in In) (Out, error) {
	call, cancel := context.WithCancel(ctx)
	defer cancel()
	watched := make(chan struct{})
	go func() {
		defer close(watched)
		t.watch(call, cancel)
	}()
	out, err := peer.Call[In, Out](call, t.node, t.address, kind, in)
	if err != nil && call.Err() != nil {
		t.up.leave(t.clock.Now(), t.epoch)
	}
	cancel()
	<-watched
	return out, err
}

// watch gives a call up when the owner is not at work any more.
func (t there) watch(ctx context.Context, giveUp context.CancelFunc) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.clock.After(askAlive):
		}
		ping, cancel := context.WithTimeout(ctx, aliveTime)
		epoch, err := peer.Call[struct{}, int64](ping, t.node, t.address, ownsCall, struct{}{})
		cancel()
		if err != nil || epoch != t.epoch {
			giveUp()
			return
		}
	}
}

// rest remembers that an owner did not answer.
type rest struct {
	mu    sync.Mutex
	epoch int64
	until fold.Instant
}

func (r *rest) leave(now fold.Instant, epoch int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.epoch, r.until = epoch, now.Add(ownerRest)
}

// may reports whether the owner of the epoch may be called.
func (r *rest) may(now fold.Instant, epoch int64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.epoch != epoch || now >= r.until
}
