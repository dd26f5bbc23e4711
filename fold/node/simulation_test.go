package node

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"plantainfold.example/fold"
	"plantainfold.example/fold/bubble"
	"plantainfold.example/fold/flow"
	"plantainfold.example/fold/peer"
	"plantainfold.example/fold/plat"
)

// virtualClock follows the time of a synctest bubble.
type virtualClock struct{}

func (virtualClock) Now() fold.Instant                      { return fold.Instant(time.Now().UnixNano()) }
func (virtualClock) After(d time.Duration) <-chan time.Time { return bubble.After(d) }

// pipeNetwork connects entries of one test in memory.
type pipeNetwork struct {
	mu        sync.Mutex
	listeners map[string]*pipeListener
	// silent holds for each connection whether its bytes vanish.
	silent []*atomic.Bool
}

// pipeConn is one end of a connection. Its bytes can vanish.
type pipeConn struct {
	net.Conn
	silent *atomic.Bool
}

// Write sends bytes or loses them.
func (c pipeConn) Write(b []byte) (int, error) {
	if c.silent.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// silence makes the bytes of all present connections vanish and returns their number.
func (p *pipeNetwork) silence() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, silent := range p.silent {
		silent.Store(true)
	}
	return len(p.silent)
}

func (p *pipeNetwork) dial(ctx context.Context, _, address string) (net.Conn, error) {
	p.mu.Lock()
	l := p.listeners[address]
	p.mu.Unlock()
	if l == nil {
		return nil, syscall.ECONNREFUSED
	}
	near, far := net.Pipe()
	silent := &atomic.Bool{}
	p.mu.Lock()
	p.silent = append(p.silent, silent)
	p.mu.Unlock()
	select {
	case l.accepted <- pipeConn{far, silent}:
		return pipeConn{near, silent}, nil
	case <-l.closed:
		return nil, syscall.ECONNREFUSED
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (p *pipeNetwork) listen(address string) *pipeListener {
	l := &pipeListener{network: p, address: address, accepted: make(chan net.Conn), closed: make(chan struct{})}
	p.mu.Lock()
	p.listeners[address] = l
	p.mu.Unlock()
	return l
}

// pipeListener accepts connections of a pipeNetwork.
type pipeListener struct {
	network  *pipeNetwork
	address  string
	accepted chan net.Conn
	closed   chan struct{}
	once     sync.Once
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accepted:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.once.Do(func() {
		l.network.mu.Lock()
		if l.network.listeners[l.address] == l {
			delete(l.network.listeners, l.address)
		}
		l.network.mu.Unlock()
		close(l.closed)
	})
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// simulation is a cell of entries in virtual time, with hosts and a table that have faults. It checks that no task runs twice.
type simulation struct {
	t     *testing.T
	table *plat.Table
	net   *pipeNetwork
	hosts *simulatedHosts
	// steps are the two steps of each job.
	steps []flow.Step
	// maxRow is Settings.Row of the entries.
	maxRow int
	// adviser returns the adviser as an entry reaches it.
	adviser func(entry string) fold.Adviser
	// queue is the queue of the jobs.
	queue fold.Queue
	// calm makes the hosts answer all orders within milliseconds.
	calm bool

	mu     sync.Mutex
	random *rand.Rand
	log    bytes.Buffer
	// stallEnd is when the current stall of the table ends. stalled is the only entry that it concerns, or nil for all.
	stallEnd time.Time
	stalled  *simulatedEntry
	// cut is an entry whose calls to the table get no answer, or nil.
	cut *simulatedEntry
	// entries are the entries that run and are not leaving.
	entries []*simulatedEntry
	// started counts the entries that were started, and submitted the jobs.
	started, submitted int
	running            sync.WaitGroup
}

func newSimulation(t *testing.T, seed uint64) *simulation {
	s := &simulation{t: t, table: plat.NewTable(), net: &pipeNetwork{listeners: make(map[string]*pipeListener)}, random: rand.New(rand.NewPCG(seed, 7))}
	s.hosts = newSimulatedHosts(s)
	s.adviser = func(string) fold.Adviser { return s.hosts }
	s.queue = simulatedQueue
	size := fold.Resources{CPU: 500, Memory: 10}
	s.steps = []flow.Step{{Count: 2, Size: size, Estimate: 300}, {Count: 2, Size: size, Estimate: 900, After: []int{0}}}
	client := http.DefaultClient.Transport
	http.DefaultClient.Transport = &http.Transport{DialContext: s.net.dial, DisableKeepAlives: true}
	t.Cleanup(func() { http.DefaultClient.Transport = client })
	return s
}

// Write collects the log.
func (s *simulation) Write(b []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.log.Write(b)
}

// note adds a line to the log.
func (s *simulation) note(format string, args ...any) {
	_, _ = fmt.Fprintf(s, "%s %s\n", time.Now().Format("05.000"), fmt.Sprintf(format, args...))
}

// intN returns a random number below n.
func (s *simulation) intN(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.random.IntN(n)
}

// between returns a random duration.
func (s *simulation) between(from, to time.Duration) time.Duration {
	return from + time.Duration(s.intN(int((to-from)/time.Millisecond)+1))*time.Millisecond
}

// stall stalls the table for one entry, or for all if it is nil.
func (s *simulation) stall(e *simulatedEntry, length time.Duration) {
	s.mu.Lock()
	s.stallEnd, s.stalled = time.Now().Add(length), e
	s.mu.Unlock()
	s.note("STALL %s for %s", nameOf(e), length)
}

// cutOff makes the table leave all calls of an entry without an answer.
func (s *simulation) cutOff(e *simulatedEntry) {
	s.mu.Lock()
	s.cut = e
	s.mu.Unlock()
	s.note("CUT %s", nameOf(e))
}

func (s *simulation) isCut(e *simulatedEntry) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cut != nil && s.cut == e
}

func nameOf(e *simulatedEntry) string {
	if e == nil {
		return "all"
	}
	return e.settings.Name
}

// stallLeft returns how long the table is stalled for an entry.
func (s *simulation) stallLeft(e *simulatedEntry) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stalled != nil && s.stalled != e {
		return 0
	}
	return max(0, time.Until(s.stallEnd))
}

// simulatedEntry is a process of an entry, with its own access to the table and the hosts.
type simulatedEntry struct {
	*Node
	sim       *simulation
	transport *peer.Transport
	listener  *pipeListener
	// stopOwning ends ownLoop, and stopWork all else. owned is closed when ownLoop has returned.
	stopOwning, stopWork context.CancelFunc
	owned                chan struct{}
	// crashed is closed when the process is killed.
	crashed chan struct{}
	once    sync.Once
}

// start starts an entry, which registers as a real one does.
func (s *simulation) start(name string, cores float64) *simulatedEntry {
	s.mu.Lock()
	s.started++
	s.mu.Unlock()
	e := &simulatedEntry{sim: s, owned: make(chan struct{}), crashed: make(chan struct{})}
	log := hclog.New(&hclog.LoggerOptions{Name: name, Level: hclog.Debug, Output: s, TimeFormat: "05.000"})
	settings := Settings{Name: name, Peers: name + ":1", Lease: 6000, Stop: 900, Grace: 4000, Cores: cores, Row: s.maxRow}
	n, err := New(settings, Parts{Table: simulatedTable{s.table, e}, Log: simulatedTable{s.table, e}, Rules: simulatedRules{queue: s.queue}, Roster: s.hosts, Runner: simulatedRunner{e}, Adviser: s.adviser(name)}, virtualClock{}, log)
	if err != nil {
		s.t.Fatal(err)
	}
	e.Node = n
	work, stopWork := context.WithCancel(context.Background())
	own, stopOwning := context.WithCancel(work)
	e.stopWork, e.stopOwning = stopWork, stopOwning
	e.transport = peer.New(name, n.incarnation, []byte("0123456789abcdef0123456789abcdef"), log)
	n.registerAdviceCalls(e.transport)
	n.registerOwnerCalls(e.transport)
	n.registerRelayCalls(e.transport)
	n.peers.setTransport(e.transport)
	mux := http.NewServeMux()
	mux.Handle(peer.Path, e.transport)
	server := &http.Server{Handler: mux}
	e.listener = s.net.listen(settings.Peers)
	s.running.Go(func() { _ = server.Serve(e.listener) })
	s.running.Go(func() { n.rules.Run(work) })
	s.running.Go(func() {
		retryStart(work, n, func() (struct{}, error) { return struct{}{}, n.peers.register(work) })
	})
	s.running.Go(func() {
		defer close(e.owned)
		n.ownLoop(own)
	})
	s.mu.Lock()
	s.entries = append(s.entries, e)
	s.mu.Unlock()
	s.note("START %s %s", name, n.incarnation)
	return e
}

// remove takes the entry off the list of entries.
func (e *simulatedEntry) remove() {
	e.sim.mu.Lock()
	defer e.sim.mu.Unlock()
	e.sim.entries = slices.DeleteFunc(e.sim.entries, func(o *simulatedEntry) bool { return o == e })
}

// terminate stops the entry as SIGTERM does and returns when its process has ended.
func (e *simulatedEntry) terminate() {
	e.sim.note("SIGTERM %s", e.settings.Name)
	e.remove()
	e.leaving.Store(true)
	e.stopOwning()
	end := time.Now().Add(ms(e.settings.Grace) - graceReserve)
	time.Sleep(noticeTime)
	if waitUntil(e.owned, end) {
		finish, cancel := context.WithDeadline(context.Background(), end)
		_ = e.peers.unregister(finish)
		cancel()
	}
	e.kill()
}

// kill ends the process at once.
func (e *simulatedEntry) kill() {
	e.once.Do(func() {
		e.sim.note("END %s", e.settings.Name)
		e.remove()
		close(e.crashed)
		e.stopWork()
		e.closeRelay()
		_ = e.listener.Close()
		_ = e.transport.Close()
	})
}

func (e *simulatedEntry) isCrashed() bool {
	select {
	case <-e.crashed:
		return true
	default:
		return false
	}
}

// owning returns the entry that owns the pool and has loaded the jobs, or nil.
func (s *simulation) owning() *simulatedEntry {
	s.mu.Lock()
	entries := slices.Clone(s.entries)
	s.mu.Unlock()
	for _, e := range entries {
		if _, err := e.loadedDriver(); err == nil {
			return e
		}
	}
	return nil
}

// submit submits a job of two steps to the owner if there is one.
func (s *simulation) submit() {
	s.mu.Lock()
	s.submitted++
	n := s.submitted
	s.mu.Unlock()
	e := s.owning()
	if e == nil {
		return
	}
	d, err := e.loadedDriver()
	if err != nil {
		return
	}
	job := flow.Job{ID: fmt.Sprintf("%016x", n), Team: "crews", Queue: s.queue, Spec: "s", Accepted: time.Now().UnixMilli(), Steps: s.steps}
	s.running.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		// A job that is not accepted does not run.
		_, _ = d.Submit(ctx, job, fold.Check{})
	})
}

