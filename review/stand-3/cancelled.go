package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// steps returns the steps of a job: one task after the other.
func steps(n int) []any {
	var list []any
	for i := range n {
		step := map[string]any{"count": 1, "cpu": 1000, "mem_mb": 256, "estimate_ms": 2000}
		if i > 0 {
			step["after"] = []int{i - 1}
		}
		list = append(list, step)
	}
	return list
}

// playCancelled hands jobs in while the store loses answers. Some clients leave early and cancel their job; once that is
// acknowledged, no task of the job may start.
func playCancelled(trouble bool) bool {
	const (
		// windows is how often the store loses answers, for the time window and with pause between.
		windows = 3
		window  = 4500 * time.Millisecond
		pause   = 14 * time.Second
		// cancel and contact are cancel_ms and contact_ms. late is the longest time after which a lost transaction is performed.
		cancel  = 3 * time.Second
		contact = 3 * time.Second
		late    = 6 * time.Second
		// after is the time after the last window in which starts are watched.
		after = late + contact + 20*time.Second
	)
	random := rand.New(rand.NewPCG(uint64(time.Now().UnixNano()), 7))
	c := newCell(4, 4, random.Uint64())
	defer c.close()
	c.awaitReady()
	type outcome struct {
		accepted  bool
		cancelled time.Time
		status    int
	}
	var mu sync.Mutex
	jobs := make(map[string]*outcome)
	left := 0
	var clients sync.WaitGroup
	handIn := func() {
		id := fmt.Sprintf("%016x", random.Uint64())
		// The share of the clients that leave is never exceeded.
		first, leaves := random.IntN(len(c.entries)), random.Float64() < 0.6 && float64(left+1) <= 0.4*float64(len(jobs)+1)
		if leaves {
			left++
		}
		o := &outcome{}
		mu.Lock()
		jobs[id] = o
		mu.Unlock()
		clients.Go(func() {
			body := map[string]any{"spec": "2000", "steps": steps(16)}
			wait := 3 * time.Second
			if leaves {
				wait = 900 * time.Millisecond
			}
			next := first
			for try := 0; try < 5; try++ {
				status, _ := c.call(c.entries[next%len(c.entries)], http.MethodPost, id, body, wait)
				logf("client %s: POST to entry %d: %d", id, next%len(c.entries), status)
				next++
				if status == 200 {
					mu.Lock()
					o.accepted = true
					mu.Unlock()
					break
				}
				if leaves {
					break
				}
				time.Sleep(300 * time.Millisecond)
			}
			if !leaves {
				return
			}
			for {
				status, _ := c.call(c.entries[next%len(c.entries)], http.MethodDelete, id, nil, 3*time.Second)
				logf("client %s: DELETE to entry %d: %d", id, next%len(c.entries), status)
				next++
				if status == 200 || status == 410 {
					mu.Lock()
					o.cancelled, o.status = time.Now(), status
					mu.Unlock()
					return
				}
				time.Sleep(300 * time.Millisecond)
			}
		})
	}
	var began, healed []time.Time
	for i := range windows {
		if i > 0 {
			time.Sleep(pause)
		}
		began = append(began, time.Now())
		if trouble {
			c.store.setLost(0.35)
		}
		logf("jobs come, window %d; trouble: %v", i+1, trouble)
		for time.Since(began[i]) < window {
			handIn()
			time.Sleep(72 * time.Millisecond)
		}
		lost, total := c.store.counts()
		c.store.setLost(0)
		healed = append(healed, time.Now())
		logf("the store loses nothing; in the window %d of %d transactions had no answer", lost, total)
	}
	clients.Wait()
	time.Sleep(time.Until(healed[windows-1].Add(after)))
	// steady reports whether the core was stable at a time: no impairment within contact_ms, nor a transaction that may be performed
	// late.
	steady := func(at time.Time) bool {
		for i := range windows {
			if trouble && at.After(began[i]) && at.Before(healed[i].Add(late+contact)) {
				return false
			}
		}
		return true
	}
	broken := false
	mu.Lock()
	defer mu.Unlock()
	counts := map[string]int{}
	for _, o := range jobs {
		counts[fmt.Sprintf("accepted %v, cancel %d", o.accepted, o.status)]++
	}
	logf("jobs: %v; %d of %d clients left", counts, left, len(jobs))
	for _, s := range c.starts.all() {
		o := jobs[taskJob(s.task)]
		if o == nil || o.cancelled.IsZero() || s.at.Before(o.cancelled.Add(cancel)) || !steady(s.at) {
			continue
		}
		broken = true
		logf("UNASKED: %s started on %s %.3f s after its cancelling was acknowledged with %d", s.task, s.worker, s.at.Sub(o.cancelled).Seconds(), o.status)
	}
	return broken
}
