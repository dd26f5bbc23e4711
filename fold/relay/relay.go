package relay

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"plantainfold.example/fold"
)

// Parts are what a relay works with.
type Parts struct {
	Runner fold.Runner
	Clock  fold.Clock
	Logger hclog.Logger
	Meter  Meter
	// Epoch is the fence of the owner.
	Epoch int64
	// Lease is the longest lease that hosts grant.
	Lease time.Duration
	// Permitted reports whether leases may be renewed and runs started now.
	Permitted func() bool
	// OwnerTime returns an instant of the owner's clock that has passed.
	OwnerTime func() fold.Instant
}

// Meter takes the times of calls to hosts.
type Meter interface {
	Start(took time.Duration, err error)
	Hold(took time.Duration, err error)
}

// Relay looks after hosts for the owner of one epoch.
type Relay struct {
	parts Parts
	log   hclog.Logger
	ctx   context.Context
	stop  context.CancelFunc
	group sync.WaitGroup

	mu       sync.Mutex
	contacts map[string]*contact
	results  []Result
	// reports and silences hold the newest of each host; a report repeats the ends that are not acknowledged.
	reports  map[string]Report
	silences map[string]Silence
	fenced   bool
	wake     chan struct{}
}

// New returns a relay without hosts; Close stops it.
func New(parts Parts) *Relay {
	ctx, stop := context.WithCancel(context.Background())
	return &Relay{
		parts: parts, log: parts.Logger.Named("relay"), ctx: ctx, stop: stop, contacts: make(map[string]*contact),
		reports: make(map[string]Report), silences: make(map[string]Silence), wake: make(chan struct{}, 1),
	}
}

// Close stops all loops and waits for them. Orders under way have no outcome then.
func (r *Relay) Close() error {
	r.stop()
	r.group.Wait()
	return nil
}

func (r *Relay) spawn(fn func()) {
	r.group.Add(1)
	go func() {
		defer r.group.Done()
		fn()
	}()
}

// Apply carries orders out; it does not wait for their outcome.
func (r *Relay) Apply(o Orders) {
	r.mu.Lock()
	for _, id := range o.Releases {
		if c, ok := r.contacts[id]; ok {
			c.cancel()
			delete(r.contacts, id)
			delete(r.reports, id)
			delete(r.silences, id)
		}
	}
	for _, c := range o.Contacts {
		r.contact(c)
	}
	for _, a := range o.Acks {
		if c, ok := r.contacts[a.Host]; ok {
			c.ack(a.Incarnation, a.Number)
		}
	}
	for _, w := range o.Waits {
		if c, ok := r.contacts[w.Host]; ok {
			c.info.MaxWait = w.MaxWait
		}
	}
	r.mu.Unlock()
	for _, s := range o.Starts {
		r.spawn(func() { r.start(s) })
	}
	for _, s := range o.Stops {
		r.spawn(func() { r.stopRun(s) })
	}
	for _, p := range o.Paces {
		r.spawn(func() { r.pace(p) })
	}
}

// Refuse answers orders that must not be carried out any more; nothing of them is sent.
func (r *Relay) Refuse(o Orders, err error) {
	for _, s := range o.Starts {
		r.result(s.Number, err)
	}
	for _, s := range o.Stops {
		r.result(s.Number, err)
	}
	for _, p := range o.Paces {
		r.result(p.Number, err)
	}
}

// Events waits until something has happened, at most until ctx ends, gathers what happens meanwhile, and returns it.
func (r *Relay) Events(ctx context.Context, gather time.Duration) Events {
	select {
	case <-ctx.Done():
	case <-r.wake:
		r.pause(ctx, gather)
	}
	return r.take()
}

// take removes and returns what has happened.
func (r *Relay) take() Events {
	r.mu.Lock()
	defer r.mu.Unlock()
	news := Events{Results: r.results, Fenced: r.fenced}
	r.results = nil
	for _, report := range r.reports {
		news.Reports = append(news.Reports, report)
	}
	for _, silence := range r.silences {
		news.Silences = append(news.Silences, silence)
	}
	clear(r.reports)
	clear(r.silences)
	return news
}

func (r *Relay) poke() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// result notes the outcome of an order.
func (r *Relay) result(number uint64, err error) {
	out := Result{Number: number}
	if err != nil {
		out.Failed = fold.ToWire(err)
	}
	r.mu.Lock()
	r.results = append(r.results, out)
	r.mu.Unlock()
	r.poke()
}