// end kills all entries and waits for their goroutines.
func (s *simulation) end() {
	s.mu.Lock()
	entries := slices.Clone(s.entries)
	s.mu.Unlock()
	for _, e := range entries {
		e.kill()
	}
	s.running.Wait()
	s.hosts.stop()
}

// count returns the number of log lines that contain a text.
func (s *simulation) count(text string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return strings.Count(s.log.String(), text)
}

// maxHistory is the number of log lines that a failure prints.
const maxHistory = 40

// history returns the last log lines about a task and about the ownership before a task ran twice.
func (s *simulation) history(task string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var lines []string
	until, _, _ := strings.Cut(s.log.String(), "HOST TWICE")
	for _, line := range strings.Split(until, "\n") {
		for _, part := range []string{task, "STALL", "SIGTERM", "START", "END ", "draining", "again", "owns the pool", "Took over", "takeover of", "Handed over", "announced", "Ending the term"} {
			if strings.Contains(line, part) {
				lines = append(lines, line)
				break
			}
		}
	}
	return strings.Join(lines[max(0, len(lines)-maxHistory):], "\n")
}

var simulatedQueue = fold.Queue{Name: "planning", Service: "pool", Attempts: 2, SlackFactor: 2, Target: time.Second}

// simulatedRules is a configuration that does not change.
type simulatedRules struct {
	queue fold.Queue
}

