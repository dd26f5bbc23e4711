package relay_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"plantainfold.example/fold"
	"plantainfold.example/fold/relay"
)

// clock follows the time of a synctest bubble.
type clock struct{}

func (clock) Now() fold.Instant                      { return fold.Instant(time.Now().UnixNano()) }
func (clock) After(d time.Duration) <-chan time.Time { return time.After(d) }

// host is a stand-in for a host that notes what it is asked.
type host struct {
	began time.Time

	mu     sync.Mutex
	born   int64
	silent bool
	ends   []fold.HostEnd
	// looks and starts are the requests that arrived.
	looks  []fold.HoldRequest
	starts []fold.StartRequest
}

func newHost() *host { return &host{began: time.Now(), born: 1} }

func (h *host) set(change func(*host)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	change(h)
}

// last returns the last look.
func (h *host) last() fold.HoldRequest {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.looks[len(h.looks)-1]
}

func (h *host) Hold(ctx context.Context, _ fold.Host, q fold.HoldRequest) (fold.HoldReply, error) {
	h.mu.Lock()
	h.looks = append(h.looks, q)
	silent, reply := h.silent, fold.HoldReply{Incarnation: h.born, Ends: h.ends}
	h.mu.Unlock()
	if silent {
		<-ctx.Done()
		return fold.HoldReply{}, fold.Unknown.Wrap(ctx.Err(), "no answer")
	}
	select {
	case <-ctx.Done():
		return fold.HoldReply{}, fold.Unknown.Wrap(ctx.Err(), "no answer")
	case <-time.After(q.Wait):
	}
	reply.Clock = time.Since(h.began).Milliseconds() + 1
	return reply, nil
}

func (h *host) Start(_ context.Context, _ fold.Host, q fold.StartRequest) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.starts = append(h.starts, q)
	return nil
}

func (h *host) Stop(context.Context, fold.Host, string, int, int64) error      { return nil }
func (h *host) Pace(context.Context, fold.Host, string, int, int, int64) error { return nil }

type noMeter struct{}

func (noMeter) Start(time.Duration, error) {}
func (noMeter) Hold(time.Duration, error)  {}

const leaseTime = 6 * time.Second

func parts(runner fold.Runner) relay.Parts {
	return relay.Parts{
		Runner: runner, Clock: clock{}, Logger: hclog.NewNullLogger(), Meter: noMeter{}, Epoch: 3, Lease: leaseTime,
		Permitted: func() bool { return true }, OwnerTime: clock{}.Now,
	}
}

var contact = relay.Contact{ID: "a", Address: "a", Incarnation: 1, MaxWait: 100 * time.Millisecond}

// start is an order to start the first run of a task.
func start(number uint64) relay.Orders {
	return relay.Orders{Starts: []relay.Start{{Number: number, Host: "a", Task: "j.0.0.0", Run: 1, Job: "j", Spec: "text"}}}
}

// Guards against a renewal that keeps the lease of a silent host from ever ending, and one without permission.
func TestNoRenewalWhileSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHost()
		may := true
		p := parts(h)
		p.Permitted = func() bool {
			h.mu.Lock()
			defer h.mu.Unlock()
			return may
		}
		r := relay.New(p)
		defer func() { _ = r.Close() }()
		r.Apply(relay.Orders{Contacts: []relay.Contact{contact}})
		time.Sleep(time.Second)
		if h.last().LeaseEnd == 0 {
			t.Error("no renewal for a host that answers")
		}
		h.set(func(*host) { may = false })
		time.Sleep(time.Second)
		if h.last().LeaseEnd != 0 {
			t.Error("a renewal without permission")
		}
		h.set(func(h *host) { may, h.silent = true, true })
		time.Sleep(2 * time.Second)
		if h.last().LeaseEnd != 0 {
			t.Error("a renewal for a host that does not answer")
		}
		news := r.Events(t.Context(), 0)
		if len(news.Silences) != 1 || news.Silences[0].LeaseLeft <= 0 || news.Silences[0].LeaseLeft > leaseTime*51/50 {
			t.Errorf("silences %+v, want one with what is left of the lease", news.Silences)
		}
		r.Apply(start(1))
		time.Sleep(time.Second)
		if news := r.Events(t.Context(), 0); len(news.Results) != 1 || !fold.DidNotRun(news.Results[0].Failed.Err()) || len(h.starts) != 0 {
			t.Errorf("a start on a silent host: %+v, %d sent", news.Results, len(h.starts))
		}
	})
}

// Guards against a process that stood still and then starts a run by a permission that has run out meanwhile.
func TestNoStartWithoutPermission(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHost()
		p := parts(h)
		p.Permitted = func() bool { return false }
		r := relay.New(p)
		defer func() { _ = r.Close() }()
		r.Apply(relay.Orders{Contacts: []relay.Contact{contact}})
		time.Sleep(time.Second)
		r.Apply(start(1))
		time.Sleep(time.Second)
		if news := r.Events(t.Context(), 0); len(news.Results) != 1 || !fold.DidNotRun(news.Results[0].Failed.Err()) || len(h.starts) != 0 {
			t.Errorf("results %+v, %d starts sent; want one refusal unsent", news.Results, len(h.starts))
		}
	})
}

