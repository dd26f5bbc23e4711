package main

import (
	"context"
	"encoding/json"

	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// holdMax is hold_max_ms of the deployment.
const holdMax = 6000

// run is a task that runs on a worker.
type run struct {
	task  string
	run   int
	began time.Time
	takes time.Duration
	ends  *time.Timer
}

// end is a row of the list of ended runs.
type end struct {
	number int
	task   string
	run    int
	how    string
}

// startLog is a start as a worker saw it.
type startLog struct {
	at     time.Time
	task   string
	run    int
	worker string
	fence  int64
}

// worker runs tasks as the pages say. The specification of a job is the time that each of its tasks takes, in milliseconds.
type worker struct {
	id, address string
	store       *store
	listener    net.Listener
	server      *http.Server

	mu       sync.Mutex
	born     time.Time
	fence    int64
	expires  int64
	lease    *time.Timer
	runs     map[string]*run
	highest  map[string]int
	ends     []end
	number   int
	changed  chan struct{}
	sequence int
	stopped  chan struct{}
	starts   *startList
	// label is the label that steps may require.
	label string
	// life counts the starts of the worker under its id. While dark is set it is down and silent.
	life int
	dark bool
	// delay is how long a message takes to the worker, and from it.
	delay time.Duration
	// started is called with each start that was carried out, before its answer is sent. It may be nil.
	started func(task string, run int)
}

// startList collects the starts of all workers.
type startList struct {
	mu   sync.Mutex
	list []startLog
}

func (l *startList) add(s startLog) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.list = append(l.list, s)
}

func (l *startList) all() []startLog {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]startLog(nil), l.list...)
}

// connLife is the key of the life in which a connection was accepted, or -1 for one that was accepted while the worker was dark.
type connLife struct{}

func newWorker(id, label string, s *store, starts *startList) *worker {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fatal(err)
	}
	w := &worker{
		id: id, address: listener.Addr().String(), store: s, listener: listener, born: time.Now(), runs: make(map[string]*run),
		highest: make(map[string]int), changed: make(chan struct{}), stopped: make(chan struct{}), starts: starts, label: label,
	}
	w.server = &http.Server{Handler: w.handler(), ConnContext: func(ctx context.Context, _ net.Conn) context.Context {
		w.mu.Lock()
		defer w.mu.Unlock()
		life := w.life
		if w.dark {
			life = -1
		}
		return context.WithValue(ctx, connLife{}, life)
	}}
	go func() { _ = w.server.Serve(listener) }()
	w.report()
	go func() {
		for {
			select {
			case <-w.stopped:
				return
			case <-time.After(1500 * time.Millisecond):
				w.report()
			}
		}
	}()
	return w
}

// report writes the worker's row.
func (w *worker) report() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.dark {
		return
	}
	w.sequence++
	w.store.put("servers", w.id, map[string]any{
		"service": "planner", "address": w.address, "zone": "z1", "version": "v1", "slots": 8, "state": "ready", "cold_left_ms": 0, "sequence": w.sequence,
		"born": w.born.UnixMilli(), "capacity": map[string]int{"cpu": 64000, "mem_mb": 131072, "gpu": 0}, "labels": []string{w.label, "r1-1"}, "machine": "m-" + w.id,
	})
}

func (w *worker) clock() int64 { return time.Since(w.born).Milliseconds() + 1 }

func (w *worker) notify() {
	close(w.changed)
	w.changed = make(chan struct{})
}

// order is the body of a call to a worker.
type order struct {
	Task     string `json:"task"`
	Run      int    `json:"run"`
	Spec     string `json:"spec"`
	Deadline int64  `json:"deadline_ms"`
	Fence    int64  `json:"fencing_token"`
	Acked    int    `json:"ack_seq"`
	Wait     int    `json:"wait_ms"`
}

func (w *worker) handler() http.Handler {
	mux := http.NewServeMux()
	handle := func(path string, fn func(out http.ResponseWriter, r *http.Request, o order)) {
		mux.HandleFunc("POST "+path, func(out http.ResponseWriter, r *http.Request) {
			if want := r.Header.Get("X-Expect-Instance"); want != "" && want != w.id {
				out.WriteHeader(http.StatusMisdirectedRequest)
				return
			}
			var o order
			if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
				http.Error(out, err.Error(), http.StatusBadRequest)
				return
			}
			time.Sleep(w.delay)
			if !w.alive(r) {
				noAnswer(r)
			}
			fn(&delayed{out, w.delay}, r, o)
		})
	}
	handle("/-/run-start", w.serveStart)
	handle("/-/run-stop", w.serveStop)
	handle("/-/hold", w.serveHold)
	handle("/-/pace", func(out http.ResponseWriter, _ *http.Request, _ order) {
		reply(out, 200, map[string]any{"clock_ms": w.clock()})
	})
	mux.HandleFunc("GET /health", func(out http.ResponseWriter, _ *http.Request) { out.WriteHeader(200) })
	return mux
}

// delayed sends an answer after a delay.
type delayed struct {
	http.ResponseWriter
	delay time.Duration
}

// WriteHeader sends the header of the answer.
func (d *delayed) WriteHeader(status int) {
	time.Sleep(d.delay)
	d.ResponseWriter.WriteHeader(status)
}

// alive reports whether the connection of a request was accepted in this life of the worker, and the worker is not dark.
func (w *worker) alive(r *http.Request) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.aliveLocked(r)
}

func (w *worker) aliveLocked(r *http.Request) bool {
	life, _ := r.Context().Value(connLife{}).(int)
	return !w.dark && life == w.life
}

