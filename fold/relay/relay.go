package relay

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"plantainfold.example/fold"
)

// Parts are the dependencies and settings of a relay.
type Parts struct {
	Runner fold.Runner
	Clock  fold.Clock
	Logger hclog.Logger
	Meter  Meter
	// Epoch is the epoch of the owner; hosts use it as the fence.
	Epoch int64
	// Lease is the longest lease that hosts grant.
	Lease time.Duration
	// Permitted reports whether leases may be renewed and runs started now.
	Permitted func() bool
	// OwnerTime returns a current or earlier reading of the owner's clock.
	OwnerTime func() fold.Instant
}

// Meter records the durations of calls to hosts.
type Meter interface {
	Start(took time.Duration, err error)
	Hold(took time.Duration, err error)
}

// Relay supervises hosts for the owner of one epoch.
type Relay struct {
	parts Parts
	log   hclog.Logger
	ctx   context.Context
	stop  context.CancelFunc
	group sync.WaitGroup

	mu sync.Mutex
	// closed is set by Close. A closed relay starts no goroutines.
	closed   bool
	contacts map[string]*contact
	results  []Result
	// reports holds the newest report of each host, which repeats the run ends that are not acknowledged.
	reports map[string]Report
	// silences holds the newest silence of each host.
	silences map[string]Silence
	fenced   bool
	// commonOrderDelay is the moving average of the delays of all hosts' answers to starts. Hosts that are late together, for example
	// because they share a busy machine, are noticed by the first answers.
	commonOrderDelay time.Duration
	wake             chan struct{}
}

// New returns a relay without hosts. Close stops it.
func New(parts Parts) *Relay {
	ctx, stop := context.WithCancel(context.Background())
	return &Relay{
		parts: parts, log: parts.Logger.Named("relay"), ctx: ctx, stop: stop, contacts: make(map[string]*contact),
		reports: make(map[string]Report), silences: make(map[string]Silence), wake: make(chan struct{}, 1),
	}
}

// Close stops all goroutines, waits for them and closes the idle connections to hosts. Orders in progress then have no outcome.
func (r *Relay) Close() error {
	r.mu.Lock()
	r.closed = true
	r.mu.Unlock()
	r.stop()
	r.group.Wait()
	r.parts.Runner.Disconnect()
	return nil
}

// LeasesLeft returns how long the leases may still last that the relay has requested on the hosts that it supervises, by the ids of
// the hosts. Of a closed relay these are the last ones.
func (r *Relay) LeasesLeft() map[string]time.Duration {
	now := r.parts.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	left := make(map[string]time.Duration, len(r.contacts))
	for id, c := range r.contacts {
		left[id] = c.lease.Remaining(now)
	}
	return left
}

// spawn calls fn in a goroutine that Close waits for. The caller holds the lock, and the relay is not closed.
func (r *Relay) spawn(fn func()) {
	r.group.Add(1)
	go func() {
		defer r.group.Done()
		fn()
	}()
}

// Apply applies orders and does not wait for their outcome. A closed relay refuses them: the owner may still get the answer to
// a commit after it has closed its relay.
func (r *Relay) Apply(o Orders) {
	if !r.apply(o) {
		r.Refuse(o, fold.Refuse(fold.Unavailable, "send the order again", "the relay is closed"))
	}
}

// apply applies orders unless the relay is closed, and reports whether it did.
func (r *Relay) apply(o Orders) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return false
	}
	for _, id := range o.Releases {
		if c, ok := r.contacts[id]; ok {
			c.cancel()
			delete(r.contacts, id)
			delete(r.reports, id)
			delete(r.silences, id)
		}
	}
	for _, c := range o.Contacts {
		r.addContact(c)
	}
	for _, a := range o.Acks {
		if c, ok := r.contacts[a.Host]; ok {
			c.acknowledge(a.Incarnation, a.Number)
		}
	}
	for _, w := range o.Waits {
		if c, ok := r.contacts[w.Host]; ok {
			c.info.MaxWait = w.MaxWait
		}
	}
	for _, s := range o.Starts {
		incarnation := r.incarnationOf(o, s.Number, s.Host)
		r.spawn(func() { r.startRun(s, incarnation) })
	}
	for _, s := range o.Stops {
		incarnation := r.incarnationOf(o, s.Number, s.Host)
		r.spawn(func() { r.stopRun(s, incarnation) })
	}
	for _, p := range o.Paces {
		incarnation := r.incarnationOf(o, p.Number, p.Host)
		r.spawn(func() { r.paceRun(p, incarnation) })
	}
	return true
}

// incarnationOf returns the incarnation of the host that an order is meant for. The caller holds the lock.
func (r *Relay) incarnationOf(o Orders, number uint64, host string) int64 {
	if incarnation, ok := o.Incarnations[number]; ok {
		return incarnation
	}
	if c, ok := r.contacts[host]; ok {
		return c.info.Incarnation
	}
	return 0
}

// Refuse reports an error as the outcome of orders that must not be carried out any more, and sends none of them.
func (r *Relay) Refuse(o Orders, err error) {
	for _, s := range o.Starts {
		r.recordResult(s.Number, err)
	}
	for _, s := range o.Stops {
		r.recordResult(s.Number, err)
	}
	for _, p := range o.Paces {
		r.recordResult(p.Number, err)
	}
}

// Events waits for the next event or the end of ctx, gathers further events for a while, and returns all of them.
func (r *Relay) Events(ctx context.Context, gather time.Duration) Events {
	select {
	case <-ctx.Done():
	case <-r.wake:
		r.pause(ctx, gather)
	}
	return r.collectEvents()
}

// collectEvents removes and returns the events.
func (r *Relay) collectEvents() Events {
	r.mu.Lock()
	defer r.mu.Unlock()
	events := Events{Results: r.results, Fenced: r.fenced}
	r.results = nil
	for _, report := range r.reports {
		events.Reports = append(events.Reports, report)
	}
	for _, silence := range r.silences {
		events.Silences = append(events.Silences, silence)
	}
	clear(r.reports)
	clear(r.silences)
	return events
}

func (r *Relay) notify() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// recordResult records the outcome of an order.
func (r *Relay) recordResult(number uint64, err error) {
	out := Result{Number: number}
	if err != nil {
		out.Failed = fold.ToWire(err)
	}
	r.mu.Lock()
	r.results = append(r.results, out)
	r.mu.Unlock()
	r.notify()
}