func (r simulatedRules) Read(context.Context) (fold.Declared, error) {
	rules := fold.Rules{Revision: 1, Queues: []fold.Queue{r.queue}, Teams: []fold.TeamRule{{Name: "crews"}}}
	return fold.Declared{Rules: rules, Version: 1, Position: 1}, nil
}

func (r simulatedRules) Next(ctx context.Context, known fold.Declared, wait time.Duration) (fold.Declared, bool, error) {
	select {
	case <-ctx.Done():
	case <-bubble.After(wait):
	}
	return known, false, ctx.Err()
}

func (simulatedRules) Check(version int64) fold.Check {
	return fold.Check{Key: "op/config", Version: version}
}

// simulatedTable is the access of an entry to the table. In a stall, commits are applied early, late or never, and their
// answers and those to reads are late.
type simulatedTable struct {
	*plat.Table
	entry *simulatedEntry
}

func (f simulatedTable) Commit(ctx context.Context, t fold.Txn) (int64, error) {
	s := f.entry.sim
	before, after, lost := s.between(time.Millisecond, 4*time.Millisecond), time.Millisecond, s.isCut(f.entry)
	if left := s.stallLeft(f.entry); left > 0 {
		switch s.intN(5) {
		case 0:
			lost = true
		case 1, 2:
			before = left
		default:
			after = left
		}
	}
	type answer struct {
		version int64
		err     error
	}
	answers := make(chan answer, 1)
	if !lost && !f.entry.isCrashed() {
		time.AfterFunc(before, func() {
			version, err := f.Table.Commit(context.Background(), t)
			time.AfterFunc(after, func() { answers <- answer{version, err} })
		})
	}
	select {
	case <-ctx.Done():
		return 0, fold.Unknown.Wrap(ctx.Err(), "no answer")
	case <-f.entry.crashed:
		return 0, fold.Unknown.New("the process has ended")
	case a := <-answers:
		return a.version, a.err
	}
}

