package entry

import (
	"context"
	"math/rand/v2"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"plantainfold.example/fold"
	"plantainfold.example/fold/route"
)

// bubbleClock follows the virtual time of a synctest bubble.
type bubbleClock struct{}

var _ fold.Clock = bubbleClock{}

func (bubbleClock) Now() fold.Instant                      { return fold.Instant(time.Now().UnixNano()) }
func (bubbleClock) After(d time.Duration) <-chan time.Time { return time.After(d) }

// served is the report of an answer from an idle endpoint.
var served = route.Report{Outcome: route.Served, Slots: 8, Took: 20 * time.Millisecond}

// bench is a router whose requests are counted by the test.
type bench struct {
	*router
	all *routers
}

func newBench(endpoints int) *bench {
	all := newRouters("entry", "a", rand.New(rand.NewPCG(1, 2)))
	b := &bench{all: all}
	b.list(endpoints)
	b.router, _ = all.of("planning")
	return b
}

// list makes the instance list name the given number of live endpoints.
func (b *bench) list(endpoints int) {
	var list []fold.Instance
	for n := range endpoints {
		list = append(list, fold.Instance{
			Name: "endpoint-" + strconv.Itoa(n), Role: fold.RoleEndpoint, Domain: "a",
			Service: "planning", State: fold.Live, Slots: 8,
		})
	}
	b.all.update(bubbleClock{}.Now(), list)
}

// ask acquires a place in the background and reports the outcome on the channel.
func (b *bench) ask(ctx context.Context, account string) <-chan error {
	got := make(chan error, 1)
	go func() {
		_, err := b.acquire(ctx, account)
		got <- err
	}()
	synctest.Wait()
	return got
}

func (b *bench) acquire(ctx context.Context, account string) (fold.Instance, error) {
	clock := bubbleClock{}
	d := dispatch{clock: clock, router: b.router}
	t, err := b.enter(clock.Now(), want{account: account, share: 1, deadline: clock.Now().Add(time.Minute)})
	if err != nil {
		return fold.Instance{}, err
	}
	return d.await(ctx, t)
}

// fill takes all places of one endpoint, after answers that let its limit grow to the window.
func (b *bench) fill(t *testing.T) {
	t.Helper()
	for range route.Window {
		wantPlace(t, b.ask(context.Background(), "filler"))
		b.free()
	}
	for range route.Window {
		wantPlace(t, b.ask(context.Background(), "filler"))
	}
}

func (b *bench) free() {
	b.release(bubbleClock{}.Now(), "endpoint-0", served)
	synctest.Wait()
}

func wantPlace(t *testing.T, got <-chan error) {
	t.Helper()
	select {
	case err := <-got:
		if err != nil {
			t.Errorf("refused: %v", err)
		}
	default:
		t.Error("still waits for a place")
	}
}

// Guards against a free place that is given to a request whose caller has gone away.
func TestPlaceOfGoneCallerGoesToNext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(1)
		b.fill(t)
		ctx, cancel := context.WithCancel(context.Background())
		gone := b.ask(ctx, "crews")
		next := b.ask(t.Context(), "crews")
		cancel()
		if err := <-gone; !fold.DidNotRun(err) {
			t.Errorf("gone caller: %v, want a refusal that proves not run", err)
		}
		b.free()
		wantPlace(t, next)
	})
}

// Guards against a newcomer that takes the place freed for a request that has waited longer.
func TestNewcomerDoesNotOvertake(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(1)
		b.fill(t)
		first := b.ask(t.Context(), "crews")
		b.release(bubbleClock{}.Now(), "endpoint-0", served)
		// No synctest.Wait here: the newcomer arrives before the woken request runs.
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		if in, err := b.acquire(ctx, "crews"); err == nil {
			t.Errorf("newcomer got %s", in.Name)
		}
		synctest.Wait()
		wantPlace(t, first)
	})
}

// Guards against waiting requests that sleep on when endpoints appear.
func TestNewEndpointWakesWaiting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(1)
		b.fill(t)
		var waiting []<-chan error
		for range 2 {
			waiting = append(waiting, b.ask(t.Context(), "crews"))
		}
		b.list(2)
		synctest.Wait()
		for _, got := range waiting {
			wantPlace(t, got)
		}
	})
}

// Guards against waiting requests that sleep until their deadline when the last endpoint has left.
func TestLastEndpointLeavingRefusesWaiting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(1)
		b.fill(t)
		got := b.ask(t.Context(), "crews")
		b.list(0)
		synctest.Wait()
		select {
		case err := <-got:
			if !fold.DidNotRun(err) {
				t.Errorf("%v, want a refusal that proves not run", err)
			}
		default:
			t.Error("still waits although no endpoint is left")
		}
	})
}
