package main

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"time"
)

const (
	holdMax        = 6 * time.Second
	stopTimeout    = 900 * time.Millisecond
	gangTimeout    = 3 * time.Second
	checkpointTime = 2 * time.Second
	restoreTime    = 100 * time.Millisecond
	heartbeat      = 1500 * time.Millisecond
)

// worker is one machine that runs tasks, in its present life.
type worker struct {
	w             *world
	id, service   string
	zone          string
	kind, rack    string
	cpu, mem, gpu int64
	addr          string
	// up is false while the worker is down. cut means that no call reaches it. mute means that its answers get lost.
	up, cut, mute bool
	// late is the share of starts and stops that get no answer and are carried out 2 to 12 s later.
	late float64
	// clockStep is added to the time of day of the worker's machine.
	clockStep time.Duration
	born      int64
	bornAt    time.Time
	rate      float64
	fence     int64
	deadline  int64
	running   map[string]*runInfo
	over      map[string]int
	ends      []*runInfo
	lastEnd   int64
	wake      chan struct{}
	draining  bool
	leavesAt  time.Time
	sequence  int64
}

func (x *worker) clock() int64 {
	return 1000 + int64(float64(time.Since(x.bornAt).Milliseconds())*x.rate)
}

// start begins a new life. The caller holds the lock.
func (x *worker) start() {
	x.bornAt = time.Now()
	x.born = x.bornAt.Add(x.clockStep).UnixMilli()
	x.up, x.fence, x.deadline, x.lastEnd, x.ends = true, 0, 0, 0, nil
	x.running, x.over, x.wake = map[string]*runInfo{}, map[string]int{}, make(chan struct{})
	x.w.rec.add("worker %s up, born %d", x.id, x.born)
}

// crash ends the life of the worker. The caller holds the lock.
func (x *worker) crash() {
	x.up = false
	for _, r := range x.running {
		r.how, r.ended, r.lapsed = "lost", time.Now(), true
	}
	for _, r := range x.ends {
		r.lapsed = true
	}
	x.w.rec.add("worker %s down", x.id)
}

func (x *worker) beat() {
	x.w.mu.Lock()
	if !x.up || x.cut {
		x.w.mu.Unlock()
		return
	}
	x.sequence++
	state := "ready"
	v := map[string]any{"service": x.service, "address": x.addr, "zone": x.zone, "version": "v1", "slots": 8, "cold_left_ms": 0,
		"capacity": map[string]int64{"cpu": x.cpu, "mem_mb": x.mem, "gpu": x.gpu}, "labels": []string{x.kind, x.rack}, "clock_ms": x.clock(), "sequence": x.sequence, "born": x.born}
	if x.draining {
		state = "draining"
		v["remaining_ms"] = max(0, time.Until(x.leavesAt).Milliseconds())
	}
	v["state"] = state
	id := x.id
	x.w.mu.Unlock()
	if x.w.store.fault("").mode == "" {
		x.w.store.put("servers", id, v)
	}
}

func (x *worker) tick(now time.Time) {
	clock := x.clock()
	if len(x.running) > 0 && clock > x.deadline {
		for _, r := range x.running {
			x.finish(r, "lapsed")
		}
	}
	if clock > x.deadline {
		for _, r := range x.ends {
			r.lapsed = true
		}
	}
	for _, r := range x.running {
		if r.how != "" {
			continue
		}
		if r.stopping {
			if now.After(r.stopAt) {
				if r.step.Checkpointing {
					x.w.save(r, x.work(r, now))
				}
				x.finish(r, "stopped")
			}
			continue
		}
		if r.step.Gang && r.working.IsZero() {
			x.gang(r, now)
			if r.how != "" || r.working.IsZero() {
				continue
			}
		}
		work := x.work(r, now)
		if r.step.LongRunning {
			r.percent = 100
			if r.step.failures < 0 && work >= r.step.took {
				x.finish(r, "failed")
			}
			continue
		}
		if r.step.Checkpointing {
			s := x.w.saves[r.saved]
			if work-s.work >= checkpointTime {
				x.w.save(r, work)
			}
		}
		r.percent = int(100 * work / max(1, r.step.took))
		if work < r.step.took {
			continue
		}
		how := "done"
		if r.run <= r.step.failures || r.step.failures < 0 {
			how = "failed"
		}
		x.finish(r, how)
	}
}

