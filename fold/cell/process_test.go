package cell_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"plantainfold.example/fold"
	"plantainfold.example/fold/entry"
	"plantainfold.example/fold/keys"
	"plantainfold.example/fold/remote"
)

const (
	testCellKey = "cell-key-of-the-tests"
	testRootKey = "root-key-of-the-tests"
	entryCount  = 4
)

// processes is a cell of separate processes on loopback.
type processes struct {
	t       *testing.T
	dir     string
	fleet   string
	workers string
	entries []*process
}

// process is a process that the test started.
type process struct {
	name    string
	args    []string
	address string
	// instance is the record of an entry in the platform's instance list.
	instance fold.Instance
	cmd      *exec.Cmd
	exited   chan struct{}
}

// startProcesses builds the programs and starts a platform, 12 workers and the entries.
func startProcesses(t *testing.T) *processes {
	t.Helper()
	p := &processes{t: t, dir: t.TempDir()}
	build := exec.CommandContext(t.Context(), "go", "build", "-o", p.dir, "./cmd/pfentry", "./cmd/pfplat", "./cmd/pfwork")
	build.Dir = filepath.Join("..", "..")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	addresses := freeAddresses(t, 2+entryCount)
	p.fleet, p.workers = "http://"+addresses[0], "http://"+addresses[1]
	p.start(&process{name: "pfplat", args: []string{"--listen", addresses[0]}})
	p.waitUntilServed(p.fleet + "/v1/stats")
	p.start(&process{name: "pfwork", args: []string{
		"--listen", addresses[1], "--platform", p.fleet,
		"--domains", "3", "--racks", "2", "--workers", "2", "--cpu", "8000", "--memory", "16384",
	}})
	p.waitUntilServed(p.workers + "/v1/runs")
	for n, address := range addresses[2:] {
		p.entries = append(p.entries, p.newEntry(fmt.Sprintf("entry-%d", n), fmt.Sprintf("lima-%c", 'a'+n%3), address))
		p.start(p.entries[n])
	}
	return p
}

// freeAddresses returns addresses that were free when the function checked them.
func freeAddresses(t *testing.T, n int) []string {
	t.Helper()
	var addresses []string
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = l.Close() }()
		addresses = append(addresses, l.Addr().String())
	}
	return addresses
}

// newEntry writes the settings of an entry and adds its instance to the platform's list.
func (p *processes) newEntry(name, domain, address string) *process {
	p.t.Helper()
	text, err := json.Marshal(entry.Settings{
		Name: name, Region: "lima", Domain: domain, Listen: address,
		Table: p.fleet, Objects: p.fleet, InstanceList: p.fleet, Cellkey: testCellKey, Rootkey: testRootKey, Level: "info",
	}.WithDefaults())
	if err != nil {
		p.t.Fatal(err)
	}
	path := filepath.Join(p.dir, name+".json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		p.t.Fatal(err)
	}
	in := fold.Instance{Name: name, Role: fold.RoleEntry, Address: address, Region: "lima", Domain: domain, State: fold.Live}
	p.send(http.MethodPut, p.fleet+"/v1/instances/"+name, in)
	return &process{name: name, args: []string{"serve", "--settings", path}, address: "http://" + address, instance: in}
}

// start runs a program. The end of its log is printed if the test fails.
func (p *processes) start(one *process) {
	p.t.Helper()
	program := one.name
	if one.address != "" {
		program = "pfentry"
	}
	log, err := os.OpenFile(filepath.Join(p.dir, one.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		p.t.Fatal(err)
	}
	cmd := exec.Command(filepath.Join(p.dir, program), one.args...)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		p.t.Fatal(err)
	}
	exited := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		_ = log.Close()
		close(exited)
	}()
	one.cmd, one.exited = cmd, exited
	p.t.Cleanup(func() {
		_ = cmd.Process.Kill()
		<-exited
		if p.t.Failed() {
			p.showLog(one.name)
		}
	})
}

