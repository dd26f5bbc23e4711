package entry

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"plantainfold.example/fold"
	"plantainfold.example/fold/route"
)

// script is an endpoint that answers its n-th request with the n-th step; the last step repeats.
type script struct {
	steps []func(context.Context, fold.Request) (fold.Reply, error)
	sent  int
}

var (
	_ fold.Endpoints = &script{}
	_ fold.Endpoint  = &script{}
)

func (s *script) Endpoint(string) fold.Endpoint { return s }

func (s *script) Serve(ctx context.Context, r fold.Request) (fold.Reply, error) {
	step := s.steps[min(s.sent, len(s.steps)-1)]
	s.sent++
	return step(ctx, r)
}

func answer(_ context.Context, r fold.Request) (fold.Reply, error) {
	return fold.Reply{ID: r.ID, Status: 200, Slots: 8}, nil
}

func refuse(context.Context, fold.Request) (fold.Reply, error) {
	return fold.Reply{}, fold.Refuse(fold.Overload, "use another endpoint", "full")
}

func lose(context.Context, fold.Request) (fold.Reply, error) {
	return fold.Reply{}, fold.Unknown.New("connection lost")
}

func hang(ctx context.Context, _ fold.Request) (fold.Reply, error) {
	<-ctx.Done()
	return fold.Reply{}, fold.Unknown.Wrap(ctx.Err(), "no answer")
}

type steps = []func(context.Context, fold.Request) (fold.Reply, error)

func (b *bench) dispatch(s *script) dispatcher {
	return dispatcher{
		clock:     bubbleClock{},
		endpoints: s,
		fresh:     func() error { return nil },
		claim:     func(context.Context, string, string, time.Time) error { return nil },
		router:    b.router,
	}
}

// Guards against non-idempotent requests that are sent again although they may have run, against errors that claim a
// request did not run although an earlier attempt may have, and against retries that avoid every endpoint.
func TestRetryRules(t *testing.T) {
	for _, c := range []struct {
		name       string
		idempotent bool
		steps      steps
		sent       int
		ok, notRun bool
	}{
		{name: "answered", steps: steps{answer}, sent: 1, ok: true},
		{name: "refused, then answered by the only endpoint", steps: steps{refuse, answer}, sent: 2, ok: true},
		{name: "lost, not idempotent", steps: steps{lose, answer}, sent: 1},
		{name: "refused, then lost, not idempotent", steps: steps{refuse, lose, answer}, sent: 2},
		{name: "lost, idempotent", idempotent: true, steps: steps{lose, answer}, sent: 2, ok: true},
		{name: "lost, then refused for good", idempotent: true, steps: steps{lose, refuse}, sent: maxTries},
		{name: "refused for good", steps: steps{refuse}, sent: maxTries, notRun: true},
		{name: "no answer before the deadline", steps: steps{hang, answer}, sent: 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &script{steps: c.steps}
				r := fold.Request{ID: "1", Idempotent: c.idempotent, Timeout: time.Minute}
				_, err := newBench(1).dispatch(s).run(t.Context(), r, 1)
				if s.sent != c.sent || (err == nil) != c.ok || fold.DidNotRun(err) != c.notRun {
					t.Errorf("sent %d times, error %v; want %d, ok %v, not run %v", s.sent, err, c.sent, c.ok, c.notRun)
				}
			})
		})
	}
}

// Guards against a non-idempotent request that is sent a second time after its caller closed it, and against an endpoint
// slot that is not released.
func TestGoneCallerIsNotSentAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(1)
		ctx, cancel := context.WithCancel(t.Context())
		s := &script{steps: steps{hang, answer}}
		done := make(chan error, 1)
		go func() {
			_, err := b.dispatch(s).run(ctx, fold.Request{ID: "1", Timeout: time.Minute}, 1)
			done <- err
		}()
		synctest.Wait()
		cancel()
		if err := <-done; err == nil || fold.DidNotRun(err) || s.sent != 1 {
			t.Errorf("sent %d times, error %v; want once and an unknown outcome", s.sent, err)
		}
		b.fill(t)
	})
}

