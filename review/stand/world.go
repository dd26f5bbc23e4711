package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// plan is what a worker does for a task.
type plan struct {
	work  time.Duration
	saves bool
	size  size
}

// step is a step of a job as a client sends it.
type step struct {
	Count         int   `json:"count"`
	CPU           int64 `json:"cpu,omitempty"`
	Mem           int64 `json:"mem_mb,omitempty"`
	Estimate      int64 `json:"estimate_ms,omitempty"`
	Checkpointing bool  `json:"checkpointing,omitempty"`
}

// jobBody is the body of a job.
type jobBody struct {
	Spec   string `json:"spec"`
	Steps  []step `json:"steps"`
	Repeat int    `json:"repeat_count,omitempty"`
	Start  int64  `json:"start_at_ms,omitempty"`
	Every  int64  `json:"interval_ms,omitempty"`
}

// Bounds of the site mhc-crier, in milliseconds.
const (
	holdMaxMs    = 10000
	checkpointMs = 500
)

// world holds the stand-ins and the processes of a case.
type world struct {
	dir, program string
	trouble      bool
	began        time.Time
	store        *store
	rules        *rules
	storeAddress string
	// adviserAddress is the address of the adviser, or "".
	adviserAddress string
	workers        []*worker
	entries        []*entry
	config         config

	mu     sync.Mutex
	record *os.File
	jobs   map[string]jobBody
	// closing is set while the case ends.
	closing bool
}

// config is the operator's config.
type config struct {
	Version  int64          `json:"version"`
	Routes   []route        `json:"routes"`
	Services []service      `json:"services"`
	Tenants  []tenant       `json:"tenants"`
	Limits   map[string]any `json:"limits"`
}

type route struct {
	Name        string  `json:"name"`
	Host        string  `json:"host"`
	Prefix      string  `json:"path_prefix"`
	Kind        string  `json:"kind"`
	TimeoutMs   int     `json:"timeout_ms"`
	Target      int     `json:"target_latency_ms"`
	Priority    int     `json:"priority"`
	Service     string  `json:"service"`
	Attempts    int     `json:"max_attempts"`
	Slack       float64 `json:"slack_factor"`
	AllowAnyone bool    `json:"allow_anonymous"`

	Advice *advicePolicy `json:"placement_advice,omitempty"`
}

type service struct {
	Name          string `json:"name"`
	Preconditions bool   `json:"preconditions"`
}

type tenant struct {
	Name   string   `json:"name"`
	Keys   []string `json:"api_keys"`
	Weight float64  `json:"weight"`
	Limit  size     `json:"upper_limit"`
}

const serviceName = "planner"

// newWorld starts the store and opens the record.
func newWorld(folder string) (*world, error) {
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	w := &world{dir: dir, program: "target/pfnode", trouble: os.Getenv("TROUBLE") != "0", began: time.Now(), record: record, jobs: make(map[string]jobBody), store: newStore()}
	w.rules = newRules(w)
	w.storeAddress = freeAddress()
	listen(w.storeAddress, w.store)
	w.config = config{
		Version: 1,
		Routes: []route{
			{Name: "r-check", Host: "plan.example", Prefix: "/check/", Kind: "non_idempotent", TimeoutMs: 3000, Target: 250, Priority: 0, Service: serviceName, Attempts: 3, Slack: 1.5},
			{Name: "r-night", Host: "plan.example", Prefix: "/night/", Kind: "non_idempotent", TimeoutMs: 3000, Target: 1200, Priority: 2, Service: serviceName, Attempts: 3, Slack: 2.2},
		},
		Services: []service{{Name: serviceName}},
		Tenants: []tenant{
			{Name: "north", Keys: []string{"key-north-1", "key-north-2"}, Weight: 20},
			{Name: "south", Keys: []string{"key-south-1"}, Weight: 20},
		},
		Limits: map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 5000, "idle_timeout_ms": 60000},
	}
	return w, nil
}

// listen serves an address of the case.
func listen(address string, handler http.Handler) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		panic(err)
	}
	go func() { _ = http.Serve(l, handler) }()
}

