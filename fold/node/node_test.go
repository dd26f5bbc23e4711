package node_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/joomcode/errorx"

	"plantainfold.example/fold"
	"plantainfold.example/fold/flow"
	"plantainfold.example/fold/front"
	"plantainfold.example/fold/node"
	"plantainfold.example/fold/plat"
)

// rules is a configuration that a test changes.
type rules struct {
	mu      sync.Mutex
	now     fold.Rules
	table   *plat.Table
	version int64
}

const rulesKey = "op/config"

func (r *rules) set(t *testing.T, now fold.Rules) {
	t.Helper()
	r.mu.Lock()
	defer r.mu.Unlock()
	version, err := r.table.Commit(t.Context(), fold.Txn{Puts: []fold.Put{{Key: rulesKey}}})
	if err != nil {
		t.Fatal(err)
	}
	r.now, r.version = now, version
}

func (r *rules) Read(context.Context) (fold.Rules, int64, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.now, r.version, nil
}

func (r *rules) Next(ctx context.Context, after int64, wait time.Duration) (fold.Rules, int64, bool, error) {
	if _, _, err := r.table.Changes(ctx, "op/", after, wait); err != nil {
		return fold.Rules{}, 0, false, err
	}
	now, version, _ := r.Read(ctx)
	return now, version, version > after, nil
}

func (r *rules) Check(version int64) fold.Check {
	return fold.Check{Key: rulesKey, Version: version}
}

// hosts is a stand-in for hosts: each task takes a moment. It records what was started.
type hosts struct {
	mu    sync.Mutex
	born  time.Time
	fence map[string]int64
	runs  map[string]map[string]fold.HostRun
	ends  map[string][]fold.HostEnd
	count map[string]int64
	// starts counts the runs of each task.
	starts map[string]int
	wake   chan struct{}
}

func newHosts() *hosts {
	return &hosts{
		born: time.Now(), fence: make(map[string]int64), runs: make(map[string]map[string]fold.HostRun),
		ends: make(map[string][]fold.HostEnd), count: make(map[string]int64), starts: make(map[string]int), wake: make(chan struct{}),
	}
}

const taskTime = 150 * time.Millisecond

func (h *hosts) Hosts(context.Context) ([]fold.Host, error) {
	var list []fold.Host
	for i := range 3 {
		name := fmt.Sprintf("host-%d", i)
		list = append(list, fold.Host{ID: name, Address: name, Born: 1, Service: "pool", Capacity: fold.Resources{CPU: 4000, Memory: 4000}})
	}
	return list, nil
}

func (h *hosts) check(id string, fence int64) error {
	if fence < h.fence[id] {
		return fold.HostFenced.New("fence")
	}
	h.fence[id] = fence
	return nil
}

func (h *hosts) Hold(ctx context.Context, host fold.Host, q fold.HoldRequest) (fold.HoldReply, error) {
	limit := time.After(q.Wait)
	for {
		h.mu.Lock()
		if err := h.check(host.ID, q.Fence); err != nil {
			h.mu.Unlock()
			return fold.HoldReply{}, err
		}
		for len(h.ends[host.ID]) > 0 && h.ends[host.ID][0].Number <= q.Acked {
			h.ends[host.ID] = h.ends[host.ID][1:]
		}
		reply := fold.HoldReply{Clock: time.Since(h.born).Milliseconds(), Born: 1, Ends: append([]fold.HostEnd(nil), h.ends[host.ID]...)}
		for _, r := range h.runs[host.ID] {
			reply.Runs = append(reply.Runs, r)
		}
		wake := h.wake
		h.mu.Unlock()
		if len(reply.Ends) > 0 || q.Wait == 0 {
			return reply, nil
		}
		select {
		case <-ctx.Done():
			return fold.HoldReply{}, ctx.Err()
		case <-limit:
			return reply, nil
		case <-wake:
		}
	}
}

func (h *hosts) Start(_ context.Context, host fold.Host, q fold.StartRequest) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if err := h.check(host.ID, q.Fence); err != nil {
		return err
	}
	if _, ok := h.runs[host.ID][q.Task]; ok {
		return nil
	}
	if h.runs[host.ID] == nil {
		h.runs[host.ID] = make(map[string]fold.HostRun)
	}
	h.runs[host.ID][q.Task] = fold.HostRun{Task: q.Task, Run: q.Run}
	h.starts[q.Task]++
	time.AfterFunc(taskTime, func() { h.end(host.ID, q.Task, q.Run, fold.EndDone) })
	return nil
}

