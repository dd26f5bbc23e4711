package drive_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"plantainfold.example/fold"
	"plantainfold.example/fold/codec"
	"plantainfold.example/fold/core"
	"plantainfold.example/fold/drive"
	"plantainfold.example/fold/flow"
	"plantainfold.example/fold/lead"
	"plantainfold.example/fold/plat"
)

// clock follows the time of a synctest bubble.
type clock struct{}

func (clock) Now() fold.Instant                      { return fold.Instant(time.Now().UnixNano()) }
func (clock) After(d time.Duration) <-chan time.Time { return time.After(d) }

// part is a table whose transactions take a while, one after the other; it turns calls away while too many wait.
type part struct {
	*plat.Table
	takes   time.Duration
	turn    chan struct{}
	mu      sync.Mutex
	waiting int
	// turnedAway counts refused calls, commits those that were applied; refuse turns the next ones away.
	turnedAway, commits, refuse int
	// rows is the greatest number of entries in a commit, bytes the longest value.
	rows, bytes int
}

// maxWaiting transactions are waiting when the part turns calls away; the platform's part takes a second's worth.
const maxWaiting = 6

func newPart(takes time.Duration) *part {
	return &part{Table: plat.NewTable(), takes: takes, turn: make(chan struct{}, 1)}
}

func (p *part) Commit(ctx context.Context, t fold.Txn) (int64, error) {
	p.mu.Lock()
	if p.refuse > 0 || p.waiting >= maxWaiting {
		p.refuse--
		p.turnedAway++
		p.mu.Unlock()
		return 0, fold.Refuse(fold.Overload, "call less often", "too many calls on this part")
	}
	p.waiting++
	p.mu.Unlock()
	p.turn <- struct{}{}
	time.Sleep(p.takes)
	p.mu.Lock()
	p.waiting--
	p.commits++
	p.rows = max(p.rows, len(t.Checks)+len(t.Puts)+len(t.Deletes))
	for _, put := range t.Puts {
		p.bytes = max(p.bytes, len(put.Value))
	}
	p.mu.Unlock()
	<-p.turn
	if ctx.Err() != nil {
		return 0, fold.Unknown.Wrap(ctx.Err(), "no answer")
	}
	return p.Table.Commit(ctx, t)
}

// pool is a stand-in for hosts whose tasks take a while, each an eighth longer than the one before, and are then done.
type pool struct {
	count int
	takes time.Duration
	began time.Time

	mu   sync.Mutex
	ends map[string][]fold.HostEnd
	last map[string]int64
	runs map[string]map[string]fold.HostRun
	wake map[string]chan struct{}
	// started holds when each task was first started, ended when it was done.
	started, ended map[string]time.Time
	// loses makes every so many looks at a host go without an answer; looks counts them.
	loses, looks int
	// lost says that the last look at a host had no answer; badAcks counts looks after one that acknowledge ends.
	lost    map[string]bool
	badAcks int
}

func newPool(count int, takes time.Duration) *pool {
	p := &pool{count: count, takes: takes, began: time.Now(), ends: make(map[string][]fold.HostEnd), last: make(map[string]int64), runs: make(map[string]map[string]fold.HostRun), wake: make(map[string]chan struct{}), started: make(map[string]time.Time), ended: make(map[string]time.Time), lost: make(map[string]bool)}
	for i := range count {
		id := fmt.Sprintf("host-%02d", i)
		p.wake[id] = make(chan struct{}, 1)
		p.runs[id] = make(map[string]fold.HostRun)
	}
	return p
}

func (p *pool) Changes(ctx context.Context, after int64, wait time.Duration) (fold.RosterChanges, int64, error) {
	return noChanges(ctx, after, wait)
}

// noChanges is a roster that stays as it is.
func noChanges(ctx context.Context, after int64, wait time.Duration) (fold.RosterChanges, int64, error) {
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
	return fold.RosterChanges{}, after, ctx.Err()
}