// delay delays a read.
func (f simulatedTable) delay(ctx context.Context) error {
	s := f.entry.sim
	if s.isCut(f.entry) {
		<-ctx.Done()
		return fold.Unknown.Wrap(ctx.Err(), "no answer")
	}
	wait := s.between(time.Millisecond, 3*time.Millisecond)
	if left := s.stallLeft(f.entry); left > 0 {
		wait = min(left, s.between(60*time.Millisecond, 700*time.Millisecond))
	}
	select {
	case <-ctx.Done():
		return fold.Unknown.Wrap(ctx.Err(), "no answer")
	case <-f.entry.crashed:
		<-ctx.Done()
		return fold.Unknown.New("the process has ended")
	case <-bubble.After(wait):
		return nil
	}
}

func (f simulatedTable) Get(ctx context.Context, key string) (fold.Row, error) {
	if err := f.delay(ctx); err != nil {
		return fold.Row{}, err
	}
	return f.Table.Get(ctx, key)
}

func (f simulatedTable) Scan(ctx context.Context, prefix, after string, limit int) ([]fold.Row, error) {
	if err := f.delay(ctx); err != nil {
		return nil, err
	}
	return f.Table.Scan(ctx, prefix, after, limit)
}

func (f simulatedTable) Snapshot(ctx context.Context, table string) ([]fold.Row, int64, error) {
	if err := f.delay(ctx); err != nil {
		return nil, 0, err
	}
	return f.Table.Snapshot(ctx, table)
}

func (f simulatedTable) Changes(ctx context.Context, table string, after int64, wait time.Duration) ([]fold.RowChange, int64, error) {
	if err := f.delay(ctx); err != nil {
		return nil, 0, err
	}
	return f.Table.Changes(ctx, table, after, wait)
}

// simulatedRunner is the access of an entry to the hosts. Some orders are carried out late, without an answer.
type simulatedRunner struct {
	entry *simulatedEntry
}

// order carries out an order after a random delay and the given one.
func order[Reply any](ctx context.Context, e *simulatedEntry, late time.Duration, execute func() (Reply, error)) (reply Reply, err error) {
	if e.isCrashed() {
		<-ctx.Done()
		return reply, fold.Unknown.New("the process has ended")
	}
	s := e.sim
	delay := s.between(time.Millisecond, 4*time.Millisecond)
	switch kind := s.intN(60); {
	case s.calm:
	case kind == 0:
		delay = s.between(200*time.Millisecond, 1500*time.Millisecond)
	case kind < 16:
		delay = s.between(10*time.Millisecond, 150*time.Millisecond)
	}
	type answer struct {
		reply Reply
		err   error
	}
	answers := make(chan answer, 1)
	time.AfterFunc(late+delay, func() {
		reply, err := execute()
		answers <- answer{reply, err}
	})
	select {
	case <-ctx.Done():
		return reply, fold.Unknown.Wrap(ctx.Err(), "no answer")
	case <-e.crashed:
		return reply, fold.Unknown.New("the process has ended")
	case a := <-answers:
		return a.reply, a.err
	}
}

