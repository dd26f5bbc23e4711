package entry_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"plantainfold.example/fold"
	"plantainfold.example/fold/cell"
	"plantainfold.example/fold/remote"
)

// balancer imitates the platform's load balancer. It sends to entries whose readyz answered its last check.
type balancer struct {
	ready atomic.Pointer[[]string]
}

func (b *balancer) checkReady(urls map[string]string) {
	var ready []string
	for _, url := range urls {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		if remote.New(url, "").Ready(ctx) == nil {
			ready = append(ready, url)
		}
		cancel()
	}
	if len(ready) > 0 {
		b.ready.Store(&ready)
	}
}

// counts holds the outcomes of the callers' requests.
type counts struct {
	answered, refused, cut atomic.Int64
}

// Guards against a planned stop that cuts off a request in flight. All entries are replaced one after the other under load.
// Callers count answers, refusals as not run, and all other outcomes as cut off.
func TestRollingReplacementCutsNothing(t *testing.T) {
	t.Parallel()
	entries := rollingEntries(t)
	c := newCell(t, entries, io.Discard)
	ops := operators(c)
	apply(t, ops[0], manifest)
	issued, err := ops[0].IssueKey(context.Background(), fold.KeyGrant{Team: "crews"})
	if err != nil {
		t.Fatal(err)
	}
	var b balancer
	b.checkReady(c.Addresses())
	var seen counts
	stop := load(t, &b, issued.Key, &seen)
	for n := range entries {
		replace(t, c, &b, fmt.Sprintf("entry-%d", n), fmt.Sprintf("next-%d", n))
	}
	stop()
	t.Logf("answered %d, refused as not run %d, cut %d", seen.answered.Load(), seen.refused.Load(), seen.cut.Load())
	if seen.cut.Load() != 0 || seen.answered.Load() == 0 {
		t.Errorf("%d requests cut off, %d answered", seen.cut.Load(), seen.answered.Load())
	}
}

// rollingEntries returns how many entries are replaced; PLANTAINFOLD_ROLLING sets another number than 3.
func rollingEntries(t *testing.T) int {
	t.Helper()
	text := os.Getenv("PLANTAINFOLD_ROLLING")
	if text == "" {
		return 3
	}
	n, err := strconv.Atoi(text)
	if err != nil || n < 1 {
		t.Fatalf("PLANTAINFOLD_ROLLING is %q, want a number", text)
	}
	return n
}

// replace starts a new entry, waits until it is ready, and stops the old one while the balancer keeps checking.
func replace(t *testing.T, c *cell.Cell, b *balancer, old, next string) {
	t.Helper()
	if err := c.StartEntry(next, "a"); err != nil {
		t.Fatal(err)
	}
	urls := c.Addresses()
	eventually(t, remote.New(urls[next], "").Ready)
	b.checkReady(urls)
	stopped := make(chan error, 1)
	go func() { stopped <- c.StopEntry(old) }()
	for {
		select {
		case err := <-stopped:
			if err != nil {
				t.Error(err)
			}
			return
		case <-time.After(100 * time.Millisecond):
			b.checkReady(urls)
		}
	}
}

// load sends requests, every other one non-idempotent, from 12 callers until the returned function is called.
func load(t *testing.T, b *balancer, key string, seen *counts) func() {
	ctx, cancel := context.WithCancel(context.Background())
	var callers sync.WaitGroup
	for n := range 12 {
		callers.Go(func() {
			random := rand.New(rand.NewPCG(1, uint64(n)))
			clients := make(map[string]*remote.Client)
			for i := 0; ctx.Err() == nil; i++ {
				ready := *b.ready.Load()
				url := ready[random.IntN(len(ready))]
				if clients[url] == nil {
					clients[url] = remote.New(url, key)
				}
				one := fold.Request{ID: fmt.Sprintf("%d-%d", n, i), Idempotent: i%2 == 0, Issued: time.Now(), Timeout: 10 * time.Second, Body: []byte("x")}
				reply, err := clients[url].Serve(context.Background(), "planning", one)
				switch {
				case err == nil && string(reply.Body) == "x":
					seen.answered.Add(1)
				case err != nil && fold.DidNotRun(err):
					seen.refused.Add(1)
				default:
					seen.cut.Add(1)
					t.Logf("cut: %v", err)
				}
			}
		})
	}
	return func() {
		cancel()
		callers.Wait()
	}
}