// Guards against ends of a new life of a host that are forgotten because they have the numbers of ends that were
// acknowledged to an earlier life.
func TestAcknowledgementsOfAnotherLife(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHost()
		r := relay.New(parts(h))
		defer func() { _ = r.Close() }()
		r.Apply(relay.Orders{Contacts: []relay.Contact{contact}, Acks: []relay.Ack{{Host: "a", Incarnation: 1, Number: 7}}})
		time.Sleep(time.Second)
		if got := h.last().Acked; got != 7 {
			t.Errorf("acknowledged %d, want 7", got)
		}
		h.set(func(h *host) { h.silent = true })
		time.Sleep(2 * time.Second)
		h.set(func(h *host) {
			h.silent, h.born, h.looks = false, 2, nil
			h.ends = []fold.HostEnd{{Number: 3, Task: "j.0.0.0", Run: 1, Kind: fold.EndDone}}
		})
		time.Sleep(time.Second)
		r.Apply(relay.Orders{Acks: []relay.Ack{{Host: "a", Incarnation: 1, Number: 9}}})
		time.Sleep(time.Second)
		h.mu.Lock()
		defer h.mu.Unlock()
		for _, q := range h.looks {
			if q.Acked != 0 {
				t.Fatalf("a look at the new life acknowledges end %d", q.Acked)
			}
		}
	})
}

// Guards against a host that nobody looks after, because it was given away and came back before the relay was told.
func TestHostThatCameBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHost()
		r := relay.New(parts(h))
		defer func() { _ = r.Close() }()
		r.Apply(relay.Orders{Contacts: []relay.Contact{contact}})
		time.Sleep(time.Second)
		var o relay.Orders
		o.Add(relay.Orders{Releases: []string{"a"}})
		o.Add(relay.Orders{Contacts: []relay.Contact{contact}})
		r.Apply(o)
		time.Sleep(time.Second)
		h.set(func(h *host) { h.looks = nil })
		time.Sleep(time.Second)
		h.mu.Lock()
		seen := len(h.looks)
		h.mu.Unlock()
		if seen == 0 {
			t.Error("the host that came back is not looked at")
		}
		o = relay.Orders{}
		o.Add(relay.Orders{Contacts: []relay.Contact{contact}})
		o.Add(relay.Orders{Releases: []string{"a"}})
		r.Apply(o)
		time.Sleep(time.Second)
		h.set(func(h *host) { h.looks = nil })
		time.Sleep(time.Second)
		if len(h.looks) != 0 {
			t.Error("a host that was given away is looked at")
		}
	})
}

// owner is a stand-in for the owner of a session.
type owner struct {
	mu    sync.Mutex
	batch relay.Batch
	// cut makes calls fail, delay holds an answer with orders back on its way.
	cut   bool
	delay time.Duration
	told  uint64
	ready chan struct{}
}

func (o *owner) Orders(ctx context.Context, _ uint64) (relay.Batch, error) {
	select {
	case <-ctx.Done():
		return relay.Batch{}, ctx.Err()
	case <-o.ready:
	}
	o.mu.Lock()
	batch, delay := o.batch, o.delay
	batch.Number, batch.LastEvents = 1, o.told
	o.mu.Unlock()
	time.Sleep(delay)
	return batch, nil
}

func (o *owner) News(_ context.Context, number, _ uint64, _ relay.Events, _ bool) (relay.Permit, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.cut {
		return relay.Permit{}, fold.Unknown.New("cut")
	}
	o.told = number
	return relay.Permit{RenewFor: time.Second, OwnerTime: clock{}.Now()}, nil
}

// Guards against orders that were held up on their way, or in a process that stood still, and are carried out after the
// owner has given the relay up; and against leases that a relay renews although the owner is gone.
func TestLateOrdersAreRefused(t *testing.T) {
	cases := []struct {
		name  string
		delay time.Duration
		want  int
	}{
		{"in time", 100 * time.Millisecond, 1},
		{"held up", 1500 * time.Millisecond, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h, o := newHost(), &owner{ready: make(chan struct{}), delay: c.delay}
				s := relay.Open(parts(h), o, clock{}.Now(), func() bool { return false })
				defer func() { _ = s.Close() }()
				time.Sleep(time.Second)
				o.batch = relay.Batch{Orders: relay.Orders{Contacts: []relay.Contact{contact}, Starts: start(1).Starts}}
				o.ready <- struct{}{}
				time.Sleep(2 * time.Second)
				h.mu.Lock()
				if got := len(h.starts); got != c.want {
					t.Errorf("%d starts, want %d", got, c.want)
				}
				h.mu.Unlock()
				o.mu.Lock()
				o.cut = true
				o.mu.Unlock()
				time.Sleep(1500 * time.Millisecond)
				if q := h.last(); q.LeaseEnd != 0 {
					t.Error("leases are renewed long after the owner was last heard")
				}
			})
		})
	}
}
