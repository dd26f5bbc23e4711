package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// entry is a process of the project.
type entry struct {
	name, zone     string
	settings       string
	front, ready   string
	store, adviser string
	logPath        string

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
}

// entries are the processes of the run.
var entries []*entry

// template is the settings template of the deploy file, and program and arguments are its command.
var (
	template string
	command  []string
)

// readDeploy reads the command and the template from the deploy file.
func readDeploy() {
	text, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		fail("%v", err)
	}
	value := func(name string) string {
		found := regexp.MustCompile(`(?m)^` + name + ` = "([^"]*)"`).FindStringSubmatch(string(text))
		if found == nil {
			fail("deploy/system.toml has no %s", name)
		}
		return found[1]
	}
	command = strings.Fields(value("run"))
	command[0], _ = filepath.Abs(command[0])
	if _, err := os.Stat(command[0]); err != nil {
		fail("build the deploy file first: %v", err)
	}
	t, err := os.ReadFile(value("template"))
	if err != nil {
		fail("%v", err)
	}
	template = string(t)
}

// render fills the fields into the template: {{a.b}}, {{a.0}}, {{a|json}} and sections {{#a}} .. {{/a}}.
func render(text string, fields map[string]any) string {
	find := func(path string) any {
		var v any = fields
		for _, part := range strings.Split(path, ".") {
			switch x := v.(type) {
			case map[string]any:
				v = x[part]
			case []int:
				i, _ := strconv.Atoi(part)
				v = x[i]
			default:
				return nil
			}
		}
		return v
	}
	for {
		open := regexp.MustCompile(`\{\{#([\w.]+)\}\}`).FindStringSubmatchIndex(text)
		if open == nil {
			break
		}
		name := text[open[2]:open[3]]
		end := strings.Index(text, "{{/"+name+"}}")
		inner := text[open[1]:end]
		if v := find(name); v == nil || v == "" {
			inner = ""
		}
		text = text[:open[0]] + inner + text[end+len("{{/"+name+"}}"):]
	}
	return regexp.MustCompile(`\{\{([\w.]+)(\|json)?\}\}`).ReplaceAllStringFunc(text, func(s string) string {
		name, isJSON := strings.CutSuffix(strings.Trim(s, "{}"), "|json")
		v := find(name)
		if isJSON {
			out, _ := json.Marshal(v)
			return string(out)
		}
		return fmt.Sprint(v)
	})
}

// freePort returns a port below those that the system gives to connections, so that it stays free while an entry is down.
func freePort() int {
	for range 1000 {
		port := 10000 + rand.IntN(20000)
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err == nil {
			l.Close()
			return port
		}
	}
	fail("no free port")
	return 0
}

// newEntry returns an entry with settings like those of a small deployment.
func newEntry(dir, name, zone, store, adviser string) *entry {
	e := &entry{name: name, zone: zone, front: fmt.Sprintf("127.0.0.1:%d", freePort()), ready: fmt.Sprintf("127.0.0.1:%d", freePort()), store: store, adviser: adviser}
	e.settings, e.logPath = filepath.Join(dir, name+".json"), filepath.Join(dir, name+".log")
	fields := map[string]any{
		"node": name, "zone": zone, "ip": "127.0.0.1", "internal_ports": []int{freePort()}, "placement_advice": adviser,
		"listen": map[string]any{"front": e.front, "ready": e.ready},
		"limits": map[string]any{"cpu_share": 0.4, "memory_mb": 284, "max_fds": 4100, "link_mbps": 1000.0},
		"bounds": map[string]any{"hold_max_ms": holdMax.Milliseconds(), "stop_timeout_ms": stopTimeout.Milliseconds(), "restore_ms": restoreTime.Milliseconds(),
			"checkpoint_s": checkpointTime.Seconds(), "early_ms": 250, "grace_s": 6},
		"platform": map[string]any{"address": store, "row_bytes": 65536},
	}
	if err := os.WriteFile(e.settings, []byte(render(template, fields)), 0o644); err != nil {
		fail("%v", err)
	}
	return e
}

func (e *entry) start() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cmd != nil {
		return
	}
	out, err := os.OpenFile(e.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		fail("%v", err)
	}
	cmd := exec.Command(command[0], command[1:]...)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "PLANTAINFOLD_BOOT=" + e.settings}
	cmd.Stdout, cmd.Stderr = out, out
	// The process also ends if this one is killed.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		fail("start %s: %v", command[0], err)
	}
	done := make(chan struct{})
	e.cmd, e.done = cmd, done
	go func() {
		_ = cmd.Wait()
		out.Close()
		e.mu.Lock()
		if e.cmd == cmd {
			e.cmd = nil
		}
		e.mu.Unlock()
		close(done)
	}()
}

func (e *entry) signal(s syscall.Signal) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cmd != nil {
		_ = e.cmd.Process.Signal(s)
	}
}

func (e *entry) kill() {
	e.mu.Lock()
	cmd, done := e.cmd, e.done
	e.mu.Unlock()
	if cmd != nil {
		_ = cmd.Process.Kill()
		<-done
	}
}

func (e *entry) running() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cmd != nil
}

func stopAll() {
	for _, e := range entries {
		e.kill()
	}
}

// awaitReady waits until all entries answer their probe with 200.
func awaitReady(limit time.Duration) {
	until := time.Now().Add(limit)
	for _, e := range entries {
		for !e.isReady() {
			if time.Now().After(until) {
				fail("entry %s is not ready after %v", e.name, limit)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// followOwner returns a function that returns the entry that last wrote the owner's row.
func (w *world) followOwner() func() *entry {
	var mu sync.Mutex
	last := ""
	w.store.onCommit = func(caller string, keys []string) {
		for _, k := range keys {
			if k == "lead/owner" {
				mu.Lock()
				last = caller
				mu.Unlock()
			}
		}
	}
	return func() *entry {
		mu.Lock()
		defer mu.Unlock()
		for _, e := range entries {
			if e.name == last {
				return e
			}
		}
		fail("no entry owns the pool")
		return nil
	}
}
