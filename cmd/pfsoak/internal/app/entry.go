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

	"plantainfold.example/fold/model"
	"plantainfold.example/fold/node"
)

// graceTime is how long an entry may take to exit after SIGTERM.
const graceTime = 6 * time.Second

// entry is an entry that runs as a separate process.
type entry struct {
	// program is the path of the entry daemon, and dir is the folder for its settings and its log.
	program, dir string
	settings     node.Settings
	// storeProxy and adviserProxy forward connections from the entry to the platform, and callerProxy forwards connections
	// from callers to the entry.
	storeProxy, adviserProxy, callerProxy *proxy
	adviser                               *model.EntryAdviser

	mu sync.Mutex
	// process is the current process; it is nil if none is running.
	process *exec.Cmd
	// exited is closed when the latest process has exited.
	exited chan struct{}
	// stopSent is when SIGTERM was sent to the latest process; it is zero if that has not happened.
	stopSent time.Time
	paused   bool
	// reserved holds the addresses of the entry until its first process starts.
	reserved []net.Listener
}

// loopback is a loopback address of this process alone. Test runs that are played at the same time, and connections from
// 127.0.0.1, then take no ports from each other.
var loopback = fmt.Sprintf("127.%d.%d.1", 1+os.Getpid()>>8%250, os.Getpid()%256)

// listen listens on a free port of the loopback address of this process.
func listen(ctx context.Context) (net.Listener, error) {
	return (&net.ListenConfig{}).Listen(ctx, "tcp", net.JoinHostPort(loopback, "0"))
}

func newEntry(ctx context.Context, program, dir, name, domain, store, adviser string) (*entry, error) {
	e := &entry{program: program, dir: dir}
	var err error
	if e.storeProxy, err = newProxy(ctx, store); err != nil {
		return nil, err
	}
	if e.adviserProxy, err = newProxy(ctx, adviser); err != nil {
		return nil, err
	}
	var addresses []string
	for range 3 {
		l, err := listen(ctx)
		if err != nil {
			return nil, err
		}
		e.reserved, addresses = append(e.reserved, l), append(addresses, l.Addr().String())
	}
	e.settings = node.Settings{
		Name: name, Domain: domain, Callers: addresses[0], Ready: addresses[1], Peers: addresses[2],
		Store: e.storeProxy.address(), Adviser: e.adviserProxy.address(), Level: "info",
		Lease: 6000, Stop: 900, Restore: 100, Save: 2000, Early: 250, Grace: float64(graceTime.Milliseconds()), Cores: 1, Memory: 256,
	}
	e.callerProxy, err = newProxy(ctx, e.settings.Callers)
	return e, err
}

// start starts the process unless one is running. Its log goes to a file named after the entry.
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
	for _, l := range e.reserved {
		// If an address stays in use, the process cannot listen and exits.
		_ = l.Close()
	}
	e.reserved = nil
	process := exec.CommandContext(context.Background(), e.program, "serve", "--settings", path)
	process.Stdout, process.Stderr = log, log
	if err := process.Start(); err != nil {
		_ = log.Close()
		return err
	}
	exited := make(chan struct{})
	e.process, e.exited, e.stopSent, e.paused = process, exited, time.Time{}, false
	go func() {
		// The exit status does not matter, because faults kill processes.
		_ = process.Wait()
		_ = log.Close()
		e.mu.Lock()
		e.process = nil
		e.mu.Unlock()
		close(exited)
	}()
	return nil
}

// signal sends a signal to the current process, if any.
func (e *entry) signal(s syscall.Signal) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.process == nil {
		return
	}
	switch s {
	case syscall.SIGTERM:
		e.stopSent = time.Now()
	case syscall.SIGSTOP:
		e.paused = true
	case syscall.SIGCONT:
		e.paused = false
	default:
	}
	// The signal fails if the process has just exited.
	_ = e.process.Process.Signal(s)
}

// isPaused reports whether the current process is paused.
func (e *entry) isPaused() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.paused
}

// stopping reports whether SIGTERM was sent to the latest process.
func (e *entry) stopping() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.stopSent.IsZero()
}

// done returns a channel that is closed when the current process has exited. If no process is running, the channel is
// already closed.
func (e *entry) done() <-chan struct{} {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.process == nil {
		closed := make(chan struct{})
		close(closed)
		return closed
	}
	return e.exited
}

// waitForExit waits until a process has exited and reports whether it did so before the timeout.
func waitForExit(exited <-chan struct{}, timeout time.Duration) bool {
	select {
	case <-exited:
		return true
	case <-time.After(timeout):
		return false
	}
}

// Close kills the process, closes the proxies and waits for both.
func (e *entry) Close() error {
	exited := e.done()
	e.signal(syscall.SIGCONT)
	e.signal(syscall.SIGKILL)
	if !waitForExit(exited, graceTime) {
		return fmt.Errorf("entry %s did not exit after SIGKILL", e.settings.Name)
	}
	for _, l := range e.reserved {
		if err := l.Close(); err != nil {
			return err
		}
	}
	for _, p := range []*proxy{e.callerProxy, e.adviserProxy, e.storeProxy} {
		if err := p.Close(); err != nil {
			return err
		}
	}
	return nil
}