// crash ends the life of the worker without a word. It is dark until restart.
func (w *worker) crash() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.dark = true
	w.life++
	for _, x := range w.runs {
		x.ends.Stop()
		spanEnds(w.id, x.task, x.run)
	}
	if w.lease != nil {
		w.lease.Stop()
	}
	w.runs, w.highest, w.ends, w.number, w.fence, w.expires, w.lease = make(map[string]*run), make(map[string]int), nil, 0, 0, 0, nil
	logf("worker %s: crashes", w.id)
	w.notify()
}

// restart starts a crashed worker again under its id and address.
func (w *worker) restart() {
	w.mu.Lock()
	if !w.dark {
		w.mu.Unlock()
		return
	}
	w.dark, w.born, w.sequence = false, time.Now(), 0
	logf("worker %s: starts again, born %d", w.id, w.born.UnixMilli())
	w.mu.Unlock()
	w.report()
}

// obey checks the fence of an order and extends the lease. The caller holds the lock.
func (w *worker) obey(o order) bool {
	if o.Fence < w.fence {
		return false
	}
	w.fence = o.Fence
	return true
}

func (w *worker) extend(deadline int64) {
	until := min(deadline, w.clock()+holdMax)
	if until <= w.expires {
		return
	}
	w.expires = until
	if w.lease != nil {
		w.lease.Stop()
	}
	w.lease = time.AfterFunc(time.Duration(until-w.clock())*time.Millisecond, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.clock() < w.expires {
			return
		}
		for _, x := range w.runs {
			w.finish(x, "lapsed")
		}
	})
}

// finish lists the end of a run. The caller holds the lock.
func (w *worker) finish(x *run, how string) {
	if w.runs[x.task] != x {
		return
	}
	x.ends.Stop()
	delete(w.runs, x.task)
	spanEnds(w.id, x.task, x.run)
	w.number++
	w.ends = append(w.ends, end{w.number, x.task, x.run, how})
	w.highest[x.task] = max(w.highest[x.task], x.run)
	logf("worker %s: run %d of %s ended %s", w.id, x.run, x.task, how)
	w.notify()
}

func (w *worker) refuse(out http.ResponseWriter, reason string) {
	reply(out, http.StatusConflict, map[string]any{"clock_ms": w.clock(), "reason": reason})
}

func (w *worker) serveStart(out http.ResponseWriter, _ *http.Request, o order) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.obey(o) {
		w.refuse(out, "fence")
		return
	}
	if o.Deadline <= w.clock() {
		w.refuse(out, "late")
		return
	}
	w.extend(o.Deadline)
	if x, ok := w.runs[o.Task]; ok && x.run == o.Run {
		reply(out, 200, map[string]any{"clock_ms": w.clock()})
		return
	}
	if o.Run <= w.highest[o.Task] {
		w.refuse(out, "old")
		return
	}
	how, text := "done", o.Spec
	if first, later, ok := strings.Cut(o.Spec, ":"); ok {
		// The first run fails.
		text = later
		if o.Run == 1 {
			how, text = "failed", first
		}
	}
	ms, err := strconv.Atoi(text)
	if err != nil {
		http.Error(out, "bad spec", http.StatusBadRequest)
		return
	}
	x := &run{task: o.Task, run: o.Run, began: time.Now(), takes: time.Duration(ms) * time.Millisecond}
	x.ends = time.AfterFunc(x.takes, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.finish(x, how)
	})
	w.runs[o.Task] = x
	w.highest[o.Task] = max(w.highest[o.Task], o.Run-1)
	spanBegins(w.id, o.Task, o.Run)
	w.starts.add(startLog{time.Now(), o.Task, o.Run, w.id, o.Fence})
	logf("worker %s: run %d of %s starts, fence %d", w.id, o.Run, o.Task, o.Fence)
	if w.started != nil {
		w.started(o.Task, o.Run)
	}
	reply(out, 200, map[string]any{"clock_ms": w.clock()})
}

func (w *worker) serveStop(out http.ResponseWriter, _ *http.Request, o order) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.obey(o) {
		w.refuse(out, "fence")
		return
	}
	w.highest[o.Task] = max(w.highest[o.Task], o.Run)
	if x, ok := w.runs[o.Task]; ok && x.run <= o.Run {
		w.finish(x, "stopped")
	}
	reply(out, 200, map[string]any{"clock_ms": w.clock()})
}

func (w *worker) serveHold(out http.ResponseWriter, r *http.Request, o order) {
	limit := time.After(time.Duration(min(max(o.Wait, 0), 2000)) * time.Millisecond)
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.obey(o) {
		w.refuse(out, "fence")
		return
	}
	w.extend(o.Deadline)
	kept := w.ends[:0]
	for _, e := range w.ends {
		if e.number > o.Acked {
			kept = append(kept, e)
		}
	}
	w.ends = kept
	for len(w.ends) == 0 && o.Wait > 0 {
		changed := w.changed
		w.mu.Unlock()
		stop := false
		select {
		case <-changed:
		case <-limit:
			stop = true
		case <-r.Context().Done():
			stop = true
		}
		w.mu.Lock()
		if stop {
			break
		}
	}
	if !w.aliveLocked(r) {
		w.mu.Unlock()
		defer w.mu.Lock()
		noAnswer(r)
	}
	running, ended := [][]any{}, [][]any{}
	for _, x := range w.runs {
		percent := min(99, int(100*time.Since(x.began)/max(x.takes, 1)))
		running = append(running, []any{x.task, x.run, "", percent, 1000})
	}
	for _, e := range w.ends[:min(len(w.ends), 500)] {
		ended = append(ended, []any{e.number, e.task, e.run, e.how, ""})
	}
	reply(out, 200, map[string]any{"clock_ms": w.clock(), "born": w.born.UnixMilli(), "running_count": running, "ended": ended})
}

// taskJob returns the id of the job of a task.
func taskJob(task string) string {
	id, _, _ := strings.Cut(task, ".")
	return id
}