func (p *processes) showLog(name string) {
	text, _ := os.ReadFile(filepath.Join(p.dir, name+".log"))
	p.t.Logf("end of the log of %s:\n%s", name, text[max(0, len(text)-4000):])
}

// kill kills an entry, waits for its exit and removes it from the platform's instance list.
func (p *processes) kill(one *process) {
	p.t.Helper()
	_ = one.cmd.Process.Kill()
	<-one.exited
	p.send(http.MethodDelete, p.fleet+"/v1/instances/"+one.name, nil)
}

// restart starts an entry again under the same name.
func (p *processes) restart(one *process) {
	p.t.Helper()
	p.send(http.MethodPut, p.fleet+"/v1/instances/"+one.name, one.instance)
	p.start(one)
}

// stop ends a process gracefully and waits for it.
func (one *process) stop() {
	_ = one.cmd.Process.Signal(syscall.SIGTERM)
	<-one.exited
}

func (one *process) pause()  { _ = one.cmd.Process.Signal(syscall.SIGSTOP) }
func (one *process) resume() { _ = one.cmd.Process.Signal(syscall.SIGCONT) }

// waitUntilServed waits until a server answers at the URL.
func (p *processes) waitUntilServed(url string) {
	p.t.Helper()
	eventually(p.t, func(ctx context.Context) error {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
		if err != nil {
			return err
		}
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			return err
		}
		return resp.Body.Close()
	})
}

// send sends a request with a JSON body and fails the test unless the status is 200.
func (p *processes) send(method, url string, body any) {
	p.t.Helper()
	text, err := json.Marshal(body)
	if err != nil {
		p.t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(text))
	if err != nil {
		p.t.Fatal(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		p.t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(resp.Body)
		p.t.Fatalf("%s %s: %d %s", method, url, resp.StatusCode, text)
	}
}

// read decodes JSON from a URL.
func (p *processes) read(url string, out any) {
	p.t.Helper()
	resp, err := http.Get(url)
	if err != nil {
		p.t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if err := json.NewDecoder(resp.Body).Decode(out); err != nil {
		p.t.Fatalf("%s: %v", url, err)
	}
}

// tableFault sets a fault of a platform service.
func (p *processes) tableFault(fault any) {
	p.t.Helper()
	p.send(http.MethodPost, p.fleet+"/v1/faults", fault)
}

// workerFault replaces the faults of workers.
func (p *processes) workerFault(fault any) {
	p.t.Helper()
	p.send(http.MethodPost, p.workers+"/v1/faults", fault)
}

// settled waits until every entry has standing and all workers are adopted by the owners of their pools.
func (p *processes) settled() {
	p.t.Helper()
	eventually(p.t, func(ctx context.Context) error {
		adopted := 0
		for _, one := range p.entries {
			s, err := remote.New(one.address, "").Status(ctx)
			if err != nil {
				return err
			}
			if !s.Standing {
				return fmt.Errorf("%s has no standing", one.name)
			}
			for _, pool := range s.Pools {
				adopted += pool.Adopted
			}
		}
		if adopted != 12 {
			return fmt.Errorf("%d of 12 workers are adopted", adopted)
		}
		return nil
	})
}

func testRoot() string { return keys.Format(keys.RootID, testRootKey) }

// poolsOf returns how many pools an entry owns.
func (p *processes) poolsOf(one *process) int {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	s, err := remote.New(one.address, "").Status(ctx)
	if err != nil {
		return -1
	}
	return len(s.Pools)
}

// pools returns the status of all pools, as their owners report it.
func (p *processes) pools() []fold.PoolStatus {
	var all []fold.PoolStatus
	for _, one := range p.entries {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		if s, err := remote.New(one.address, "").Status(ctx); err == nil {
			all = append(all, s.Pools...)
		}
		cancel()
	}
	return all
}
