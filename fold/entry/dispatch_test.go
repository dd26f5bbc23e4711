package entry

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"plantainfold.example/fold"
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

func (b *bench) dispatch(s *script) dispatch {
	return dispatch{
		clock:     bubbleClock{},
		endpoints: s,
		fresh:     func() error { return nil },
		claim:     func(context.Context, string, string, time.Time) error { return nil },
		router:    b.router,
	}
}

// Guards against non-idempotent requests that are sent again although they may have run, against "not run" for
// requests of which an earlier try may have run, and against retries that find no endpoint left to try.
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

// Guards against a non-idempotent request that is sent a second time after its caller went away, and against its place
// that is not given back.
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

// Guards against requests that are sent without a claim, and against places held by requests whose claim was refused.
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

// Guards against claims that are used up by requests that are refused at once, so that their retries cannot run.
func TestRefusedRequestMakesNoClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(1)
		b.list(0)
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

// Guards against requests that wait until their deadline for an endpoint that only has to be tried again, when no
// other request is in flight that would wake them.
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

// Guards against waiting requests that are refused by an estimate that no new answer can correct.
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