func (x *worker) work(r *runInfo, now time.Time) time.Duration {
	if r.working.IsZero() {
		return r.base
	}
	since := now.Sub(r.working)
	if r.base > 0 {
		since = max(0, since-restoreTime)
	}
	return min(r.step.took, r.base+since)
}

// members returns the present members of the run of a gang.
func (x *worker) members(r *runInfo) []*runInfo {
	var found []*runInfo
	for _, o := range x.w.workers {
		if !o.up {
			continue
		}
		for _, m := range o.running {
			if m.name.job == r.name.job && m.name.k == r.name.k && m.name.step == r.name.step && m.run == r.run {
				found = append(found, m)
			}
		}
	}
	return found
}

func (x *worker) gang(r *runInfo, now time.Time) {
	m := x.members(r)
	if len(m) == r.step.Count {
		for _, o := range m {
			o.working = now
			if o.saved != r.saved {
				x.w.broken("UNASKED", "members of gang run %d of %s.%d.%d carry different checkpoints %q and %q", r.run, r.name.job, r.name.k, r.name.step, o.saved, r.saved)
			}
		}
		return
	}
	if now.Sub(r.begun) > gangTimeout {
		x.finish(r, "alone")
	}
}

// finish ends a run and, for a gang, those of the other members.
func (x *worker) finish(r *runInfo, how string) {
	if r.how != "" {
		return
	}
	r.how, r.ended = how, time.Now()
	if !r.step.Checkpointing {
		r.saved = ""
	}
	delete(x.running, r.task)
	x.over[r.task] = max(x.over[r.task], r.run)
	x.lastEnd++
	r.number = x.lastEnd
	x.ends = append(x.ends, r)
	close(x.wake)
	x.wake = make(chan struct{})
	x.w.rec.add("end %s run %d on %s %s number %d", r.task, r.run, x.id, how, r.number)
	if r.step.Gang && how != "alone" && !r.working.IsZero() {
		other := "broken"
		if how == "done" {
			other = "done"
		}
		for _, o := range x.members(r) {
			// Members behind a cut do not learn of the end.
			if o != r && !x.cut && !o.worker.cut {
				o.worker.finish(o, other)
			}
		}
	}
}

type order struct {
	Task     string `json:"task"`
	Run      int    `json:"run"`
	Spec     string `json:"spec"`
	Deadline int64  `json:"deadline_ms"`
	Fence    int64  `json:"fencing_token"`
	Saved    string `json:"last_checkpoint"`
	Ticket   string `json:"ticket"`
	Ack      int64  `json:"ack_seq"`
	WaitMs   int64  `json:"wait_ms"`
	Percent  int    `json:"percent"`
}

func (x *worker) refuse(reason string) (int, any) {
	return http.StatusConflict, map[string]any{"clock_ms": x.clock(), "reason": reason, "born": x.born}
}

func (x *worker) ok() (int, any) {
	return http.StatusOK, map[string]any{"clock_ms": x.clock(), "born": x.born}
}

func (x *worker) extend(deadline int64) {
	x.deadline = max(x.deadline, min(deadline, x.clock()+holdMax.Milliseconds()))
}