func (p *pool) Hosts(context.Context) ([]fold.Host, int64, error) {
	var hosts []fold.Host
	for i := range p.count {
		id := fmt.Sprintf("host-%02d", i)
		hosts = append(hosts, fold.Host{ID: id, Address: id, Incarnation: 1, Service: "pool", Capacity: fold.Resources{CPU: 64000, Memory: 64000}})
	}
	return hosts, 1, nil
}

func (p *pool) Hold(ctx context.Context, h fold.Host, q fold.HoldRequest) (fold.HoldReply, error) {
	p.mu.Lock()
	if p.lost[h.ID] && q.Acked != 0 {
		p.badAcks++
	}
	p.looks++
	p.lost[h.ID] = p.loses > 0 && p.looks%p.loses == 0
	if p.lost[h.ID] {
		p.mu.Unlock()
		<-ctx.Done()
		return fold.HoldReply{}, fold.Unknown.Wrap(ctx.Err(), "no answer")
	}
	for len(p.ends[h.ID]) > 0 && p.ends[h.ID][0].Number <= q.Acked {
		p.ends[h.ID] = p.ends[h.ID][1:]
	}
	ready := len(p.ends[h.ID]) > 0
	p.mu.Unlock()
	if !ready && q.Wait > 0 {
		select {
		case <-ctx.Done():
			return fold.HoldReply{}, ctx.Err()
		case <-p.wake[h.ID]:
		case <-time.After(q.Wait):
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	reply := fold.HoldReply{Clock: time.Since(p.began).Milliseconds() + 1, Incarnation: 1, Ends: append([]fold.HostEnd(nil), p.ends[h.ID]...)}
	for _, r := range p.runs[h.ID] {
		reply.Runs = append(reply.Runs, r)
	}
	return reply, nil
}

func (p *pool) Start(_ context.Context, h fold.Host, q fold.StartRequest) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, ok := p.started[q.Task]; !ok {
		p.started[q.Task] = time.Now()
	}
	p.runs[h.ID][q.Task] = fold.HostRun{Task: q.Task, Run: q.Run}
	name, _ := flow.ParseTaskName(q.Task)
	time.AfterFunc(p.takes+time.Duration(name.Index)*p.takes/8, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.runs[h.ID], q.Task)
		p.ended[q.Task] = time.Now()
		p.last[h.ID]++
		p.ends[h.ID] = append(p.ends[h.ID], fold.HostEnd{Number: p.last[h.ID], Task: q.Task, Run: q.Run, Kind: fold.EndDone})
		select {
		case p.wake[h.ID] <- struct{}{}:
		default:
		}
	})
	return nil
}

func (p *pool) Stop(context.Context, fold.Host, string, int, int64) error      { return nil }
func (p *pool) Pace(context.Context, fold.Host, string, int, int, int64) error { return nil }

type noMeter struct{}

func (noMeter) Commit(time.Duration, int)  {}
func (noMeter) Start(time.Duration, error) {}
func (noMeter) Hold(time.Duration, error)  {}
func (noMeter) Ask(time.Duration, error)   {}
func (noMeter) Decide(time.Duration)       {}

// run lets a driver own the pool until the test ends.
func run(t *testing.T, table fold.Table, log fold.ChangeFeed, hosts *pool) *drive.Driver {
	t.Helper()
	owner, version, err := lead.Read(t.Context(), table)
	if err != nil {
		t.Fatal(err)
	}
	term, err := lead.TakeOver(t.Context(), table, clock{}, owner, version, lead.Owner{Entry: "a", Incarnation: "a-1"})
	if err != nil {
		t.Fatal(err)
	}
	d := drive.New(drive.Parts{
		Table: table, Log: log, Runner: hosts, Roster: hosts, Clock: clock{}, Logger: hclog.NewNullLogger(), Meter: noMeter{},
		AdviceCallers: func() []drive.AdviceCaller { return nil },
		RelayEntries:  func() []drive.RelayEntry { return nil },
		RelayCapacity: 20000,
		Entries:       func() ([]string, int) { return nil, 0 },
		StrongerEntry: func() bool { return false },
		Announce:      func(context.Context, []string, int64, int64, bool) bool { return true },
		Invite:        func(context.Context, int64) {},
		Times:         core.Times{Lease: 6 * time.Second, Stop: 900 * time.Millisecond, RenewWithoutTable: 4 * time.Second},
	}, term, fold.Rules{Queues: []fold.Queue{planning}})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- d.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	<-d.Loaded()
	return d
}

