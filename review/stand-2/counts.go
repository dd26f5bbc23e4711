package main

import (
	"fmt"
	"net/http"
	"os"
	"time"
)

// counts plays jobs that need a kind of worker of which all are lost just before, and a kill of the process that owns the pool. The
// number of jobs that have not begun must still be told.
func counts(w *world, dir string, trouble bool) bool {
	const (
		jobs     = 12
		workers  = 48
		rare     = 6
		countAge = 5 * time.Second // visible_ms + 2 s
	)
	q := &queueInfo{Name: "night", Host: "night.example", Prefix: "/night/", service: "svc", attempts: 2, priority: 2, target: 1200, slack: 2.2}
	owner := w.followOwner()
	w.startPool(dir, workers, 6, []*queueInfo{q}, 0, func(i int) string {
		if i >= workers-rare {
			return "c"
		}
		return usualKind(i)
	})
	if trouble {
		w.mu.Lock()
		for _, x := range w.workers[workers-rare:] {
			x.crash()
		}
		w.mu.Unlock()
	}
	began := time.Now()
	for i := range jobs {
		j := &jobSpec{id: fmt.Sprintf("%016x", uint64(0xb1b2c3d400000000)+uint64(i)), Spec: "rebuild", queue: q, key: fmt.Sprintf("key-%d", i%6), attempts: q.attempts,
			Steps: []stepSpec{{Count: 1, CPU: 1000, Mem: 512, EstimateMs: 500, Requirements: "c", took: 500 * time.Millisecond}}}
		if !w.submit(j) {
			fail("a job was not accepted although the store and the entries are sound")
		}
	}
	accepted := time.Now()
	if trouble && os.Getenv("KILL") != "0" {
		time.Sleep(time.Until(began.Add(1500 * time.Millisecond)))
		e := owner()
		w.rec.add("kill %s, which owns the pool", e.name)
		e.kill()
		time.Sleep(time.Second)
		e.start()
	}
	// The entries are in touch 3 s after the restart.
	time.Sleep(time.Until(accepted.Add(countAge + 2*time.Second)))
	wrong := 0
	for until := time.Now().Add(10 * time.Second); time.Now().Before(until); time.Sleep(500 * time.Millisecond) {
		for _, e := range entries {
			status, out, _ := call(http.MethodGet, e, q, "", "key-1", nil, 3*time.Second)
			n, ok := out["pending_count"].(float64)
			w.mu.Lock()
			waiting := 0
			for id := range w.jobs {
				if len(w.runs[id+".0.0.0"]) == 0 {
					waiting++
				}
			}
			w.rec.add("GET count at %s: %d, pending_count %v, %d jobs have not begun", e.name, status, out["pending_count"], waiting)
			if status == http.StatusOK && ok && int(n)*2 < waiting {
				wrong++
				if wrong == 1 {
					w.broken("MIXED", "%s gives %d jobs as pending, but %d that were accepted over %v before have not begun", e.name, int(n), waiting, countAge)
				}
			}
			w.mu.Unlock()
		}
	}
	w.rec.add("%d wrong counts", wrong)
	fmt.Printf("%d wrong counts\n", wrong)
	return wrong > 0
}