// Hold fails if the host starts again before it answers, because this breaks the connection.
func (r simulatedRunner) Hold(ctx context.Context, h fold.Host, q fold.HoldRequest) (fold.HoldReply, error) {
	hosts := r.entry.sim.hosts
	incarnation := hosts.incarnationOf(h.ID)
	if incarnation != h.Incarnation {
		q = fold.HoldRequest{Fence: q.Fence}
	}
	reply, err := order(ctx, r.entry, hosts.lateBy(h.ID), func() (fold.HoldReply, error) { return hosts.hold(h.ID, incarnation, q, true) })
	for end := time.Now().Add(q.Wait); err == nil && len(reply.Ends) == 0 && time.Now().Before(end); {
		select {
		case <-ctx.Done():
			return fold.HoldReply{}, fold.Unknown.Wrap(ctx.Err(), "no answer")
		case <-r.entry.crashed:
			return fold.HoldReply{}, fold.Unknown.New("the process has ended")
		case <-bubble.After(10 * time.Millisecond):
		}
		reply, err = hosts.hold(h.ID, incarnation, q, false)
	}
	return reply, err
}

func (r simulatedRunner) Start(ctx context.Context, h fold.Host, q fold.StartRequest) error {
	_, err := order(ctx, r.entry, 0, func() (struct{}, error) { return struct{}{}, r.entry.sim.hosts.start(h, q) })
	return err
}

func (r simulatedRunner) Stop(ctx context.Context, h fold.Host, task string, run int, fence int64) error {
	_, err := order(ctx, r.entry, 0, func() (struct{}, error) { return struct{}{}, r.entry.sim.hosts.stopRun(h, task, run, fence) })
	return err
}

func (r simulatedRunner) Pace(context.Context, fold.Host, string, int, int, int64) error { return nil }
func (r simulatedRunner) Disconnect()                                                    {}

// simulatedHost is a host that follows the platform's rules for fences, leases and ends.
type simulatedHost struct {
	id          string
	incarnation int64
	bornAt      time.Time
	fence       int64
	leaseEnd    time.Time
	runs        map[string]int
	// refused holds, by task, the highest run that was stopped or ended.
	refused  map[string]int
	ends     []fold.HostEnd
	lastEnd  int64
	draining bool
}

// simulatedHosts are the hosts and their roster.
type simulatedHosts struct {
	sim     *simulation
	mu      sync.Mutex
	hosts   map[string]*simulatedHost
	stopped bool
	// version is the version of the roster. wake is closed and replaced with each change.
	version int64
	wake    chan struct{}
	// doneOn holds the host on which each task has ended as done. Such an end is dropped if the host loses it.
	doneOn map[string]string
	// taskTimes are how long the tasks of the first and of the second step of a job take.
	taskTimes [2]time.Duration
	// late holds the delay of the answers to Hold calls, by host.
	late map[string]time.Duration
	// began and ended hold when the first run of each task began and when its last one ended.
	began, ended map[string]time.Time
	// checkTicket checks the ticket of a start, unless it is nil.
	checkTicket func(host string, q fold.StartRequest) error
	// starts counts the started runs. twice is the first task that ran twice.
	starts int
	twice  string
}

const simulatedHostCount = 5

const (
	// edgeHost is the only host with edgeLabel. All others have mainLabel.
	edgeHost  = "host-4"
	edgeLabel = "edge"
	mainLabel = "main"
)

func newSimulatedHosts(s *simulation) *simulatedHosts {
	h := &simulatedHosts{sim: s, hosts: make(map[string]*simulatedHost), version: 1, wake: make(chan struct{}), doneOn: make(map[string]string), began: make(map[string]time.Time), ended: make(map[string]time.Time), taskTimes: [2]time.Duration{300 * time.Millisecond, 900 * time.Millisecond}}
	for i := range simulatedHostCount {
		id := fmt.Sprintf("host-%d", i)
		h.hosts[id] = newSimulatedHost(id, 1)
	}
	return h
}

func newSimulatedHost(id string, incarnation int64) *simulatedHost {
	return &simulatedHost{id: id, incarnation: incarnation, bornAt: time.Now(), runs: make(map[string]int), refused: make(map[string]int)}
}

