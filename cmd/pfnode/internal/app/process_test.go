package app_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"plantainfold.example/fold"
	"plantainfold.example/fold/drive"
	"plantainfold.example/fold/node"
	"plantainfold.example/fold/plat"
	"plantainfold.example/platform/stand"
)

const (
	// memoryMiB is the setting "memory" of the tested entries and the bound of their memory, in MiB.
	memoryMiB = 96
	// maxFds is the setting "fds" of the tested entries and the bound of their open descriptors.
	maxFds = 600
	// legalBody is the largest body that the configuration of the tests allows, in bytes.
	legalBody = 262144
	// hangTime bounds each wait, so that a test whose entry hangs ends.
	hangTime = time.Minute
	// callerWait is how long callers wait for an answer.
	callerWait = 3 * time.Second
	// sampleInterval is the time between two samples of the memory and the descriptors of an entry.
	sampleInterval = 20 * time.Millisecond
	// apiKey is the key of the only team, and jobPath the prefix of the only queue.
	apiKey, jobPath = "key", "/p/"
)

// buildEntry builds the entry daemon without the race detector, which would multiply its memory, and returns its path.
func buildEntry(t *testing.T) string {
	t.Helper()
	program := filepath.Join(t.TempDir(), "pfnode")
	if out, err := exec.CommandContext(t.Context(), "go", "build", "-o", program, "plantainfold.example/pfnode").CombinedOutput(); err != nil {
		t.Fatalf("build the entry daemon: %v\n%s", err, out)
	}
	return program
}

// entry is a pfnode process with a stand-in for the store.
type entry struct {
	settings node.Settings
	table    *plat.Table
	process  *exec.Cmd
	// exited is closed when the process has exited.
	exited chan struct{}

	// mu guards the fields below.
	mu sync.Mutex
	// peakMemory is the highest value, in bytes, of the peak of the resident memory, as the kernel records it, and of the sum of
	// the resident memory and of the bytes that the kernel holds for the connections of callers.
	peakMemory int
	// queued is the last known number of bytes that the kernel holds for the connections of callers.
	queued int
	// peakFds is the highest number of open descriptors.
	peakFds int
}

// slowStates is a change feed that delays the reads of the states of jobs, so that the requests for them wait.
type slowStates struct {
	*plat.Table
	delay time.Duration
}

// Snapshot reads a table.
func (s slowStates) Snapshot(ctx context.Context, prefix string) ([]fold.Row, int64, error) {
	if prefix == drive.StatePrefix {
		time.Sleep(s.delay)
	}
	return s.Table.Snapshot(ctx, prefix)
}

// startEntry starts an entry whose store delays the reads of states, and waits until it accepts jobs. The entry is ended as
// soon as it exceeds its memory, as a machine without free memory would do.
func startEntry(t *testing.T, program string, readDelay time.Duration) *entry {
	t.Helper()
	e := &entry{table: plat.NewTable(), exited: make(chan struct{})}
	declaration, err := stand.Rules(fold.Rules{
		Revision: 1, MaxBody: legalBody,
		Queues: []fold.Queue{{Name: "q", Host: "h", Prefix: jobPath, Service: "pool", Attempts: 2, SlackFactor: 2, Target: time.Second}},
		Teams:  []fold.TeamRule{{Name: "t", Keys: []string{apiKey}, Weight: 1}},
	})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := e.table.Commit(t.Context(), fold.Txn{Puts: []fold.Put{declaration}}); err != nil {
		t.Fatal(err)
	}
	store := httptest.NewServer(stand.Store(e.table, slowStates{Table: e.table, delay: readDelay}))
	// Listeners on a loopback address of this process alone reserve the ports of the entry.
	loopback := fmt.Sprintf("127.%d.%d.3:0", 1+os.Getpid()>>8%250, os.Getpid()%256)
	var addresses []string
	var reserved []net.Listener
	for range 3 {
		l, err := net.Listen("tcp", loopback)
		if err != nil {
			t.Fatal(err)
		}
		reserved, addresses = append(reserved, l), append(addresses, l.Addr().String())
	}
	for _, l := range reserved {
		_ = l.Close()
	}
	e.settings = node.Settings{
		Name: "entry", Domain: "north", Callers: addresses[0], Ready: addresses[1], Peers: addresses[2], Store: strings.TrimPrefix(store.URL, "http://"),
		Level: "info", Lease: 6000, Stop: 900, Restore: 100, Save: 2000, Early: 250, Grace: 6000, Cores: 0.5, Link: 100, Memory: memoryMiB, Fds: maxFds,
	}
	text, err := json.Marshal(e.settings)
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "entry.json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		t.Fatal(err)
	}
	e.process = exec.CommandContext(context.Background(), program, "serve", "--settings", path)
	var stderr bytes.Buffer
	e.process.Stderr = &stderr
	if err := e.process.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		defer close(e.exited)
		// The exit status is read from ProcessState.
		_ = e.process.Wait()
	}()
	// The bytes in the kernel are read on their own, because that takes long when there are many connections.
	var sampling sync.WaitGroup
	for _, sample := range []func(){e.sample, e.sampleQueued} {
		sampling.Go(func() {
			for ; e.alive(); time.Sleep(sampleInterval) {
				sample()
			}
		})
	}
	t.Cleanup(func() {
		_ = e.process.Process.Kill()
		<-e.exited
		sampling.Wait()
		store.CloseClientConnections()
		store.Close()
		t.Logf("peak of %.1f MiB and %d descriptors", float64(e.peakMemory)/(1<<20), e.peakFds)
		if e.peakMemory > memoryMiB<<20 {
			t.Errorf("the entry needed %.1f MiB of memory and was ended; the limit is %d", float64(e.peakMemory)/(1<<20), memoryMiB)
		}
		if e.peakFds > maxFds {
			t.Errorf("the entry had %d open descriptors; the limit is %d", e.peakFds, maxFds)
		}
		if stderr.Len() > 0 {
			t.Logf("end of its standard error:\n%s", stderr.Bytes()[max(0, stderr.Len()-2000):])
		}
	})
	e.expectService(t)
	return e
}

