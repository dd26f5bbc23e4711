package store_test

import (
	"context"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/joomcode/errorx"

	"plantainfold.example/fold"
	"plantainfold.example/fold/plat"
	"plantainfold.example/fold/store"
)

// Guards against a breaker that still sends many calls to a table service that is down, and against one that stays open
// after the service answers again.
func TestBreakerProbesOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clock := bubbleClock{start: time.Now()}
		p := plat.New(clock)
		b := store.NewBreaker(p.Meter, clock, rand.New(rand.NewPCG(3, 4)))
		call := func() error {
			_, err := b.Scan(context.Background(), "", "", 1)
			return err
		}
		p.TableFaults.Set(plat.Fault{Down: true})
		for range 60 * 20 {
			if err := call(); err == nil {
				t.Fatal("a call succeeded during the outage")
			}
			time.Sleep(50 * time.Millisecond)
		}
		if reads := p.Meter.Stats().Total.Reads; reads < 40 || reads > 130 {
			t.Errorf("%d reads in a minute of outage, want between 40 and 130", reads)
		}
		p.TableFaults.Set(plat.Fault{})
		time.Sleep(time.Second)
		if err := call(); err != nil {
			t.Errorf("call one second after the outage failed: %v", err)
		}
	})
}

// Guards against failed writes that open the circuit for reads. Entries find each other by reads.
func TestBreakerJudgesReadsAndWritesApart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clock := bubbleClock{start: time.Now()}
		p := plat.New(clock)
		b := store.NewBreaker(p.Meter, clock, rand.New(rand.NewPCG(5, 6)))
		p.TableFaults.Set(plat.Fault{Writes: true})
		var last error
		for range 10 {
			_, last = b.Commit(context.Background(), fold.Txn{})
		}
		if !errorx.IsOfType(last, fold.Unavailable) {
			t.Errorf("write returned %v, want an Unavailable error", last)
		}
		if _, err := b.Scan(context.Background(), "", "", 1); err != nil {
			t.Errorf("read failed although only writes are down: %v", err)
		}
	})
}

// Guards against several concurrent probes after an outage.
func TestBreakerSendsOneProbeAtATime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clock := bubbleClock{start: time.Now()}
		p := plat.New(clock)
		b := store.NewBreaker(p.Meter, clock, rand.New(rand.NewPCG(7, 8)))
		p.TableFaults.Set(plat.Fault{Down: true})
		for range 5 {
			_, _ = b.Scan(context.Background(), "", "", 1)
		}
		before := p.Meter.Stats().Total.Reads
		p.TableFaults.Set(plat.Fault{Slow: 1})
		time.Sleep(2 * time.Second)
		done := make(chan error)
		for range 10 {
			go func() {
				_, err := b.Scan(context.Background(), "", "", 1)
				done <- err
			}()
		}
		refused := 0
		for range 10 {
			if <-done != nil {
				refused++
			}
		}
		if probes := p.Meter.Stats().Total.Reads - before; probes != 1 || refused != 9 {
			t.Errorf("%d probes, %d refused, want 1 and 9", probes, refused)
		}
	})
}

// Guards against a breaker that opens for writes when only their replies are lost and Settled resolves each by a read.
func TestLostRepliesDoNotOpenTheBreaker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clock := bubbleClock{start: time.Now()}
		p := plat.New(clock)
		p.TableFaults.Set(plat.Fault{Lost: true})
		b := store.NewBreaker(store.NewSettled(p.Meter, "writer", "1"), clock, rand.New(rand.NewPCG(9, 10)))
		for range 20 {
			if _, err := b.Commit(context.Background(), put); err != nil {
				t.Fatal(err)
			}
		}
	})
}

var put = fold.Txn{Puts: []fold.Put{{Key: "row"}}}