// Guards against requests that are sent without a claim, and against slots that stay taken after a claim was refused.
func TestRefusedClaimGivesPlaceBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(1)
		s := &script{steps: steps{answer}}
		d := b.dispatch(s)
		d.claim = func(context.Context, string, string, time.Time) error { return fold.Unknown.New("sent before") }
		if _, err := d.run(t.Context(), fold.Request{ID: "1", Timeout: time.Minute}, 1); err == nil || s.sent != 0 {
			t.Errorf("sent %d times, error %v", s.sent, err)
		}
		b.fill(t)
	})
}

// Guards against claims for requests that are refused on arrival, whose retries would then be answered as seen.
func TestRefusedRequestMakesNoClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(1)
		b.setEndpoints(0)
		d := b.dispatch(&script{steps: steps{answer}})
		d.claim = func(context.Context, string, string, time.Time) error {
			t.Error("claimed")
			return errors.New("claimed")
		}
		if _, err := d.run(t.Context(), fold.Request{ID: "1", Timeout: time.Minute}, 1); !fold.DidNotRun(err) {
			t.Errorf("%v, want a refusal that proves not run", err)
		}
	})
}

// Guards against requests that wait until their deadline for a paused endpoint that could be tried again, because no other
// request is in flight whose end would wake them.
func TestPausedEndpointIsTriedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(1)
		s := &script{steps: steps{refuse, refuse, refuse, answer}}
		began := time.Now()
		_, err := b.dispatch(s).run(t.Context(), fold.Request{ID: "1", Timeout: time.Minute}, 1)
		if took := time.Since(began); err != nil || took > time.Second {
			t.Errorf("took %s of virtual time, error %v; want an answer within 1s", took, err)
		}
	})
}

// Guards against requests that are refused because of an outdated estimate, which stays as no request is sent.
func TestSlowEstimateRecovers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(4)
		slow := served
		slow.Took = 10 * time.Second
		for range 64 {
			in, _ := b.acquire(t.Context(), "crews")
			b.release(bubbleClock{}.Now(), in.Name, slow)
		}
		d := b.dispatch(&script{steps: steps{answer}})
		for n := range 200 {
			if _, err := d.run(t.Context(), fold.Request{ID: "1", Timeout: time.Second}, 1); err != nil {
				t.Fatalf("request %d: %v", n, err)
			}
		}
	})
}

// Guards against an unknown outcome for a request whose caller closed it before it was sent.
func TestGoneCallerBeforeSendIsNotSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		s := &script{steps: steps{answer}}
		_, err := newBench(1).dispatch(s).run(ctx, fold.Request{ID: "1", Timeout: time.Minute}, 1)
		if !fold.DidNotRun(err) || s.sent != 0 {
			t.Errorf("sent %d times, error %v; want a refusal that proves not run", s.sent, err)
		}
	})
}

// Guards against unreachable endpoints that keep getting requests instead of being ejected.
func TestUnreachableCountsAsFailure(t *testing.T) {
	err := fold.Refuse(fold.Unavailable, "use another endpoint", "cannot be reached")
	if got := reportOf(t.Context(), t.Context(), fold.Reply{}, err, 0).Outcome; got != route.Failed {
		t.Errorf("outcome %v, want %v", got, route.Failed)
	}
}

// Guards against a request that is sent although its claim took so long that it cannot end before its deadline.
func TestSlowClaimIsNotSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(1)
		b.fill(t)
		s := &script{steps: steps{answer}}
		d := b.dispatch(s)
		d.claim = func(context.Context, string, string, time.Time) error {
			<-d.clock.After(time.Second - time.Millisecond)
			return nil
		}
		done := make(chan error, 1)
		go func() {
			_, err := d.run(t.Context(), fold.Request{ID: "1", Timeout: time.Second}, 1)
			done <- err
		}()
		synctest.Wait()
		b.free()
		if err := <-done; !fold.DidNotRun(err) || s.sent != 0 {
			t.Errorf("sent %d times, error %v; want a refusal that proves not run", s.sent, err)
		}
		wantSlot(t, b.acquireAsync(t.Context(), "next"))
	})
}
