package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

// playWoken freezes the owner right after it has sent a start, and crashes the worker of that start once the next owner has started the
// task again elsewhere; the worker is up again shortly before the owner wakes. Each round has a job of one task, whose first run
// fails by itself after 0.3 s.
func playWoken(trouble bool) bool {
	const (
		rounds = 12
		// frozen is how long the owner stands still. The worker is up again when dark has passed of it.
		frozen = 2800 * time.Millisecond
		dark   = 2740 * time.Millisecond
	)
	c := newCell(7, 12, 1)
	defer c.close()
	var mu sync.Mutex
	var onStart func(w *worker, task string, run int)
	for _, w := range c.workers {
		// The site has 0.9 ms one way between zones.
		w.delay = 900 * time.Microsecond
		w.started = func(task string, run int) {
			mu.Lock()
			defer mu.Unlock()
			if onStart != nil {
				onStart(w, task, run)
			}
		}
	}
	c.awaitReady()
	for i := range rounds {
		owner := c.owner()
		if owner == nil {
			fatal(fmt.Errorf("no entry owns the pool"))
		}
		id := fmt.Sprintf("%015x%x", time.Now().UnixNano()&0xfffffffffff, i)
		first, second := make(chan *worker, 1), make(chan *worker, 1)
		began, seen := time.Time{}, false
		mu.Lock()
		onStart = func(w *worker, task string, run int) {
			if taskJob(task) != id {
				return
			}
			if run == 1 && !seen {
				seen = true
				if trouble {
					_ = owner.cmd.Process.Signal(syscall.SIGSTOP)
				}
				first <- w
			}
			if run > 1 {
				select {
				case second <- w:
				default:
				}
			}
		}
		mu.Unlock()
		body := map[string]any{"spec": "300:5000", "steps": []any{map[string]any{"count": 1, "cpu": 1000, "mem_mb": 256, "estimate_ms": 5000, "requirements": fmt.Sprintf("pair-%d", i%6)}}}
		other := c.entries[0]
		if other == owner {
			other = c.entries[1]
		}
		status, _ := c.call(other, http.MethodPost, id, body, 3*time.Second)
		logf("round %d: job %s handed in: %d; owner %s", i+1, id, status, owner.name)
		var w *worker
		select {
		case w = <-first:
		case <-time.After(5 * time.Second):
			fatal(fmt.Errorf("the task does not start"))
		}
		began = time.Now()
		if trouble {
			logf("owner %s stands still", owner.name)
			select {
			case <-second:
				w.crash()
			case <-time.After(2400 * time.Millisecond):
				logf("no second run in time")
			}
			time.Sleep(time.Until(began.Add(dark)))
			w.restart()
			time.Sleep(time.Until(began.Add(frozen)))
			_ = owner.cmd.Process.Signal(syscall.SIGCONT)
			logf("owner %s goes on after %.3f s", owner.name, time.Since(began).Seconds())
		}
		time.Sleep(time.Until(began.Add(6500 * time.Millisecond)))
	}
	return overlaps()
}

// span is the time of a run on a worker.
type span struct {
	worker   string
	run      int
	from, to time.Time
}

var (
	spansMu sync.Mutex
	spans   = make(map[string][]*span)
)

func spanBegins(worker, task string, run int) {
	spansMu.Lock()
	defer spansMu.Unlock()
	spans[task] = append(spans[task], &span{worker: worker, run: run, from: time.Now()})
}

func spanEnds(worker, task string, run int) {
	spansMu.Lock()
	defer spansMu.Unlock()
	for _, s := range spans[task] {
		if s.worker == worker && s.run == run && s.to.IsZero() {
			s.to = time.Now()
		}
	}
}

// overlaps reports whether two runs of a task worked at the same time.
func overlaps() bool {
	spansMu.Lock()
	defer spansMu.Unlock()
	broken := false
	now := time.Now()
	for task, list := range spans {
		for i, a := range list {
			for _, b := range list[i+1:] {
				aEnd, bEnd := a.to, b.to
				if aEnd.IsZero() {
					aEnd = now
				}
				if bEnd.IsZero() {
					bEnd = now
				}
				from, to := a.from, aEnd
				if b.from.After(from) {
					from = b.from
				}
				if bEnd.Before(to) {
					to = bEnd
				}
				if to.After(from) {
					broken = true
					logf("TWICE: %s: run %d on %s and run %d on %s worked at the same time for %.3f s", strings.TrimSpace(task), a.run, a.worker, b.run, b.worker, to.Sub(from).Seconds())
				}
			}
		}
	}
	return broken
}
