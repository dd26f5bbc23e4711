package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"
)

// Figures of a worker.
const (
	maxEndsSent = 500
	stopTime    = 50 * time.Millisecond
	heartbeat   = 1500 * time.Millisecond
)

// size is an amount of resources.
type size struct {
	CPU int64 `json:"cpu"`
	Mem int64 `json:"mem_mb"`
	GPU int64 `json:"gpu"`
}

// run is a run of a task on a worker.
type run struct {
	task     string
	number   int
	started  time.Time
	begun    time.Time
	work     time.Duration
	saved    string
	base     time.Duration
	stopping bool
	size     size
}

// ended is the end of a run.
type ended struct {
	n         int64
	task, how string
	number    int
	saved     string
}

// worker is a stand-in for a worker, as PROTOCOL.md describes it. It starts whatever it is told to start.
type worker struct {
	w       *world
	id      string
	service string
	zone    string
	address string

	mu       sync.Mutex
	born     int64
	bornAt   time.Time
	capacity size
	labels   []string
	fence    int64
	leaseEnd int64
	runs     map[string]*run
	highest  map[string]int
	ends     []ended
	lastEnd  int64
	sequence int64
	changed  chan struct{}
}

// newWorker returns a worker that has not started.
func newWorker(w *world, id, service, zone string, capacity size, labels []string) *worker {
	return &worker{
		w: w, id: id, service: service, zone: zone, address: freeAddress(), capacity: capacity, labels: labels,
		runs: make(map[string]*run), highest: make(map[string]int), changed: make(chan struct{}),
	}
}

// start begins the life of the worker: it listens and registers itself.
func (k *worker) start() error {
	l, err := net.Listen("tcp", k.address)
	if err != nil {
		return err
	}
	k.mu.Lock()
	k.bornAt = time.Now()
	k.born = k.bornAt.UnixMilli()
	k.mu.Unlock()
	mux := http.NewServeMux()
	for _, path := range []string{"run-start", "run-stop", "hold", "pace"} {
		mux.HandleFunc("POST /-/"+path, func(w http.ResponseWriter, r *http.Request) { k.serve(w, r, path) })
	}
	go func() { _ = http.Serve(l, mux) }()
	k.w.log("worker %s up, born %d, capacity %d/%d", k.id, k.born, k.capacity.CPU, k.capacity.Mem)
	k.register()
	go k.beat()
	go k.work()
	return nil
}

// register writes the row of the worker.
func (k *worker) register() {
	k.mu.Lock()
	k.sequence++
	text, _ := json.Marshal(map[string]any{"service": k.service, "address": k.address, "zone": k.zone, "version": "v1", "slots": 8, "state": "ready",
		"cold_left_ms": 0, "capacity": k.capacity, "labels": k.labels, "clock_ms": k.clock(), "sequence": k.sequence, "born": k.born})
	k.mu.Unlock()
	k.w.store.put("servers", k.id, text)
}

// beat writes the row every heartbeat.
func (k *worker) beat() {
	for {
		time.Sleep(heartbeat)
		k.register()
	}
}

// clock returns the worker's steady clock in milliseconds. The caller holds the lock.
func (k *worker) clock() int64 { return time.Since(k.bornAt).Milliseconds() + 1 }

// work ends the runs that are done or whose lease has expired.
func (k *worker) work() {
	hadLease := false
	for {
		time.Sleep(5 * time.Millisecond)
		k.mu.Lock()
		now := time.Now()
		lapsed := k.clock() > k.leaseEnd
		if lapsed && hadLease {
			k.w.rules.lapse(k)
		}
		hadLease = !lapsed
		for _, r := range k.runs {
			switch {
			case lapsed:
				k.end(r, "lapsed")
			case !r.stopping && r.base+now.Sub(r.begun) >= r.work:
				k.end(r, "done")
			}
		}
		k.mu.Unlock()
	}
}

// end ends a run. The caller holds the lock.
func (k *worker) end(r *run, how string) {
	if _, ok := k.runs[r.task]; !ok {
		return
	}
	delete(k.runs, r.task)
	k.highest[r.task] = max(k.highest[r.task], r.number)
	k.lastEnd++
	k.ends = append(k.ends, ended{n: k.lastEnd, task: r.task, how: how, number: r.number, saved: r.checkpoint()})
	k.w.rules.end(k, r.task, r.number, how, k.lastEnd)
	close(k.changed)
	k.changed = make(chan struct{})
}

// checkpoint returns the newest checkpoint of a run; one is written in each interval.
func (r *run) checkpoint() string {
	if r.saved == "-" {
		return ""
	}
	ms := (r.base + time.Since(r.begun)).Milliseconds() / checkpointMs * checkpointMs
	if ms == 0 {
		return r.saved
	}
	return fmt.Sprintf("%08x%08x", ms, hash(r.task))
}

func hash(s string) uint32 {
	h := uint32(2166136261)
	for i := range len(s) {
		h = (h ^ uint32(s[i])) * 16777619
	}
	return h
}