// restart replaces a host by its next incarnation, which knows nothing.
func (h *simulatedHosts) restart(id string) {
	h.mu.Lock()
	old := h.hosts[id]
	h.hosts[id] = newSimulatedHost(id, old.incarnation+1)
	h.hosts[id].draining = old.draining
	h.forgetEnds(old)
	h.mu.Unlock()
	h.sim.note("HOST %s started again", id)
	h.publish(h.sim.between(0, 1500*time.Millisecond))
}

// drain changes whether a host drains.
func (h *simulatedHosts) drain(id string) {
	h.mu.Lock()
	h.hosts[id].draining = !h.hosts[id].draining
	h.sim.note("HOST %s draining %v", id, h.hosts[id].draining)
	h.mu.Unlock()
	h.publish(0)
}

// publish makes the state of the hosts visible in the roster after a delay.
func (h *simulatedHosts) publish(delay time.Duration) {
	time.AfterFunc(delay, func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.version++
		close(h.wake)
		h.wake = make(chan struct{})
	})
}

func (h *simulatedHosts) Hosts(context.Context) ([]fold.Host, int64, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	var list []fold.Host
	for i := range simulatedHostCount {
		o := h.hosts[fmt.Sprintf("host-%d", i)]
		host := fold.Host{ID: o.id, Address: o.id, Incarnation: o.incarnation, Service: "pool", Draining: o.draining, Capacity: fold.Resources{CPU: 8000, Memory: 64000}}
		if o.id == edgeHost {
			host.Labels = []string{edgeLabel}
		} else {
			host.Labels = []string{mainLabel}
		}
		if o.draining {
			host.Remaining = 20 * time.Second
		}
		list = append(list, host)
	}
	return list, h.version, nil
}

func (h *simulatedHosts) Changes(ctx context.Context, after int64, wait time.Duration) (fold.RosterChanges, int64, error) {
	h.mu.Lock()
	version, wake := h.version, h.wake
	h.mu.Unlock()
	if version <= after {
		select {
		case <-ctx.Done():
			return fold.RosterChanges{}, after, ctx.Err()
		case <-bubble.After(wait):
			return fold.RosterChanges{}, after, nil
		case <-wake:
		}
	}
	hosts, version, err := h.Hosts(ctx)
	return fold.RosterChanges{Hosts: hosts}, version, err
}

func (h *simulatedHosts) Advise(context.Context, string, []string) (fold.Advice, error) {
	return fold.Advice{}, nil
}

// delayBusy delays the answers of all hosts with runs to Hold calls.
func (h *simulatedHosts) delayBusy(delay time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.late = make(map[string]time.Duration)
	for id, o := range h.hosts {
		if len(o.runs) > 0 {
			h.late[id] = delay
		}
	}
}

func (h *simulatedHosts) lateBy(id string) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.late[id]
}

// at returns the host in its present state if it accepts the fence. The caller holds the lock.
func (h *simulatedHosts) at(id string, fence int64) (*simulatedHost, error) {
	o := h.hosts[id]
	h.expire(o)
	if fence < o.fence {
		return nil, fold.HostFenced.New("fence")
	}
	o.fence = fence
	return o, nil
}

// expire ends all runs of a host whose lease has ended. The caller holds the lock.
func (h *simulatedHosts) expire(o *simulatedHost) {
	if time.Now().Before(o.leaseEnd) {
		return
	}
	for task, run := range o.runs {
		h.sim.note("HOST %s: lease of %s run %d has ended", o.id, task, run)
		h.addEnd(o, task, run, fold.EndLeaseExpired)
	}
	h.forgetEnds(o)
}

// forgetEnds drops the ends of a host that no longer count. The caller holds the lock.
func (h *simulatedHosts) forgetEnds(o *simulatedHost) {
	for _, e := range o.ends {
		if e.Kind == fold.EndDone && h.doneOn[e.Task] == o.id {
			delete(h.doneOn, e.Task)
		}
	}
}

// addEnd ends a run. The caller holds the lock.
func (h *simulatedHosts) addEnd(o *simulatedHost, task string, run int, kind fold.EndKind) {
	delete(o.runs, task)
	h.ended[task] = time.Now()
	o.refused[task] = max(o.refused[task], run)
	o.lastEnd++
	o.ends = append(o.ends, fold.HostEnd{Number: o.lastEnd, Task: task, Run: run, Kind: kind})
	if kind == fold.EndDone {
		h.doneOn[task] = o.id
	}
}

