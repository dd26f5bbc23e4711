package node_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/joomcode/errorx"

	"plantainfold.example/fold"
	"plantainfold.example/fold/codec"
	"plantainfold.example/fold/drive"
	"plantainfold.example/fold/flow"
	"plantainfold.example/fold/front"
	"plantainfold.example/fold/lead"
	"plantainfold.example/fold/node"
)

// Guards against a job that is lost, runs twice or never ends while entries, including the owner of the pool, are replaced
// one after the other.
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
	for task, n := range c.hosts.startCounts {
		if n != 1 {
			t.Errorf("%s was started %d times", task, n)
		}
	}
	if want := len(ids) * 5; len(c.hosts.startCounts) != want {
		t.Errorf("%d tasks were started, want %d", len(c.hosts.startCounts), want)
	}
}

// Guards against an answer to a caller that contradicts the table.
func TestAnswers(t *testing.T) {
	c := newCell(t, 1)
	f := c.fronts[0]
	id := c.submit(f, 1)
	if err := f.Submit(t.Context(), c.caller("/p/"+id), flow.Job{Steps: []flow.Step{{Count: 1}}}); err != nil {
		t.Errorf("second submission of the same job: %v", err)
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

// Guards against a key that an entry still accepts after the key was withdrawn.
func TestWithdrawnKey(t *testing.T) {
	c := newCell(t, 2)
	c.submit(c.fronts[0], 1)
	withdrawn := initialRules
	withdrawn.Revision, withdrawn.Teams = 2, nil
	c.rules.set(t, withdrawn)
	// The entry may not know of the change yet; the check on the configuration's row must refuse the job.
	err := c.fronts[1].Submit(t.Context(), c.caller("/p/00000000000000ff"), flow.Job{Steps: []flow.Step{{Count: 1}}})
	if !errorx.IsOfType(err, fold.Unauthorized) {
		t.Errorf("error %v, want unauthorized", err)
	}
	for _, table := range []string{drive.JobPrefix, drive.InboxPrefix} {
		if _, err := c.table.Get(t.Context(), table+"00000000000000ff"); !errorx.IsOfType(err, fold.NotFound) {
			t.Errorf("the job was stored in %s: %v", table, err)
		}
	}
}

// Guards against a cancelled job that continues to run, and a cancellation request that is lost when the owner changes.
func TestCancel(t *testing.T) {
	c := newCell(t, 2)
	job := flow.Job{Steps: []flow.Step{{Count: 2, Size: fold.Resources{CPU: 100}, LongRunning: true}}}
	const id = "00000000000000aa"
	c.eventually("accepted", func() bool { return c.fronts[0].Submit(t.Context(), c.caller("/p/"+id), job) == nil })
	c.eventually("running", func() bool {
		c.hosts.mu.Lock()
		defer c.hosts.mu.Unlock()
		return len(c.hosts.startCounts) == 2
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

// The table does not answer for seconds while callers submit jobs. Guards against requests that wait until their deadline,
// refusals without a retry time, refused jobs that run, and accepted jobs whose next tasks do not start during the outage.
func TestTableAway(t *testing.T) {
	c := newCell(t, 3)
	first := c.submit(c.fronts[0], 1)
	second := c.submit(c.fronts[0], 2)
	c.eventually("first steps started", func() bool {
		c.hosts.mu.Lock()
		defer c.hosts.mu.Unlock()
		return c.hosts.startCounts[first+".0.0.0"] == 1 && c.hosts.startCounts[second+".0.0.0"] == 1
	})
	c.table.setUnavailable(true)
	refused := 0
	for i := range 6 {
		id := fmt.Sprintf("%016x", 100+i)
		began := time.Now()
		err := c.fronts[i%3].Submit(t.Context(), c.caller("/p/"+id), flow.Job{Steps: []flow.Step{{Count: 1, Size: fold.Resources{CPU: 100}}}})
		if err == nil {
			t.Errorf("%s was accepted while the table was unavailable", id)
		}
		if fold.DidNotRun(err) {
			refused++
			if fold.RetryAfter(err) <= 0 {
				t.Errorf("%s: error %v has no retry time", id, err)
			}
			if took := time.Since(began); took > 4*time.Second {
				t.Errorf("%s was refused after %s", id, took)
			}
		}
	}
	if refused == 0 {
		t.Error("no request was refused with the NotRun trait")
	}
	// The second steps of both jobs start without the table.
	c.eventually("started", func() bool {
		c.hosts.mu.Lock()
		defer c.hosts.mu.Unlock()
		return c.hosts.startCounts[first+".0.1.0"] == 1 && c.hosts.startCounts[second+".0.1.1"] == 1
	})
	c.table.setUnavailable(false)
	for _, id := range []string{first, second} {
		c.eventually("completed", func() bool {
			state, _, err := c.fronts[1].Read(t.Context(), c.caller("/p/"+id))
			return err == nil && state == flow.Completed
		})
	}
	c.hosts.mu.Lock()
	defer c.hosts.mu.Unlock()
	for task, n := range c.hosts.startCounts {
		if n != 1 {
			t.Errorf("%s was started %d times", task, n)
		}
	}
}

// The owner leaves while commits are answered slowly. Guards against entries that take over from each other in turn, because
// the first one does not know yet that its takeover has succeeded.
func TestSlowTakeover(t *testing.T) {
	c := newCell(t, 3)
	c.submit(c.fronts[0], 1)
	c.eventually("the owner's row lists the other entries", func() bool { return len(c.owner().Entries) == 2 })
	before := c.owner()
	c.table.setLag(func(txn fold.Txn) time.Duration {
		for _, put := range txn.Puts {
			if owner, err := codec.Decode[lead.Owner](put.Value); put.Key == lead.OwnerKey && err == nil && owner.Epoch > before.Epoch && owner.CommitCount == 0 {
				return 850 * time.Millisecond
			}
		}
		return 0
	})
	for i := range 3 {
		if before.Entry == fmt.Sprintf("entry-%d", i) {
			c.stops[i]()
		}
	}
	c.eventually("another owner", func() bool { return c.owner().Epoch > before.Epoch && c.owner().CommitCount > 1 })
	if got := c.owner().Epoch; got != before.Epoch+1 {
		t.Errorf("epoch %d, want %d: entries took over from each other", got, before.Epoch+1)
	}
}

// Guards against a settings check that accepts settings with which an entry cannot run.
func TestSettings(t *testing.T) {
	valid := node.Settings{Name: "n", Callers: "a:1", Ready: "a:2", Peers: "a:3", Store: "b:1", Lease: 6000, Grace: 6000}
	cases := []struct {
		name   string
		change func(*node.Settings)
		ok     bool
	}{
		{"valid", func(*node.Settings) {}, true},
		{"no name", func(s *node.Settings) { s.Name = "" }, false},
		{"same address for two purposes", func(s *node.Settings) { s.Ready = s.Callers }, false},
		{"short lease", func(s *node.Settings) { s.Lease = 100 }, false},
		{"no grace", func(s *node.Settings) { s.Grace = 0 }, false},
		{"negative stop", func(s *node.Settings) { s.Stop = -1 }, false},
		{"negative descriptors", func(s *node.Settings) { s.Fds = -1 }, false},
		{"negative memory", func(s *node.Settings) { s.Memory = -1 }, false},
		{"long rows", func(s *node.Settings) { s.Row = 1 << 20 }, true},
		{"rows too short for records", func(s *node.Settings) { s.Row = 1000 }, false},
		{"negative near", func(s *node.Settings) { s.Near = -1 }, false},
		{"past use", func(s *node.Settings) { s.PastUse = &node.PastUseSettings{HalfLife: 3600e3, Floor: 1000} }, true},
		{"past use without a floor", func(s *node.Settings) { s.PastUse = &node.PastUseSettings{HalfLife: 3600e3} }, true},
		{"past use without a half-life", func(s *node.Settings) { s.PastUse = &node.PastUseSettings{Floor: 1000} }, false},
		{"half-life of seconds", func(s *node.Settings) { s.PastUse = &node.PastUseSettings{HalfLife: 5000} }, false},
		{"half-life of a century", func(s *node.Settings) { s.PastUse = &node.PastUseSettings{HalfLife: 3e15} }, false},
		{"negative floor", func(s *node.Settings) { s.PastUse = &node.PastUseSettings{HalfLife: 3600e3, Floor: -1} }, false},
	}
	for _, c := range cases {
		s := valid
		c.change(&s)
		if err := s.Check(); (err == nil) != c.ok {
			t.Errorf("%s: error %v", c.name, err)
		}
	}
	if valid.Options().Speeds || !(node.Settings{Speeds: true}).Options().Speeds {
		t.Error("the setting for speeds does not switch them on, or they are on without it")
	}
}