func (h *hosts) end(id, task string, run int, how fold.End) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if _, ok := h.runs[id][task]; !ok {
		return
	}
	delete(h.runs[id], task)
	h.count[id]++
	h.ends[id] = append(h.ends[id], fold.HostEnd{Number: h.count[id], Task: task, Run: run, How: how})
	close(h.wake)
	h.wake = make(chan struct{})
}

func (h *hosts) Stop(_ context.Context, host fold.Host, task string, run int, fence int64) error {
	h.mu.Lock()
	err := h.check(host.ID, fence)
	h.mu.Unlock()
	if err == nil {
		h.end(host.ID, task, run, fold.EndStopped)
	}
	return err
}

func (h *hosts) Pace(context.Context, fold.Host, string, int, int, int64) error { return nil }

func (h *hosts) Advise(_ context.Context, _ string, ids []string) (fold.Advice, error) {
	advice := fold.Advice{Valid: 2 * time.Second}
	for _, id := range ids {
		advice.Grants = append(advice.Grants, fold.Grant{Host: id, Ticket: "t"})
	}
	return advice, nil
}

// gate is a table that can be away: calls then wait for their end.
type gate struct {
	*plat.Table
	mu   sync.Mutex
	away bool
}

func (g *gate) set(away bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.away = away
}

func (g *gate) pass(ctx context.Context) error {
	g.mu.Lock()
	away := g.away
	g.mu.Unlock()
	if !away {
		return nil
	}
	<-ctx.Done()
	return fold.Unknown.Wrap(ctx.Err(), "the table is away")
}

func (g *gate) Get(ctx context.Context, key string) (fold.Row, error) {
	if err := g.pass(ctx); err != nil {
		return fold.Row{}, err
	}
	return g.Table.Get(ctx, key)
}

func (g *gate) Commit(ctx context.Context, t fold.Txn) (int64, error) {
	if err := g.pass(ctx); err != nil {
		return 0, err
	}
	return g.Table.Commit(ctx, t)
}

// cell is a few entries over one table.
type cell struct {
	t      *testing.T
	table  *gate
	rules  *rules
	hosts  *hosts
	fronts []*front.Front
	stops  []func()
}

func address(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

var theRules = fold.Rules{
	Revision: 1,
	Queues: []fold.Queue{{
		Name: "planning", Host: "h", Prefix: "/p/", Service: "pool", Attempts: 2, Slack: 2, Target: time.Second,
		Advice: &fold.AdvicePolicy{Decide: time.Millisecond, Valid: 2 * time.Second},
	}},
	Teams: []fold.TeamRule{{Name: "crews", Keys: []string{"key"}}},
}

func newCell(t *testing.T, entries int) *cell {
	t.Helper()
	table := plat.NewTable()
	c := &cell{t: t, table: &gate{Table: table}, rules: &rules{table: table}, hosts: newHosts()}
	c.rules.set(t, theRules)
	for i := range entries {
		c.add(fmt.Sprintf("entry-%d", i))
	}
	t.Cleanup(func() {
		for _, stop := range c.stops {
			stop()
		}
	})
	return c
}

func (c *cell) add(name string) {
	made := make(chan *front.Front, 1)
	n, err := node.New(node.Settings{
		Name: name, Callers: address(c.t), Ready: address(c.t), Peers: address(c.t), Store: "unused", Lease: 6000, Stop: 900, Grace: 4000, Cores: 1,
	}, node.Parts{
		Table: c.table, Log: c.table, Rules: c.rules, Roster: c.hosts, Runner: c.hosts, Adviser: c.hosts,
		Callers: func(f *front.Front, _ hclog.Logger, _ func(string, int, time.Duration)) http.Handler {
			made <- f
			return http.NotFoundHandler()
		},
	}, fold.BootClock{}, hclog.NewNullLogger())
	if err != nil {
		c.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- n.Run(ctx) }()
	c.fronts = append(c.fronts, <-made)
	c.stops = append(c.stops, sync.OnceFunc(func() {
		cancel()
		if err := <-done; err != nil {
			c.t.Error(err)
		}
	}))
}

func (c *cell) caller(path string) front.Caller {
	return front.Caller{Key: "key", Host: "h", Path: path, Budget: 5 * time.Second}
}

// eventually waits for a condition.
func (c *cell) eventually(what string, fn func() bool) {
	c.t.Helper()
	for end := time.Now().Add(time.Minute); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if fn() {
			return
		}
	}
	c.t.Fatalf("%s: not reached within a minute", what)
}

