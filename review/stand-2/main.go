// Command stand2 plays cases of the review: entries of the project as separate processes beside stand-ins of the platform, its
// workers and its clients. It exits with 1 if a rule was broken, with 0 if it held, and with 2 if the case could not run.
package main

import (
	"fmt"
	"io"
	"log"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// recorder writes what is sent, answered and run.
type recorder struct {
	mu    sync.Mutex
	f     *os.File
	began time.Time
}

func (r *recorder) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.f, "%9.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

func quiet() *log.Logger { return log.New(io.Discard, "", 0) }

func fail(format string, args ...any) {
	fmt.Fprintf(os.Stderr, "cannot run: "+format+"\n", args...)
	stopAll()
	os.Exit(2)
}

// cases holds the cases by name. Each returns whether a rule was broken.
var cases = map[string]func(w *world, dir string, trouble bool) bool{
	"hopeless": hopeless,
	"gangs":    gangs,
	"counts":   counts,
	"births":   births,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fail("usage: stand2 CASE FOLDER")
	}
	readDeploy()
	f, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fail("%v", err)
	}
	dir, err := os.MkdirTemp("", "stand2-")
	if err != nil {
		fail("%v", err)
	}
	rec := &recorder{f: f, began: time.Now()}
	w := newWorld(rec, newStore(rec))
	trouble := os.Getenv("TROUBLE") != "0"
	broken := cases[os.Args[1]](w, dir, trouble)
	stopAll()
	rec.add("broken: %v", broken)
	fmt.Printf("trouble %v, broken %v\n", trouble, broken)
	f.Close()
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(dir)
	} else {
		fmt.Println("logs in", dir)
	}
	if broken {
		os.Exit(1)
	}
}

// usualKind returns the kind of a worker.
func usualKind(i int) string { return []string{"a", "a", "b"}[i%3] }

// startPool starts workers and entries like those of a small deployment.
func (w *world) startPool(dir string, workers, entryCount int, queues []*queueInfo, limitCPU int64, kindOf func(i int) string) {
	zones := []string{"za", "zb", "zc"}
	for i := range workers {
		x := &worker{w: w, id: fmt.Sprintf("i-%04x%04x", i, os.Getpid()&0xffff), service: "svc", zone: zones[i%3], kind: kindOf(i), rack: fmt.Sprintf("r%d", i/8), cpu: 16000, mem: 32768, rate: 0.98 + 0.02*float64(i%8)/8}
		x.addr = serveAt(x)
		w.mu.Lock()
		w.workers = append(w.workers, x)
		x.start()
		w.mu.Unlock()
		x.beat()
		go func() {
			time.Sleep(heartbeat * time.Duration(i) / time.Duration(workers))
			for {
				time.Sleep(heartbeat)
				x.beat()
			}
		}()
	}
	var routes []map[string]any
	for _, q := range queues {
		routes = append(routes, map[string]any{"name": q.Name, "host": q.Host, "path_prefix": q.Prefix, "kind": "non_idempotent", "timeout_ms": 3000, "target_latency_ms": q.target,
			"priority": q.priority, "service": q.service, "max_attempts": q.attempts, "slack_factor": q.slack, "allow_anonymous": false})
	}
	var tenants []map[string]any
	for i := range 6 {
		tenants = append(tenants, map[string]any{"name": fmt.Sprintf("t%d", i), "api_keys": []string{fmt.Sprintf("key-%d", i)}, "weight": 5.0, "upper_limit": map[string]int64{"cpu": limitCPU, "mem_mb": 0, "gpu": 0}})
	}
	w.store.put("op", "config", map[string]any{"version": 3, "routes": routes, "services": []any{map[string]any{"name": "svc", "preconditions": false}},
		"tenants": tenants, "limits": map[string]any{"max_body_bytes": 262144}})
	for i := range entryCount {
		name := fmt.Sprintf("front-%s-%d", zones[i%3], 1+i/3)
		entries = append(entries, newEntry(dir, name, zones[i%3], w.store.serve(name), ""))
	}
	for _, e := range entries {
		e.start()
	}
	awaitReady(10 * time.Second)
	time.Sleep(3 * time.Second)
}