// log writes a line to the record.
func (w *world) log(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, _ = fmt.Fprintf(w.record, "%8.3f %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, args...))
}

// operate writes the config.
func (w *world) operate() {
	text, _ := json.Marshal(w.config)
	w.store.put("op", "config", text)
	w.log("operator: config %d acknowledged", w.config.Version)
}

// addWorkers starts workers of the first service.
func (w *world) addWorkers(n int, capacity size) error {
	return w.addWorkersOf(serviceName, n, capacity)
}

// addWorkersOf starts workers of a service.
func (w *world) addWorkersOf(service string, n int, capacity size) error {
	for i := range n {
		k := newWorker(w, fmt.Sprintf("i-%04x%04x", 0x7f3a, 0x1000+len(w.workers)), service, "zone-1", capacity, []string{"a", fmt.Sprintf("r1-%d", i/8)})
		w.workers = append(w.workers, k)
		if err := k.start(); err != nil {
			return err
		}
	}
	return nil
}

// planOf returns what a worker does for a task.
func (w *world) planOf(task string) plan {
	parts := strings.Split(task, ".")
	w.mu.Lock()
	j, ok := w.jobs[parts[0]]
	w.mu.Unlock()
	if !ok || len(parts) != 4 {
		return plan{work: time.Second}
	}
	n, err := strconv.Atoi(parts[2])
	if err != nil || n >= len(j.Steps) {
		return plan{work: time.Second}
	}
	s := j.Steps[n]
	return plan{work: time.Duration(s.Estimate) * time.Millisecond, saves: s.Checkpointing, size: size{CPU: s.CPU, Mem: s.Mem}}
}

// entry is a process of the project.
type entry struct {
	w                     *world
	name                  string
	callers, ready, peers string
	memoryMB              int

	mu      sync.Mutex
	process *exec.Cmd
	exits   int
	// killed is set if the case ended the process itself.
	killed bool
}

// restartAfter is the platform's delay before it starts an ended process again.
const restartAfter = 500 * time.Millisecond

// addEntries adds entries that are not started yet.
func (w *world) addEntries(n int) {
	for range n {
		w.entries = append(w.entries, &entry{w: w, name: fmt.Sprintf("front-%d", len(w.entries)+1), callers: freeAddress(), ready: freeAddress(), peers: freeAddress(), memoryMB: 284})
	}
}

// start starts the process as the deploy file says.
func (e *entry) start() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	settings, _ := json.Marshal(map[string]any{
		"name": e.name, "domain": "zone-1", "callers": e.callers, "ready": e.ready, "peers": e.peers, "store": e.w.storeAddress, "adviser": e.w.adviserAddress,
		"level": "info", "lease": holdMaxMs, "stop": 900, "restore": 100, "save": checkpointMs, "early": 250, "grace": 6000, "cores": 0.4, "link": 1000.0, "memory": e.memoryMB,
	})
	path := filepath.Join(e.w.dir, e.name+".json")
	if err := os.WriteFile(path, settings, 0o600); err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(e.w.dir, e.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	p := exec.Command(e.w.program, "serve")
	// A machine of the sites has one core, and the list of processors shows the process one.
	p.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "PLANTAINFOLD_BOOT=" + path, "GOMAXPROCS=1"}
	p.Stdout, p.Stderr = out, out
	if err := p.Start(); err != nil {
		return err
	}
	e.process, e.killed = p, false
	e.w.log("process %s started", e.name)
	go func() {
		err := p.Wait()
		_ = out.Close()
		e.mu.Lock()
		killed := e.killed
		e.process = nil
		if !killed {
			e.exits++
		}
		e.mu.Unlock()
		if e.w.isClosing() {
			return
		}
		if killed {
			e.w.log("process %s has ended (by the case)", e.name)
		} else {
			e.w.log("process %s has ended by itself: %v; %s", e.name, err, e.lastLines())
		}
		time.Sleep(restartAfter)
		if !e.w.isClosing() {
			_ = e.start()
		}
	}()
	return nil
}

// lastLines returns why the process ended, as far as its log tells.
func (e *entry) lastLines() string {
	text, _ := os.ReadFile(filepath.Join(e.w.dir, e.name+".log"))
	if at := bytes.LastIndex(text, []byte("panic:")); at >= 0 {
		line, _, _ := strings.Cut(string(text[at:]), "\n")
		return line
	}
	return ""
}

func (w *world) isClosing() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.closing
}

// signal sends a signal to the process.
func (e *entry) signal(s syscall.Signal) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.process == nil {
		return
	}
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		e.killed = true
	}
	_ = e.process.Process.Signal(s)
}