func (c *cell) submit(f *front.Front, n int) string {
	c.t.Helper()
	id := fmt.Sprintf("%016x", n)
	job := flow.Job{Spec: "s", Steps: []flow.Step{{Count: 3, Size: fold.Resources{CPU: 100}, Estimate: 100}, {Count: 2, Size: fold.Resources{CPU: 100}, After: []int{0}}}}
	c.eventually("accepted", func() bool { return f.Submit(c.t.Context(), c.caller("/p/"+id), job) == nil })
	return id
}

// Guards against a job that is lost, run twice or never ends while entries are replaced one after the other, the owner
// of the pool among them.
func TestEntriesAreReplaced(t *testing.T) {
	c := newCell(t, 3)
	var ids []string
	for i := range 3 {
		for k := range 4 {
			ids = append(ids, c.submit(c.fronts[len(c.fronts)-1], 10*i+k))
		}
		c.add(fmt.Sprintf("entry-%d", 3+i))
		c.stops[i]()
	}
	last := c.fronts[len(c.fronts)-1]
	for _, id := range ids {
		c.eventually("completed", func() bool {
			state, _, err := last.Read(t.Context(), c.caller("/p/"+id))
			return err == nil && state == flow.Completed
		})
	}
	c.hosts.mu.Lock()
	defer c.hosts.mu.Unlock()
	for task, n := range c.hosts.starts {
		if n != 1 {
			t.Errorf("%s was started %d times", task, n)
		}
	}
	if want := len(ids) * 5; len(c.hosts.starts) != want {
		t.Errorf("%d tasks were started, want %d", len(c.hosts.starts), want)
	}
}

// Guards against an answer to a caller that is not true of what is stored.
func TestAnswers(t *testing.T) {
	c := newCell(t, 1)
	f := c.fronts[0]
	id := c.submit(f, 1)
	if err := f.Submit(t.Context(), c.caller("/p/"+id), flow.Job{Steps: []flow.Step{{Count: 1}}}); err != nil {
		t.Errorf("the same job again: %v", err)
	}
	wrongKey := c.caller("/p/" + id)
	wrongKey.Key = "other"
	cases := []struct {
		name   string
		caller front.Caller
		want   *errorx.Type
	}{
		{"unknown job", c.caller("/p/ffffffffffffffff"), fold.Gone},
		{"unknown queue", c.caller("/q/" + id), fold.NotFound},
		{"unknown key", wrongKey, fold.Unauthorized},
	}
	for _, k := range cases {
		if _, _, err := f.Read(t.Context(), k.caller); !errorx.IsOfType(err, k.want) {
			t.Errorf("%s: error %v, want %v", k.name, err, k.want)
		}
		if err := f.Cancel(t.Context(), k.caller); !errorx.IsOfType(err, k.want) {
			t.Errorf("cancel, %s: error %v, want %v", k.name, err, k.want)
		}
	}
	if err := f.Submit(t.Context(), c.caller("/p/short"), flow.Job{Steps: []flow.Step{{Count: 1}}}); !errorx.IsOfType(err, fold.Invalid) {
		t.Errorf("malformed id: error %v", err)
	}
}

// Guards against a key that goes on working after it was withdrawn.
func TestWithdrawnKey(t *testing.T) {
	c := newCell(t, 2)
	c.submit(c.fronts[0], 1)
	withdrawn := theRules
	withdrawn.Revision, withdrawn.Teams = 2, nil
	c.rules.set(t, withdrawn)
	// The condition on the row of the configuration refuses the job although the entry may not know of the change yet.
	err := c.fronts[1].Submit(t.Context(), c.caller("/p/00000000000000ff"), flow.Job{Steps: []flow.Step{{Count: 1}}})
	if !errorx.IsOfType(err, fold.Unauthorized) {
		t.Errorf("error %v, want unauthorized", err)
	}
	if _, err := c.table.Get(t.Context(), "job/00000000000000ff"); !errorx.IsOfType(err, fold.NotFound) {
		t.Errorf("the job was stored: %v", err)
	}
}