// serve answers a call.
func (k *worker) serve(w http.ResponseWriter, r *http.Request, call string) {
	text, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if want := r.Header.Get("X-Expect-Instance"); want != "" && want != k.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	var in struct {
		Task   string `json:"task"`
		Run    int    `json:"run"`
		Until  int64  `json:"deadline_ms"`
		Fence  int64  `json:"fencing_token"`
		Acked  int64  `json:"ack_seq"`
		WaitMs int64  `json:"wait_ms"`
		Saved  string `json:"last_checkpoint"`
	}
	if err := json.Unmarshal(text, &in); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	k.mu.Lock()
	if in.Fence < k.fence {
		clock := k.clock()
		k.mu.Unlock()
		answer(w, http.StatusConflict, map[string]any{"clock_ms": clock, "reason": "fence"})
		return
	}
	k.fence = in.Fence
	switch call {
	case "hold":
		k.renew(in.Until)
		k.ack(in.Acked)
		limit := time.After(time.Duration(min(in.WaitMs, 2000)) * time.Millisecond)
		for len(k.ends) == 0 && in.WaitMs > 0 {
			changed := k.changed
			k.mu.Unlock()
			over := false
			select {
			case <-changed:
			case <-limit:
				over = true
			case <-r.Context().Done():
				over = true
			}
			k.mu.Lock()
			if over {
				break
			}
		}
		body := k.report()
		k.mu.Unlock()
		answer(w, http.StatusOK, body)
		return
	case "run-start":
		reason := k.begin(in.Task, in.Run, in.Until, in.Saved)
		clock := k.clock()
		k.mu.Unlock()
		if reason != "" {
			answer(w, http.StatusConflict, map[string]any{"clock_ms": clock, "reason": reason})
			return
		}
		answer(w, http.StatusOK, map[string]any{"clock_ms": clock})
		return
	case "run-stop":
		k.stop(in.Task, in.Run)
	}
	clock := k.clock()
	k.mu.Unlock()
	answer(w, http.StatusOK, map[string]any{"clock_ms": clock})
}

// stop stops a run, or keeps it from starting. The caller holds the lock.
func (k *worker) stop(task string, number int) {
	if r, ok := k.runs[task]; ok && r.number <= number && !r.stopping {
		r.stopping = true
		time.AfterFunc(stopTime, func() {
			k.mu.Lock()
			defer k.mu.Unlock()
			k.end(r, "stopped")
		})
	}
	k.highest[task] = max(k.highest[task], number)
}

// renew takes a lease. The caller holds the lock.
func (k *worker) renew(until int64) {
	k.leaseEnd = max(k.leaseEnd, min(until, k.clock()+holdMaxMs))
}

// ack forgets ends. The caller holds the lock.
func (k *worker) ack(n int64) {
	for len(k.ends) > 0 && k.ends[0].n <= n {
		k.w.rules.ack(k, k.ends[0])
		k.ends = k.ends[1:]
	}
}

// begin starts a run and returns the reason of a rejection. The caller holds the lock.
func (k *worker) begin(task string, number int, until int64, saved string) string {
	if r, ok := k.runs[task]; ok && r.number == number {
		k.renew(until)
		return ""
	}
	if number <= k.highest[task] {
		k.renew(until)
		return "old"
	}
	if until <= k.clock() {
		return "late"
	}
	k.renew(until)
	p := k.w.planOf(task)
	now := time.Now()
	r := &run{task: task, number: number, started: now, begun: now, work: p.work, saved: saved, size: p.size}
	if !p.saves {
		r.saved = "-"
	} else if ms, err := strconv.ParseInt(saved[:min(8, len(saved))], 16, 64); err == nil {
		r.base = time.Duration(ms) * time.Millisecond
	}
	k.runs[task] = r
	k.highest[task] = max(k.highest[task], number-1)
	k.w.rules.start(k, r)
	return ""
}

// report returns both lists. The caller holds the lock.
func (k *worker) report() map[string]any {
	running := make([][]any, 0, len(k.runs))
	for _, r := range k.runs {
		percent := 100
		if r.work > 0 {
			percent = min(99, int(100*(r.base+time.Since(r.begun))/r.work))
		}
		running = append(running, []any{r.task, r.number, r.checkpoint(), percent, r.size.CPU})
	}
	list := make([][]any, 0, len(k.ends))
	for _, e := range k.ends[:min(len(k.ends), maxEndsSent)] {
		list = append(list, []any{e.n, e.task, e.number, e.how, e.saved})
	}
	return map[string]any{"clock_ms": k.clock(), "born": k.born, "running_count": running, "ended": list}
}

// freeAddress returns an address on loopback that is free now. Its port lies below those that the kernel gives to outgoing
// connections, so that a program that starts again finds it free.
func freeAddress() string {
	for {
		address := loopback + ":" + strconv.Itoa(11000+rand.IntN(20000))
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		_ = l.Close()
		taken.Lock()
		used := taken.addresses[address]
		taken.addresses[address] = true
		taken.Unlock()
		if !used {
			return address
		}
	}
}

// loopback is a loopback address of this process alone, so that cases that run at the same time do not take each other's ports.
var loopback = fmt.Sprintf("127.%d.%d.1", 1+(os.Getpid()>>8)%250, os.Getpid()%256)

var taken = struct {
	sync.Mutex
	addresses map[string]bool
}{addresses: make(map[string]bool)}
