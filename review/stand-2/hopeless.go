package main

import (
	"fmt"
	"time"
)

const (
	// soundJobs and hopelessJobs are handed in at the beginning: 2 of 42 are hopeless, less than a share of 0.05.
	soundJobs, hopelessJobs = 40, 2
	// maxIdle is how long a task that lasts may have nothing running although its turn has come and there is room.
	maxIdle = 3 * time.Second
	// calmTime is how long before that nothing may have been disrupted.
	calmTime = 4 * time.Second
)

// hopeless plays two jobs whose tasks last but fail shortly after each start. Jobs of other tenants that are handed in later must
// still run.
func hopeless(w *world, dir string, trouble bool) bool {
	q := &queueInfo{Name: "watch", Host: "watch.example", Prefix: "/watch/", service: "svc", attempts: 2, priority: 1, target: 2500, slack: 2.2}
	w.startPool(dir, 48, 6, []*queueInfo{q}, 460000, usualKind)
	number := 0
	newJob := func(tenant, count int, cpu int64) *jobSpec {
		number++
		return &jobSpec{id: fmt.Sprintf("%016x", uint64(0xa1b2c3d400000000)+uint64(number)), Spec: "watch", queue: q, key: fmt.Sprintf("key-%d", tenant), attempts: q.attempts,
			Steps: []stepSpec{{Count: count, CPU: cpu, Mem: 1024, EstimateMs: 400, AntiAffinity: 1, LongRunning: true, took: 320 * time.Millisecond}}}
	}
	for i := range soundJobs {
		if !w.submit(newJob(2+i%4, 1, 1000)) {
			fail("a job was not accepted although nothing is disrupted")
		}
	}
	for i := range hopelessJobs {
		j := newJob(i, 8, 3400)
		if trouble {
			j.Steps[0].failures = -1
		}
		if !w.submit(j) {
			fail("a job was not accepted although nothing is disrupted")
		}
		w.rec.add("%s has tasks that fail after each start: %v", j.id, trouble)
	}
	time.Sleep(calmTime + 6*time.Second)
	broken := false
	var later []*jobSpec
	accepted := map[string]time.Time{}
	for range 14 {
		j := newJob(2+number%4, 1, 1000)
		if !w.submit(j) {
			fail("a job was not accepted although nothing is disrupted")
		}
		accepted[j.id] = time.Now()
		later = append(later, j)
		time.Sleep(2 * time.Second)
	}
	time.Sleep(maxIdle + time.Second)
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, j := range later {
		runs := w.runs[j.id+".0.0.0"]
		waited := time.Since(accepted[j.id])
		if len(runs) > 0 {
			waited = runs[0].begun.Sub(accepted[j.id])
		}
		w.rec.add("%s, accepted at %.3f, had nothing running for %v", j.id, accepted[j.id].Sub(w.rec.began).Seconds(), waited.Round(time.Millisecond))
		if waited > maxIdle {
			w.broken("LOST", "%s had nothing running for %v, with most of the room free", j.id, waited.Round(time.Millisecond))
			broken = true
		}
	}
	var used, room int64
	for _, x := range w.workers {
		room += x.cpu
		for _, r := range x.running {
			used += r.step.CPU
		}
	}
	w.rec.add("%d starts, %d of %d thousandths of a core in use", w.starts, used, room)
	fmt.Printf("%d starts, %d breaks\n", w.starts, len(w.breaks))
	return broken || len(w.breaks) > 0
}
