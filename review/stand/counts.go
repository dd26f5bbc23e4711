package main

import (
	"encoding/json"
	"errors"
	"sync"
	"syscall"
	"time"
)

func init() { cases["counts"] = playCounts }

const (
	// visibleTime is `visible_ms` and 2 s more, after which an accepted job counts as waiting.
	visibleTime = 5 * time.Second
	// waitingJobs is how many jobs wait.
	waitingJobs = 4000
)

// playCounts kills the owner while many jobs wait, and asks the other entries how many do.
func playCounts(w *world) error {
	w.site = kerrozSable
	w.operate()
	if err := w.addWorkers(1, size{CPU: 16000, Mem: 32768}); err != nil {
		return err
	}
	w.addEntries(3)
	if err := w.startEntries(); err != nil {
		return err
	}
	// Each job fills the worker for two minutes, so all but the first wait to the end.
	body := jobBody{Spec: "rebuild the week", Steps: []step{{Count: 1, CPU: 16000, Mem: 100, Estimate: 120000}}}
	var group sync.WaitGroup
	var mu sync.Mutex
	accepted := 0
	for range 16 {
		group.Go(func() {
			for range waitingJobs / 16 {
				if _, ok := w.submit("key-south-1", "/night/", body); ok {
					mu.Lock()
					accepted++
					mu.Unlock()
				}
			}
		})
	}
	group.Wait()
	waiting := accepted - 1
	w.log("%d jobs were accepted, %d of them wait", accepted, waiting)
	if waiting < 1000 {
		return errors.New("too few jobs were accepted")
	}
	time.Sleep(visibleTime)
	killed := w.owner()
	stop := make(chan struct{})
	for _, e := range w.entries {
		if e == killed {
			continue
		}
		group.Go(func() { w.askCounts(e, waiting, stop) })
	}
	time.Sleep(3 * time.Second)
	if w.trouble {
		w.log("case: SIGKILL to %s, the owner", killed.name)
		killed.signal(syscall.SIGKILL)
	}
	time.Sleep(8 * time.Second)
	close(stop)
	group.Wait()
	if started := w.rules.startCount(); started > 1 {
		w.log("%d tasks were started", started)
	}
	return nil
}

// askCounts asks an entry for the number of waiting jobs until stop is closed, and applies the rule MIXED to the answers.
func (w *world) askCounts(e *entry, waiting int, stop chan struct{}) {
	last := -1
	for {
		select {
		case <-stop:
			return
		case <-time.After(10 * time.Millisecond):
		}
		r := w.call(e, "GET", "key-south-1", "/night/", nil)
		if r.err != nil || r.status != 200 {
			w.log("client: GET /night/ to %s: %d %v", e.name, r.status, r.err)
			continue
		}
		var out struct {
			Pending int `json:"pending_count"`
		}
		if err := json.Unmarshal([]byte(r.body), &out); err != nil {
			w.log("client: GET /night/ to %s: %v", e.name, err)
			continue
		}
		if out.Pending != last {
			w.log("client: GET /night/ to %s: 200 %s", e.name, r.body)
		}
		last = out.Pending
		if out.Pending*2 < waiting {
			w.rules.lost("MIXED: %s gives a pending_count of %d, and %d jobs have waited for over %s", e.name, out.Pending, waiting, visibleTime)
		}
	}
}
