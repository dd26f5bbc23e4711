package app

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"plantainfold.example/fold/node"
)

// graceTime is how long a stopping entry may take.
const graceTime = 6 * time.Second

// entry is an entry that runs as a process of its own.
type entry struct {
	program, dir string
	settings     node.Settings
	// store and adviser stand between the entry and the platform, callers between callers and the entry.
	store, adviser, callers *proxy

	mu      sync.Mutex
	process *exec.Cmd
	exited  chan struct{}
	// leaving says that the process was told to stop, since when.
	leaving time.Time
	paused  bool
}

// reserve returns listeners at free addresses on loopback; they are closed once everything else listens, so that nothing
// is given an address of the entry: a proxy with itself as its target would connect without end.
func reserve(ctx context.Context, n int) ([]net.Listener, error) {
	var reserved []net.Listener
	for range n {
		l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
		if err != nil {
			return reserved, err
		}
		reserved = append(reserved, l)
	}
	return reserved, nil
}

func newEntry(ctx context.Context, program, dir, name, store, adviser string) (*entry, error) {
	e := &entry{program: program, dir: dir}
	var err error
	if e.store, err = newProxy(ctx, store); err != nil {
		return nil, err
	}
	if e.adviser, err = newProxy(ctx, adviser); err != nil {
		return nil, err
	}
	reserved, err := reserve(ctx, 3)
	defer func() {
		for _, l := range reserved {
			// An address that stays taken shows when the entry starts.
			_ = l.Close()
		}
	}()
	if err != nil {
		return nil, err
	}
	addresses := make([]string, len(reserved))
	for i, l := range reserved {
		addresses[i] = l.Addr().String()
	}
	e.settings = node.Settings{
		Name: name, Domain: "soak", Callers: addresses[0], Ready: addresses[1], Peers: addresses[2],
		Store: e.store.address(), Adviser: e.adviser.address(), Level: "info",
		Lease: 6000, Stop: 900, Restore: 100, Save: 2000, Early: 250, Grace: float64(graceTime.Milliseconds()), Cores: 1, Memory: 256,
	}
	e.callers, err = newProxy(ctx, e.settings.Callers)
	return e, err
}

// start runs the program; its log goes to a file named after the entry.
func (e *entry) start() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.process != nil {
		return nil
	}
	text, err := json.Marshal(e.settings)
	if err != nil {
		return err
	}
	path := filepath.Join(e.dir, e.settings.Name+".json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(e.dir, e.settings.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	process := exec.CommandContext(context.Background(), e.program, "serve", "--settings", path)
	process.Stdout, process.Stderr = log, log
	if err := process.Start(); err != nil {
		_ = log.Close()
		return err
	}
	exited := make(chan struct{})
	e.process, e.exited, e.leaving, e.paused = process, exited, time.Time{}, false
	go func() {
		// How a killed process ends is no news.
		_ = process.Wait()
		_ = log.Close()
		e.mu.Lock()
		e.process = nil
		e.mu.Unlock()
		close(exited)
	}()
	return nil
}

// signal sends a signal to the process, if it runs.
func (e *entry) signal(s syscall.Signal) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.process == nil {
		return
	}
	switch s {
	case syscall.SIGTERM:
		e.leaving = time.Now()
	case syscall.SIGSTOP:
		e.paused = true
	case syscall.SIGCONT:
		e.paused = false
	default:
	}
	// The process may have ended a moment ago.
	_ = e.process.Process.Signal(s)
}

// stopping reports whether the process was told to stop and not killed.
func (e *entry) stopping() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.leaving.IsZero()
}

// end returns a channel that is closed when the present process has ended.
func (e *entry) end() <-chan struct{} {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.process == nil {
		ended := make(chan struct{})
		close(ended)
		return ended
	}
	return e.exited
}

// waitFor waits for the end of a process and reports whether it came in time.
func waitFor(end <-chan struct{}, limit time.Duration) bool {
	select {
	case <-end:
		return true
	case <-time.After(limit):
		return false
	}
}

// Close ends the process and the proxies, and waits for them.
func (e *entry) Close() error {
	end := e.end()
	e.signal(syscall.SIGCONT)
	e.signal(syscall.SIGKILL)
	if !waitFor(end, graceTime) {
		return fmt.Errorf("entry %s did not end after SIGKILL", e.settings.Name)
	}
	for _, p := range []*proxy{e.callers, e.adviser, e.store} {
		if err := p.Close(); err != nil {
			return err
		}
	}
	return nil
}