func (e *entry) alive() bool {
	select {
	case <-e.exited:
		return false
	default:
		return true
	}
}

// sample updates the peaks and ends an entry that has exceeded its memory. Values that cannot be read because the process has
// just exited count as 0.
func (e *entry) sample() {
	dir := fmt.Sprintf("/proc/%d/", e.process.Process.Pid)
	status, _ := os.ReadFile(dir + "status")
	values := make(map[string]int)
	for line := range strings.Lines(string(status)) {
		if fields := strings.Fields(line); len(fields) == 3 {
			kib, _ := strconv.Atoi(fields[1])
			values[fields[0]] = kib << 10
		}
	}
	fds, _ := os.ReadDir(dir + "fd")
	e.mu.Lock()
	defer e.mu.Unlock()
	e.peakFds = max(e.peakFds, len(fds))
	if e.peakMemory = max(e.peakMemory, values["VmHWM:"], values["VmRSS:"]+e.queued); e.peakMemory > memoryMiB<<20 {
		_ = e.process.Process.Kill()
	}
}

// sampleQueued reads the bytes that the kernel holds and updates the peaks.
func (e *entry) sampleQueued() {
	queued := queuedBytes(e.settings.Callers)
	e.mu.Lock()
	e.queued = queued
	e.mu.Unlock()
	e.sample()
}

// queuedBytes returns the bytes that the kernel has queued at the connections to the address, in both directions.
func queuedBytes(address string) int {
	a := netip.MustParseAddrPort(address)
	ip := a.Addr().As4()
	local := fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], a.Port())
	text, _ := os.ReadFile("/proc/net/tcp")
	total := 0
	for line := range strings.Lines(string(text)) {
		// For a listener (state 0A) the queue counts connections.
		fields := strings.Fields(line)
		if len(fields) < 5 || fields[1] != local || fields[3] == "0A" {
			continue
		}
		sent, received, _ := strings.Cut(fields[4], ":")
		for _, queue := range []string{sent, received} {
			n, _ := strconv.ParseInt(queue, 16, 64)
			total += int(n)
		}
	}
	return total
}

// expectService submits an ordinary job until it is accepted, and fails the test when the entry has exited or hangs.
func (e *entry) expectService(t *testing.T) {
	t.Helper()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 4 * time.Second}
	for end := time.Now().Add(hangTime); e.alive() && time.Now().Before(end); time.Sleep(sampleInterval) {
		req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+e.settings.Callers+jobPath+"00000000000000aa", strings.NewReader(`{"spec":"s","steps":[{"count":1}]}`))
		if err != nil {
			t.Fatal(err)
		}
		req.Host = "h"
		stand.SetCaller(req.Header, apiKey, callerWait)
		resp, err := client.Do(req)
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			e.sample()
			return
		}
		if resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get("Retry-After") == "" {
			t.Error("a refusal has no Retry-After")
		}
	}
	if !e.alive() {
		t.Fatalf("the entry has exited: %s", e.process.ProcessState)
	}
	t.Fatalf("no ordinary request was answered with 200 within %s", hangTime)
}

// flood opens count connections at the same time, lets send write to each, and returns when all have written what the entry
// takes. The connections stay open until the test ends.
func (e *entry) flood(t *testing.T, count int, send func(c net.Conn, i int) error) []net.Conn {
	t.Helper()
	connections := make([]net.Conn, count)
	var group sync.WaitGroup
	for i := range count {
		group.Go(func() {
			// The entry may refuse or close a connection at any time, so errors are expected.
			c, err := net.DialTimeout("tcp", e.settings.Callers, hangTime)
			if err != nil {
				return
			}
			connections[i] = c
			if tcp, ok := c.(*net.TCPConn); ok {
				// The machine of the test must not hold megabytes for each client either.
				_ = tcp.SetWriteBuffer(64 << 10)
			}
			// An entry that does not read stops the writer.
			if err := c.SetWriteDeadline(time.Now().Add(callerWait)); err == nil {
				_ = send(c, i)
			}
		})
	}
	group.Wait()
	e.sampleQueued()
	t.Cleanup(func() {
		for _, c := range connections {
			if c != nil {
				_ = c.Close()
			}
		}
	})
	return connections
}

// readReply reads the answer on a connection and returns its status and whether it has a time to retry. The status is 0 if the
// entry closes the connection without a complete answer.
func readReply(c net.Conn) (status int, retry bool) {
	if c == nil || c.SetReadDeadline(time.Now().Add(hangTime)) != nil {
		return 0, false
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, false
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0, false
	}
	return resp.StatusCode, resp.Header.Get("Retry-After") != ""
}