func (e *entry) pid() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.process == nil {
		return 0
	}
	return e.process.Process.Pid
}

// isReady asks the process as the platform does.
func (e *entry) isReady() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+e.ready+"/-/ready", nil)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// startEntries starts all entries and waits until they are ready.
func (w *world) startEntries() error {
	for _, e := range w.entries {
		if err := e.start(); err != nil {
			return err
		}
	}
	for deadline := time.Now().Add(15 * time.Second); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, e := range w.entries {
			if e.isReady() {
				ready++
			}
		}
		if ready == len(w.entries) && w.owner() != nil {
			time.Sleep(2 * time.Second)
			return nil
		}
	}
	return errors.New("the entries are not ready")
}

// owner returns the entry that last wrote to the store under a condition, as the row of the owner tells.
func (w *world) owner() *entry {
	text := w.store.value("lead", "owner")
	for _, e := range w.entries {
		if bytes.Contains(text, []byte(e.name)) {
			return e
		}
	}
	return nil
}

// close ends all processes.
func (w *world) close() {
	w.mu.Lock()
	w.closing = true
	w.mu.Unlock()
	for _, e := range w.entries {
		e.signal(syscall.SIGCONT)
		e.signal(syscall.SIGKILL)
	}
	for _, e := range w.entries {
		for range 100 {
			if e.pid() == 0 {
				break
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	} else {
		fmt.Println("logs:", w.dir)
	}
}

// reply is an answer to a client.
type reply struct {
	status int
	body   string
	err    error
}

var client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16}}

// call sends a call of a client to an entry.
func (w *world) call(e *entry, method, key, path string, body any) reply {
	var in io.Reader
	if body != nil {
		text, err := json.Marshal(body)
		if err != nil {
			return reply{err: err}
		}
		if raw, ok := body.(json.RawMessage); ok {
			text = raw
		}
		in = bytes.NewReader(text)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+e.callers+path, in)
	if err != nil {
		return reply{err: err}
	}
	req.Host = "plan.example"
	req.Header.Set("Api-Key", key)
	req.Header.Set("X-Timeout-Ms", "3000")
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := client.Do(req)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	return reply{status: resp.StatusCode, body: string(text), err: err}
}

// anyEntry returns an entry that runs.
func (w *world) anyEntry() *entry {
	for range 50 {
		if e := w.entries[rand.IntN(len(w.entries))]; e.pid() != 0 {
			return e
		}
		time.Sleep(20 * time.Millisecond)
	}
	return w.entries[0]
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// maxTries is the number of attempts of a client: the first and the retries of the users' sheets.
const maxTries = 5

// submit hands in a job as a client does: it tries again at another entry after no answer, a 502 or a 504. It reports whether
// the job was accepted.
func (w *world) submit(key, prefix string, body jobBody) (id string, accepted bool) {
	id = newID()
	w.mu.Lock()
	w.jobs[id] = body
	w.mu.Unlock()
	for try := 1; try <= maxTries; try++ {
		e := w.anyEntry()
		r := w.call(e, http.MethodPost, key, prefix+id, body)
		w.log("client: POST %s%s to %s: %d %v", prefix, id, e.name, r.status, r.err)
		switch {
		case r.err == nil && r.status/100 == 2:
			return id, true
		case r.err != nil, r.status == 502, r.status == 504:
		default:
			return id, false
		}
		time.Sleep(200 * time.Millisecond)
	}
	return id, false
}

// state asks for the state of a job.
func (w *world) state(key, prefix, id string) (string, reply) {
	var r reply
	for range maxTries {
		r = w.call(w.anyEntry(), http.MethodGet, key, prefix+id, nil)
		if r.err == nil && (r.status == 200 || r.status == 410) {
			break
		}
		time.Sleep(200 * time.Millisecond)
	}
	var out struct {
		State string `json:"state"`
	}
	_ = json.Unmarshal([]byte(r.body), &out)
	return out.State, r
}

// stopOnSignals ends the processes when the case is interrupted or takes too long.
func (w *world) stopOnSignals(limit time.Duration) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	go func() {
		select {
		case <-signals:
		case <-time.After(limit):
			w.log("the case takes too long")
		}
		w.close()
		os.Exit(2)
	}()
}
