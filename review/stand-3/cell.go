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
	"path/filepath"
	"sync"
	"time"
)

var (
	record   *os.File
	recordMu sync.Mutex
	zero     = time.Now()
)

// logf writes a line to record.txt, with the seconds since the start.
func logf(format string, args ...any) {
	recordMu.Lock()
	defer recordMu.Unlock()
	if record != nil {
		fmt.Fprintf(record, "%8.3f "+format+"\n", append([]any{time.Since(zero).Seconds()}, args...)...)
	}
}

// fatal ends a case that could not run.
func fatal(err error) {
	logf("the case could not run: %v", err)
	fmt.Fprintln(os.Stderr, err)
	stopAll()
	if tempFolder != "" {
		_ = os.RemoveAll(tempFolder)
	}
	os.Exit(2)
}

var (
	entriesMu sync.Mutex
	processes []*exec.Cmd
	// tempFolder holds the settings and logs of the entries.
	tempFolder string
)

func stopAll() {
	entriesMu.Lock()
	defer entriesMu.Unlock()
	for _, p := range processes {
		_ = p.Process.Kill()
		_ = p.Wait()
	}
	processes = nil
}

// freePort returns an address with a free port below those that the system gives to outgoing connections.
func freePort() string {
	for range 200 {
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", 18000+rand.IntN(14000)))
		if err == nil {
			defer l.Close()
			return l.Addr().String()
		}
	}
	fatal(errors.New("no port is free"))
	return ""
}

// entry is a process of the system.
type entry struct {
	name, callers, ready, peers string
	cmd                         *exec.Cmd
}

// cell is a small deployment: the store, workers, entries.
type cell struct {
	store   *store
	address string
	workers []*worker
	entries []*entry
	starts  *startList
	folder  string
}

const (
	queueHost = "nony24.example"
	prefix    = "/lohu930/"
	apiKey    = "key-of-crews"
)

// config returns the operator's configuration.
func config(version int) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []any{map[string]any{
			"name": "r1", "host": queueHost, "path_prefix": prefix, "service": "planner", "priority": 1, "max_attempts": 3, "slack_factor": 3.0, "target_latency_ms": 1200,
		}},
		"services": []any{map[string]any{"name": "planner", "preconditions": false}},
		"limits":   map[string]any{"max_body_bytes": 262144},
		"tenants":  []any{map[string]any{"name": "crews", "api_keys": []string{apiKey}, "weight": 100, "upper_limit": map[string]int{"cpu": 0, "mem_mb": 0, "gpu": 0}}},
	}
}

func newCell(entries, workers int, seed uint64) *cell {
	folder, err := os.MkdirTemp("", "review-stand-3-")
	if err != nil {
		fatal(err)
	}
	tempFolder = folder
	c := &cell{store: newStore(seed), starts: &startList{}, folder: folder}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fatal(err)
	}
	c.address = l.Addr().String()
	go func() { _ = (&http.Server{Handler: c.store.handler()}).Serve(l) }()
	c.store.put("op", "config", config(1))
	for i := range workers {
		c.workers = append(c.workers, newWorker(fmt.Sprintf("i-%04d", i+1), fmt.Sprintf("pair-%d", i/2), c.store, c.starts))
	}
	for i := range entries {
		e := &entry{name: fmt.Sprintf("front-z%d-1", i+1), callers: freePort(), ready: freePort(), peers: freePort()}
		c.entries = append(c.entries, e)
		c.start(e)
	}
	return c
}

// start starts the process of an entry with the command of the deploy file.
func (c *cell) start(e *entry) {
	settings := map[string]any{
		"name": e.name, "domain": "z1", "callers": e.callers, "ready": e.ready, "peers": e.peers, "store": c.address, "level": level(), "near": 5,
		"lease": holdMax, "stop": 900, "restore": 100, "save": 2000, "early": 250, "grace": 6000, "cores": 0.4, "link": 1000, "memory": 284, "fds": 4100, "row": 65536,
	}
	text, _ := json.Marshal(settings)
	path := filepath.Join(c.folder, e.name+".json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		fatal(err)
	}
	logs, err := os.OpenFile(filepath.Join(c.folder, e.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		fatal(err)
	}
	e.cmd = exec.Command("target/pfnode", "serve")
	e.cmd.Env = append(os.Environ(), "PLANTAINFOLD_BOOT="+path)
	e.cmd.Stdout, e.cmd.Stderr = logs, logs
	if err := e.cmd.Start(); err != nil {
		fatal(err)
	}
	entriesMu.Lock()
	processes = append(processes, e.cmd)
	entriesMu.Unlock()
}

// awaitReady waits until all entries report that they are ready and one owns the pool.
func (c *cell) awaitReady() {
	deadline := time.Now().Add(15 * time.Second)
	for {
		ready := 0
		for _, e := range c.entries {
			if resp, err := http.Get("http://" + e.ready + "/-/ready"); err == nil {
				resp.Body.Close()
				if resp.StatusCode == 200 {
					ready++
				}
			}
		}
		if ready == len(c.entries) {
			time.Sleep(3 * time.Second)
			return
		}
		if time.Now().After(deadline) {
			fatal(fmt.Errorf("only %d entries are ready", ready))
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// call sends a client's request on a channel of its own and returns the status, or 0 without an answer.
func (c *cell) call(e *entry, method, id string, body any, wait time.Duration) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	var in io.Reader
	if body != nil {
		text, _ := json.Marshal(body)
		in = bytes.NewReader(text)
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+e.callers+prefix+id, in)
	if err != nil {
		fatal(err)
	}
	r.Host = queueHost
	r.Close = true
	r.Header.Set("Api-Key", apiKey)
	r.Header.Set("X-Timeout-Ms", "3000")
	if body != nil {
		r.Header.Set("Content-Type", "application/json")
	}
	resp, err := client.Do(r)
	if err != nil {
		return 0, ""
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, ""
	}
	return resp.StatusCode, string(text)
}

var client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// owner returns the entry that the owner's row names.
func (c *cell) owner() *entry {
	value := c.store.value("lead", "owner")
	for _, e := range c.entries {
		if bytes.Contains(value, []byte(e.name)) {
			return e
		}
	}
	return nil
}

func (c *cell) close() {
	stopAll()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(c.folder)
	} else {
		fmt.Println(c.folder)
	}
}

// level returns the log level of the entries.
func level() string {
	if text := os.Getenv("LEVEL"); text != "" {
		return text
	}
	return "info"
}