// Guards against a cancelled job that goes on, and a cancel that is forgotten by the next owner.
func TestCancel(t *testing.T) {
	c := newCell(t, 2)
	job := flow.Job{Steps: []flow.Step{{Count: 2, Size: fold.Resources{CPU: 100}, Lasting: true}}}
	const id = "00000000000000aa"
	c.eventually("accepted", func() bool { return c.fronts[0].Submit(t.Context(), c.caller("/p/"+id), job) == nil })
	c.eventually("running", func() bool {
		c.hosts.mu.Lock()
		defer c.hosts.mu.Unlock()
		return len(c.hosts.starts) == 2
	})
	if err := c.fronts[1].Cancel(t.Context(), c.caller("/p/"+id)); err != nil {
		t.Fatal(err)
	}
	c.stops[0]()
	c.eventually("cancelled", func() bool {
		state, _, err := c.fronts[1].Read(t.Context(), c.caller("/p/"+id))
		return err == nil && state == flow.Cancelled
	})
	c.eventually("stopped", func() bool {
		c.hosts.mu.Lock()
		defer c.hosts.mu.Unlock()
		left := 0
		for _, runs := range c.hosts.runs {
			left += len(runs)
		}
		return left == 0
	})
}

// Pattern: the table is away for seconds while callers come. Guards against callers that are held until their time has
// passed, that are told nothing of when to come back, or whose job runs although it was refused; and against work that
// stands still meanwhile.
func TestTableAway(t *testing.T) {
	c := newCell(t, 3)
	first := c.submit(c.fronts[0], 1)
	second := c.submit(c.fronts[0], 2)
	c.eventually("first steps started", func() bool {
		c.hosts.mu.Lock()
		defer c.hosts.mu.Unlock()
		return c.hosts.starts[first+".0.0.0"] == 1 && c.hosts.starts[second+".0.0.0"] == 1
	})
	c.table.set(true)
	refused := 0
	for i := range 6 {
		id := fmt.Sprintf("%016x", 100+i)
		began := time.Now()
		err := c.fronts[i%3].Submit(t.Context(), c.caller("/p/"+id), flow.Job{Steps: []flow.Step{{Count: 1, Size: fold.Resources{CPU: 100}}}})
		if err == nil {
			t.Errorf("%s was accepted while the table was away", id)
		}
		if fold.DidNotRun(err) {
			refused++
			if fold.RetryAfter(err) <= 0 {
				t.Errorf("%s: %v tells no time to come back", id, err)
			}
			if took := time.Since(began); took > 4*time.Second {
				t.Errorf("%s was refused after %s", id, took)
			}
		}
	}
	if refused == 0 {
		t.Error("no request was refused as not run")
	}
	// Both steps of both jobs run without the table.
	c.eventually("started", func() bool {
		c.hosts.mu.Lock()
		defer c.hosts.mu.Unlock()
		return c.hosts.starts[first+".0.1.0"] == 1 && c.hosts.starts[second+".0.1.1"] == 1
	})
	c.table.set(false)
	for _, id := range []string{first, second} {
		c.eventually("completed", func() bool {
			state, _, err := c.fronts[1].Read(t.Context(), c.caller("/p/"+id))
			return err == nil && state == flow.Completed
		})
	}
	c.hosts.mu.Lock()
	defer c.hosts.mu.Unlock()
	for task, n := range c.hosts.starts {
		if n != 1 {
			t.Errorf("%s was started %d times", task, n)
		}
	}
}

// Guards against settings with which an entry cannot run.
func TestSettings(t *testing.T) {
	good := node.Settings{Name: "n", Callers: "a:1", Ready: "a:2", Peers: "a:3", Store: "b:1", Lease: 6000, Grace: 6000}
	cases := []struct {
		name   string
		change func(*node.Settings)
		ok     bool
	}{
		{"good", func(*node.Settings) {}, true},
		{"no name", func(s *node.Settings) { s.Name = "" }, false},
		{"one address twice", func(s *node.Settings) { s.Ready = s.Callers }, false},
		{"short lease", func(s *node.Settings) { s.Lease = 100 }, false},
		{"no grace", func(s *node.Settings) { s.Grace = 0 }, false},
		{"negative stop", func(s *node.Settings) { s.Stop = -1 }, false},
	}
	for _, c := range cases {
		s := good
		c.change(&s)
		if err := s.Check(); (err == nil) != c.ok {
			t.Errorf("%s: error %v", c.name, err)
		}
	}
}
