package main

import (
	"fmt"
	"net/http"
	"os"
	"time"
)

// births plays a worker that crashes twice within two seconds and starts again under its id, while the time of day of its machine
// goes back. The task that ran there must run again.
func births(w *world, dir string, trouble bool) bool {
	const (
		workers = 12
		step    = -2000 * time.Millisecond
		took    = 4 * time.Second
	)
	q := &queueInfo{Name: "night", Host: "night.example", Prefix: "/night/", service: "svc", attempts: 2, priority: 2, target: 1200, slack: 2.2}
	w.startPool(dir, workers, 3, []*queueInfo{q}, 0, usualKind)
	x := w.workers[3]
	crash := func(down time.Duration) {
		w.mu.Lock()
		x.crash()
		w.mu.Unlock()
		time.Sleep(down)
		w.mu.Lock()
		x.start()
		w.mu.Unlock()
		x.beat()
	}
	if trouble {
		crash(500 * time.Millisecond)
	}
	reborn := time.Now()
	time.Sleep(300 * time.Millisecond)
	j := &jobSpec{id: "7d0e7a21d94b36f8", Spec: "rebuild", queue: q, key: "key-1", attempts: q.attempts,
		Steps: []stepSpec{{Count: workers, CPU: 1000, Mem: 512, EstimateMs: took.Milliseconds(), AntiAffinity: 1, took: took}}}
	if !w.submit(j) {
		fail("the job was not accepted although the store and the entries are sound")
	}
	busy := func() bool {
		w.mu.Lock()
		defer w.mu.Unlock()
		return len(x.running) > 0
	}
	for until := time.Now().Add(1200 * time.Millisecond); !busy() && time.Now().Before(until); {
		time.Sleep(5 * time.Millisecond)
	}
	if !busy() {
		fail("no task has started on the worker in time")
	}
	if trouble {
		time.Sleep(100 * time.Millisecond)
		if os.Getenv("STEP") != "0" {
			w.mu.Lock()
			x.clockStep = step
			w.rec.add("the time of day of %s goes back by %v", x.id, -step)
			w.mu.Unlock()
		}
		crash(200 * time.Millisecond)
		w.rec.add("the worker has started twice within %v", time.Since(reborn).Round(time.Millisecond))
	}
	shown := ""
	// The traffic has ended: 14 s (finish_s) and the 3 s of the rule, with some seconds more.
	for until := time.Now().Add(30 * time.Second); time.Now().Before(until) && shown != "completed"; time.Sleep(500 * time.Millisecond) {
		for _, e := range entries {
			status, out, _ := call(http.MethodGet, e, q, j.id, j.key, nil, 3*time.Second)
			if s, _ := out["state"].(string); status == http.StatusOK && s != shown {
				shown = s
				w.rec.add("GET %s at %s: %s", j.id, e.name, shown)
			}
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	done, what := w.jobDone(j)
	alive := 0
	for i := range workers {
		for _, r := range w.runs[fmt.Sprintf("%s.0.0.%d", j.id, i)] {
			if r.how == "" {
				alive++
			}
		}
	}
	w.rec.add("the job is shown as %q, %d of its runs work", shown, alive)
	if !done && alive == 0 {
		w.broken("LOST", "%s is shown as %q with nothing running 30 s later; %s is not done, and all workers are free", j.id, shown, what)
	}
	for _, b := range w.breaks {
		fmt.Println(b)
	}
	return len(w.breaks) > 0
}
