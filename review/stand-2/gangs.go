package main

import (
	"fmt"
	"net/http"
	"time"
)

// gangs plays a gang whose first run fails on both of its workers. One of these is cut off for some seconds, and the process that
// owns the pool is killed meanwhile. The gang has failed once, and its second run would succeed.
func gangs(w *world, dir string, trouble bool) bool {
	const attempts = 2
	q := &queueInfo{Name: "night", Host: "night.example", Prefix: "/night/", service: "svc", attempts: attempts, priority: 2, target: 1200, slack: 2.2}
	owner := w.followOwner()
	w.startPool(dir, 12, 3, []*queueInfo{q}, 0, usualKind)
	j := &jobSpec{id: "5c0e7a21d94b36f8", Spec: "rebuild", queue: q, key: "key-1", attempts: attempts,
		Steps: []stepSpec{{Count: 2, CPU: 2000, Mem: 1024, EstimateMs: 1500, Gang: true, AntiAffinity: 1, took: 1500 * time.Millisecond, failures: 1}}}
	if !w.submit(j) {
		fail("the job was not accepted although nothing is disrupted")
	}
	member := func(i int) *runInfo {
		w.mu.Lock()
		defer w.mu.Unlock()
		if runs := w.runs[fmt.Sprintf("%s.0.0.%d", j.id, i)]; len(runs) > 0 {
			return runs[0]
		}
		return nil
	}
	await := func(what string, ready func() bool) {
		for until := time.Now().Add(10 * time.Second); !ready(); time.Sleep(2 * time.Millisecond) {
			if time.Now().After(until) {
				fail("waited too long: %s", what)
			}
		}
	}
	locked := func(fn func() bool) bool {
		w.mu.Lock()
		defer w.mu.Unlock()
		return fn()
	}
	await("the gang works", func() bool {
		a, b := member(0), member(1)
		return a != nil && b != nil && locked(func() bool { return !a.working.IsZero() })
	})
	first, second := member(0), member(1)
	if trouble {
		time.Sleep(200 * time.Millisecond)
		w.mu.Lock()
		second.worker.cut = true
		w.rec.add("cut worker %s", second.worker.id)
		w.mu.Unlock()
	}
	cutAt := time.Now()
	await("the end of the first member is taken note of", func() bool { return locked(func() bool { return !first.noted.IsZero() }) })
	if trouble {
		time.Sleep(100 * time.Millisecond)
		e := owner()
		w.rec.add("kill %s, which owns the pool", e.name)
		e.kill()
		time.Sleep(time.Second)
		e.start()
		time.Sleep(time.Until(cutAt.Add(4500 * time.Millisecond)))
		w.mu.Lock()
		second.worker.cut = false
		w.rec.add("healed worker %s", second.worker.id)
		w.mu.Unlock()
	}
	shown := ""
	for until := time.Now().Add(40 * time.Second); time.Now().Before(until); time.Sleep(300 * time.Millisecond) {
		for _, e := range entries {
			status, out, _ := call(http.MethodGet, e, q, j.id, j.key, nil, 3*time.Second)
			if s, _ := out["state"].(string); status == http.StatusOK && s != shown {
				shown = s
				w.rec.add("GET %s at %s: %s", j.id, e.name, shown)
			}
		}
		if shown == "completed" || shown == "failed" || shown == "cancelled" {
			break
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	failed := w.maxFailed(j)
	w.rec.add("the job is shown as %q after %d failed runs of its gang; %d are allowed", shown, failed, attempts)
	if shown == "failed" && failed < attempts {
		w.broken("LOST", "%s is shown as failed after %d failed run of its gang", j.id, failed)
	}
	if !trouble && shown != "completed" {
		fail("the job is shown as %q although nothing is disrupted", shown)
	}
	for _, b := range w.breaks {
		fmt.Println(b)
	}
	return len(w.breaks) > 0
}