var planning = fold.Queue{Name: "planning", Service: "pool", Attempts: 2, SlackFactor: 1.5, Target: 300 * time.Millisecond}

func check(n int, tasks int) flow.Job {
	return flow.Job{ID: fmt.Sprintf("%016x", n+1), Team: "crews", Queue: planning, Spec: "s", Steps: []flow.Step{{Count: tasks, Size: fold.Resources{CPU: 100, Memory: 10}, Estimate: 500}}}
}

// urgentStart is the time within which urgent work starts at the two-year size, see docs/CAPACITY.md.
const urgentStart = 1200 * time.Millisecond

// Pattern: the table takes 53 times as long as usual while urgent jobs come at twice their rate. Guards against callers
// that are refused, and work that waits, although one transaction after the other would do for all of them.
func TestSlowTableInABurst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const jobs, perSecond, tasks = 320, 80, 12
		table, hosts := newPart(159*time.Millisecond), newPool(20, 500*time.Millisecond)
		d := run(t, table, table, hosts)
		time.Sleep(2 * time.Second)
		type outcome struct {
			n    int
			sent time.Time
			took time.Duration
			err  error
		}
		outcomes := make(chan outcome, jobs)
		for n := range jobs {
			go func() {
				sent := time.Now()
				ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
				defer cancel()
				_, err := d.Submit(ctx, check(n, tasks), fold.Check{})
				outcomes <- outcome{n: n, sent: sent, took: time.Since(sent), err: err}
			}()
			time.Sleep(time.Second / perSecond)
		}
		refused, slow := 0, 0
		for range jobs {
			out := <-outcomes
			if out.err != nil {
				refused++
				continue
			}
			for k := range tasks {
				task := flow.TaskName{Job: check(out.n, tasks).ID, Index: k}.String()
				hosts.mu.Lock()
				began, ok := hosts.started[task]
				hosts.mu.Unlock()
				if !ok {
					time.Sleep(urgentStart)
					hosts.mu.Lock()
					began = hosts.started[task]
					hosts.mu.Unlock()
				}
				if began.Sub(out.sent) > urgentStart || began.IsZero() {
					slow++
				}
			}
		}
		time.Sleep(5 * time.Second)
		completed := 0
		for n := range jobs {
			if state, _, _ := d.State(check(n, tasks).ID); state == flow.Completed {
				completed++
			}
		}
		if refused > 0 || slow > 0 || completed != jobs {
			t.Errorf("of %d jobs %d were refused and %d are completed; %d tasks started after %s", jobs, refused, completed, slow, urgentStart)
		}
		table.mu.Lock()
		defer table.mu.Unlock()
		if table.rows > 100 {
			t.Errorf("a commit had %d entries, more than the platform takes", table.rows)
		}
	})
}

// Guards against callers that are refused because the table turned a single call away.
func TestBusyTable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newPart(3 * time.Millisecond)
		d := run(t, table, table, newPool(2, 500*time.Millisecond))
		table.mu.Lock()
		table.refuse = 3
		table.mu.Unlock()
		if _, err := d.Submit(t.Context(), check(1, 1), fold.Check{}); err != nil {
			t.Error(err)
		}
		table.mu.Lock()
		defer table.mu.Unlock()
		if table.turnedAway == 0 {
			t.Error("no call was turned away")
		}
	})
}