// extend moves the end of the lease on a host. The caller holds the lock.
func (o *simulatedHost) extend(end int64) {
	to := min(time.Duration(end)*time.Millisecond, time.Since(o.bornAt)+6*time.Second)
	if at := o.bornAt.Add(to); at.After(o.leaseEnd) {
		o.leaseEnd = at
	}
}

func (h *simulatedHosts) incarnationOf(id string) int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.hosts[id].incarnation
}

func (h *simulatedHosts) hold(id string, incarnation int64, q fold.HoldRequest, renew bool) (fold.HoldReply, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.hosts[id].incarnation != incarnation {
		return fold.HoldReply{}, fold.Unknown.New("the connection was closed")
	}
	o, err := h.at(id, q.Fence)
	if err != nil {
		return fold.HoldReply{}, err
	}
	if renew {
		o.extend(q.LeaseEnd)
	}
	o.ends = slices.DeleteFunc(o.ends, func(e fold.HostEnd) bool { return e.Number <= q.Acked })
	reply := fold.HoldReply{Clock: time.Since(o.bornAt).Milliseconds(), Incarnation: o.incarnation, Ends: slices.Clone(o.ends)}
	for task, run := range o.runs {
		reply.Runs = append(reply.Runs, fold.HostRun{Task: task, Run: run})
	}
	return reply, nil
}

// start executes a start on the incarnation of a host that it is meant for.
func (h *simulatedHosts) start(host fold.Host, q fold.StartRequest) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	id := host.ID
	if h.hosts[id].incarnation != host.Incarnation {
		return fold.HostRestarted.New("another incarnation answers")
	}
	o, err := h.at(id, q.Fence)
	if err != nil {
		return err
	}
	if h.stopped {
		return fold.HostUnhealthy.New("the test has ended")
	}
	o.extend(q.LeaseEnd)
	if o.runs[q.Task] == q.Run {
		return nil
	}
	if q.Run <= o.refused[q.Task] {
		return fold.RunStale.New("old")
	}
	if !time.Now().Before(o.leaseEnd) {
		return fold.OrderLate.New("late")
	}
	if h.checkTicket != nil {
		if err := h.checkTicket(id, q); err != nil {
			return err
		}
	}
	h.starts++
	if _, ok := h.began[q.Task]; !ok {
		h.began[q.Task] = time.Now()
	}
	h.sim.note("HOST %s (born %d) starts %s run %d of epoch %d", id, o.incarnation, q.Task, q.Run, q.Fence)
	for _, other := range h.hosts {
		h.expire(other)
		if run, ok := other.runs[q.Task]; ok && h.twice == "" {
			h.twice = q.Task
			h.sim.note("HOST %s: %s run %d is still there", other.id, q.Task, run)
			h.sim.note("HOST TWICE")
		}
	}
	if where := h.doneOn[q.Task]; where != "" && h.twice == "" {
		h.twice = q.Task
		h.sim.note("HOST %s: %s is done", where, q.Task)
		h.sim.note("HOST TWICE")
	}
	o.runs[q.Task] = q.Run
	name, _ := flow.ParseTaskName(q.Task)
	time.AfterFunc(h.taskTimes[name.Step], func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		if h.expire(o); h.hosts[id] == o && o.runs[q.Task] == q.Run {
			h.addEnd(o, q.Task, q.Run, fold.EndDone)
		}
	})
	return nil
}

// stopRun executes a stop on the incarnation of a host that it is meant for.
func (h *simulatedHosts) stopRun(host fold.Host, task string, run int, fence int64) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	id := host.ID
	if h.hosts[id].incarnation != host.Incarnation {
		return fold.HostRestarted.New("another incarnation answers")
	}
	o, err := h.at(id, fence)
	if err != nil {
		return err
	}
	if o.refused[task] >= run {
		return fold.RunStale.New("old")
	}
	o.refused[task] = run
	if o.runs[task] == run {
		h.sim.note("HOST %s stops %s run %d", id, task, run)
		h.addEnd(o, task, run, fold.EndStopped)
	}
	return nil
}

// startCount returns the number of started runs.
func (h *simulatedHosts) startCount() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.starts
}

// stop makes the hosts refuse further starts.
func (h *simulatedHosts) stop() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.stopped = true
}