// do carries out an order. The caller holds the lock.
func (x *worker) do(path string, o order) (int, any) {
	if o.Fence < x.fence {
		return x.refuse("fence")
	}
	x.fence = o.Fence
	switch path {
	case "/-/run-start":
		if r, there := x.running[o.Task]; there && r.run == o.Run {
			x.extend(o.Deadline)
			return x.ok()
		}
		if o.Deadline <= x.clock() {
			return x.refuse("late")
		}
		x.extend(o.Deadline)
		if o.Run <= x.over[o.Task] {
			return x.refuse("old")
		}
		r, problem := x.w.checkStart(x, o.Task, o.Spec, o.Saved, o.Run)
		if problem != "" {
			return http.StatusBadRequest, map[string]any{"clock_ms": x.clock()}
		}
		if !r.step.Gang {
			r.working = r.begun
		}
		if old, there := x.running[o.Task]; there {
			x.finish(old, "stopped")
		}
		x.running[o.Task] = r
		return x.ok()
	case "/-/run-stop":
		x.over[o.Task] = max(x.over[o.Task], o.Run)
		if r, there := x.running[o.Task]; there && r.run <= o.Run && !r.stopping {
			r.stopping, r.stopAt = true, time.Now().Add(time.Duration(rand.Int64N(int64(stopTimeout*2/3))))
			x.w.rec.add("stop %s run %d on %s", o.Task, o.Run, x.id)
		}
		return x.ok()
	default:
		return x.ok()
	}
}

// hold answers a hold call. The caller holds the lock, which is released while the call waits.
func (x *worker) hold(r *http.Request, o order) (int, any) {
	if o.Fence < x.fence {
		return x.refuse("fence")
	}
	x.fence = o.Fence
	if o.Deadline > 0 {
		if x.clock() > x.deadline {
			// The lease has lapsed before this call.
			x.tick(time.Now())
		}
		x.extend(o.Deadline)
	}
	for len(x.ends) > 0 && x.ends[0].number <= o.Ack {
		x.ends[0].noted = time.Now()
		x.w.rec.add("noted %s run %d on %s %s", x.ends[0].task, x.ends[0].run, x.id, x.ends[0].how)
		x.ends = x.ends[1:]
	}
	born := x.born
	limit := time.After(time.Duration(min(o.WaitMs, 2000)) * time.Millisecond)
	for len(x.ends) == 0 && o.WaitMs > 0 {
		wake := x.wake
		x.w.mu.Unlock()
		stop := false
		select {
		case <-wake:
		case <-limit:
			stop = true
		case <-r.Context().Done():
			stop = true
		}
		x.w.mu.Lock()
		if stop || !x.up || x.born != born {
			break
		}
	}
	running, ended := [][]any{}, [][]any{}
	for _, m := range x.running {
		running = append(running, []any{m.task, m.run, m.saved, m.percent, m.step.CPU})
	}
	for i, m := range x.ends {
		if i == 500 {
			break
		}
		ended = append(ended, []any{m.number, m.task, m.run, m.how, m.saved})
	}
	return http.StatusOK, map[string]any{"clock_ms": x.clock(), "born": x.born, "running_count": running, "ended": ended}
}

func (x *worker) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var o order
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(500 * time.Microsecond)
	x.w.mu.Lock()
	if !x.up || x.cut {
		x.w.mu.Unlock()
		hang(r)
	}
	if id := r.Header.Get("X-Expect-Instance"); id != "" && id != x.id {
		x.w.mu.Unlock()
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	born := x.born
	if r.URL.Path != "/-/hold" && rand.Float64() < x.late {
		x.w.rec.add("late %s %s run %d on %s", r.URL.Path, o.Task, o.Run, x.id)
		x.w.mu.Unlock()
		go func() {
			time.Sleep(2*time.Second + time.Duration(rand.Int64N(int64(10*time.Second))))
			x.w.mu.Lock()
			defer x.w.mu.Unlock()
			if x.up && x.born == born {
				x.do(r.URL.Path, o)
			}
		}()
		hang(r)
	}
	var status int
	var body any
	if r.URL.Path == "/-/hold" {
		status, body = x.hold(r, o)
	} else {
		status, body = x.do(r.URL.Path, o)
	}
	lost := !x.up || x.cut || x.mute || x.born != born
	x.w.mu.Unlock()
	if lost {
		hang(r)
	}
	reply(w, status, body)
}