// Pattern: one in seven answers of hosts is lost while urgent jobs of two steps run. Guards against a second step that waits
// because the ends of the first one were in a lost answer, and against ends of another life of the host that are
// acknowledged by the numbers of the one before.
func TestLostAnswersOfHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const jobs = 60
		table, hosts := newPart(3*time.Millisecond), newPool(8, 500*time.Millisecond)
		hosts.loses = 7
		d := run(t, table, table, hosts)
		time.Sleep(2 * time.Second)
		for n := range jobs {
			j := check(n, 2)
			j.Steps = append(j.Steps, flow.Step{Count: 1, Size: fold.Resources{CPU: 100}, Estimate: 500, After: []int{0}})
			if _, err := d.Submit(t.Context(), j, fold.Check{}); err != nil {
				t.Fatal(err)
			}
			time.Sleep(100 * time.Millisecond)
		}
		time.Sleep(20 * time.Second)
		hosts.mu.Lock()
		defer hosts.mu.Unlock()
		if hosts.badAcks > 0 {
			t.Errorf("%d looks after a lost answer acknowledge ends", hosts.badAcks)
		}
		for n := range jobs {
			id := check(n, 2).ID
			ended := hosts.ended[flow.TaskName{Job: id, Index: 1}.String()]
			next := hosts.started[flow.TaskName{Job: id, Step: 1}.String()]
			if waited := next.Sub(ended); next.IsZero() || waited > urgentStart {
				t.Errorf("job %d: the second step started %s after the end of the first one", n, waited)
			}
		}
	})
}

// Guards against a request that is held although no commit can answer it in the time that its caller has left.
func TestNoTimeLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newPart(159 * time.Millisecond)
		d := run(t, table, table, newPool(2, 500*time.Millisecond))
		time.Sleep(3 * time.Second)
		ctx, cancel := context.WithTimeout(t.Context(), 60*time.Millisecond)
		defer cancel()
		sent := time.Now()
		_, err := d.Submit(ctx, check(1, 1), fold.Check{})
		if !fold.DidNotRun(err) || time.Since(sent) > 10*time.Millisecond {
			t.Errorf("error %v after %s, want a refusal at once", err, time.Since(sent))
		}
	})
}

// Guards against a new owner that goes back to older progress, because a newer record shares a row with others or because
// such a row is older than the job's own.
func TestSharedRowsAreRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newPart(0)
		shared := []struct {
			Job    string      `json:"job"`
			Record flow.Record `json:"record"`
		}{
			{check(1, 1).ID, flow.Record{State: flow.Completed, Seq: 7}},
			{check(2, 1).ID, flow.Record{State: flow.Running, Seq: 3}},
		}
		puts := []fold.Put{encoded(t, drive.BacklogTable+"000000000001-000001", shared)}
		for n := 1; n <= 2; n++ {
			puts = append(puts, encoded(t, drive.JobTable+check(n, 1).ID, check(n, 1)))
		}
		puts = append(puts, encoded(t, drive.StateTable+check(1, 1).ID, flow.Record{State: flow.Running, Seq: 5}))
		puts = append(puts, encoded(t, drive.StateTable+check(2, 1).ID, flow.Record{State: flow.Cancelled, Seq: 4}))
		if _, err := table.Table.Commit(t.Context(), fold.Txn{Puts: puts}); err != nil {
			t.Fatal(err)
		}
		d := run(t, table, table, newPool(1, time.Second))
		for n, want := range []flow.State{1: flow.Completed, 2: flow.Cancelled} {
			if state, _, _ := d.State(check(n, 1).ID); want != "" && state != want {
				t.Errorf("job %d is %s, want %s", n, state, want)
			}
		}
		time.Sleep(10 * time.Second)
		row, err := table.Get(t.Context(), drive.StateTable+check(1, 1).ID)
		if err != nil {
			t.Fatal(err)
		}
		if rec, err := codec.Decode[flow.Record](row.Value); err != nil || rec.State != flow.Completed {
			t.Errorf("the job's own row holds %s, error %v; want completed", rec.State, err)
		}
		if rows, _ := table.Scan(t.Context(), drive.BacklogTable, "", 0); len(rows) != 0 {
			t.Errorf("%d shared rows are left", len(rows))
		}
		if rows, _ := table.Scan(t.Context(), drive.JobTable, "", 0); len(rows) != 0 {
			t.Errorf("%d rows of ended jobs are left", len(rows))
		}
	})
}

func encoded[T any](t *testing.T, key string, v T) fold.Put {
	t.Helper()
	value, err := codec.Encode(v)
	if err != nil {
		t.Fatal(err)
	}
	return fold.Put{Key: key, Value: value}
}
