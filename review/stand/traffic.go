package main

import (
	"strings"
	"sync"
	"time"
)

// accepted is a job that a client has handed in with success.
type accepted struct {
	key, prefix, id string
}

// traffic hands in small jobs at a steady rate.
type traffic struct {
	w    *world
	mu   sync.Mutex
	jobs []accepted
	wait sync.WaitGroup
	stop chan struct{}
}

// startTraffic hands in a job of the queue /check/ every interval, for the tenant of the key.
func (w *world) startTraffic(key string, every time.Duration) *traffic {
	t := &traffic{w: w, stop: make(chan struct{})}
	go func() {
		for {
			select {
			case <-t.stop:
				return
			case <-time.After(every):
			}
			t.wait.Go(func() {
				body := jobBody{Spec: "check", Steps: []step{{Count: 2, CPU: 500, Mem: 100, Estimate: 600}}}
				if id, ok := w.submit(key, "/check/", body); ok {
					t.mu.Lock()
					t.jobs = append(t.jobs, accepted{key, "/check/", id})
					t.mu.Unlock()
				}
			})
		}
	}()
	return t
}

// end ends the traffic and returns the accepted jobs.
func (t *traffic) end() []accepted {
	close(t.stop)
	t.wait.Wait()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.w.log("the traffic has ended, %d jobs were accepted", len(t.jobs))
	return t.jobs
}

const (
	// finishTime is `finish_s`.
	finishTime = 14 * time.Second
	// idleTime is how long a job may have nothing running though a task's turn has come.
	idleTime = 3 * time.Second
)

// checkLost applies the rule LOST `finish_s` after the end of the traffic to jobs of a service. Their steps have no
// predecessors, and no tenant has a limit.
func (w *world) checkLost(service string, jobs []accepted) {
	time.Sleep(finishTime)
	var open []accepted
	var mu sync.Mutex
	var group sync.WaitGroup
	slots := make(chan struct{}, 16)
	for _, j := range jobs {
		slots <- struct{}{}
		group.Go(func() {
			defer func() { <-slots }()
			state, r := w.state(j.key, j.prefix, j.id)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case r.err != nil || r.status != 200:
				w.rules.lost("LOST: job %s, accepted and not cancelled, is answered with %d %v, %s after the traffic", j.id, r.status, r.err, finishTime)
			case state == "failed" || state == "cancelled":
				w.rules.lost("LOST: job %s is shown as %s without cause", j.id, state)
			case state != "completed":
				open = append(open, j)
			}
		})
	}
	group.Wait()
	w.log("%d of %d jobs are not completed %s after the traffic", len(open), len(jobs), finishTime)
	idle := make(map[string]bool)
	for _, j := range open {
		idle[j.id] = true
	}
	for end := time.Now().Add(idleTime); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		for id := range w.running() {
			delete(idle, id)
		}
	}
	used, capacity := w.usage(service)
	w.log("in use at the workers of the service: %d of %d, %d of %d MB", used.CPU, capacity.CPU, used.Mem, capacity.Mem)
	for _, j := range open {
		if idle[j.id] && used.CPU*2 < capacity.CPU && used.Mem*2 < capacity.Mem {
			state, _ := w.state(j.key, j.prefix, j.id)
			if state != "completed" {
				w.rules.lost("LOST: job %s is shown as %s and had nothing running for %s, %s after the traffic", j.id, state, idleTime, finishTime)
			}
		}
	}
}

func (u *rules) lost(format string, args ...any) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.fail(format, args...)
}

// running returns the jobs that have something running.
func (w *world) running() map[string]bool {
	jobs := make(map[string]bool)
	for _, k := range w.workers {
		k.mu.Lock()
		for task := range k.runs {
			id, _, _ := strings.Cut(task, ".")
			jobs[id] = true
		}
		k.mu.Unlock()
	}
	return jobs
}

// usage returns what runs on the workers of a service, and their capacity.
func (w *world) usage(service string) (used, capacity size) {
	for _, k := range w.workers {
		if k.service != service {
			continue
		}
		k.mu.Lock()
		capacity.CPU += k.capacity.CPU
		capacity.Mem += k.capacity.Mem
		for _, r := range k.runs {
			used.CPU += r.size.CPU
			used.Mem += r.size.Mem
		}
		k.mu.Unlock()
	}
	return used, capacity
}

// checkExits applies the rule Fault: on a tenth of the machines in use, two at least, processes end by themselves three times.
func (w *world) checkExits() {
	machines := 0
	for _, e := range w.entries {
		e.mu.Lock()
		w.log("the process of %s has ended by itself %d times", e.name, e.exits)
		if e.exits >= 3 {
			machines++
		}
		e.mu.Unlock()
	}
	if machines >= 2 {
		w.rules.lost("Fault: on %d of %d machines the process has ended by itself three times or more, with no impairment there", machines, len(w.entries))
	}
}
