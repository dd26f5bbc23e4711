package cell_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"plantainfold.example/fold"
	"plantainfold.example/fold/audit"
	"plantainfold.example/fold/remote"
	"plantainfold.example/fold/worker"
)

const (
	// tightCores is a team limit that the load nearly exhausts, so that pools contend for it.
	tightCores = 40
	// wideCores is a team limit with which the backlog of a fault drains before the next one. With 36 of 40
	// cores in use, 660 tasks waited in the recovery table after two entries were killed, and new jobs could not start
	// within any bound.
	wideCores = 80
)

const e2eManifest = `{
	"teams": [{"name": "crews", "share": 1, "limit": {"cpu": %d000, "memory": %d}}],
	"queues": [
		{"name": "planning", "teams": ["crews"], "service": "planning"},
		{"name": "nightly", "teams": ["crews"]},
	],
}`

// newLoad configures the cell with a team limit in cores of 1 GiB, and returns a load for it.
func newLoad(t *testing.T, p *processes, cores int64) *load {
	t.Helper()
	limit := fold.Resources{CPU: 1000 * cores, Memory: 1024 * cores}
	manifest := fmt.Sprintf(e2eManifest, cores, limit.Memory)
	l := &load{team: "crews"}
	for _, one := range p.entries {
		l.addresses = append(l.addresses, one.address)
		l.names = append(l.names, one.name)
	}
	operator := remote.New(p.entries[0].address, testRoot())
	var revision fold.Revision
	eventually(t, func(ctx context.Context) (err error) {
		revision, err = operator.ApplyManifest(ctx, 0, []byte(manifest))
		return err
	})
	p.settled()
	l.key = grant(t, operator).Key
	second := grant(t, operator)
	l.secondKey, l.secondID = second.Key, second.Grant.ID
	l.history.Limits = []audit.Limit{{Team: "crews", Limit: limit}}
	l.history.Accepted = []audit.Accepted{{Revision: revision.Revision + 2, At: now()}}
	l.history.Capacity = make(map[string]fold.Resources)
	eventually(t, func(ctx context.Context) error {
		for _, one := range p.entries {
			if s, err := remote.New(one.address, "").Status(ctx); err != nil || s.Revision < revision.Revision+2 {
				return fmt.Errorf("%s is not at the revision of the keys: %w", one.name, err)
			}
		}
		return nil
	})
	return l
}

func grant(t *testing.T, operator *remote.Client) fold.IssuedKey {
	t.Helper()
	issued, err := operator.IssueKey(context.Background(), fold.KeyGrant{Team: "crews"})
	if err != nil {
		t.Fatal(err)
	}
	return issued
}

// withdraw withdraws the second key and records when.
func (l *load) withdraw(t *testing.T) {
	t.Helper()
	var revision fold.Revision
	eventually(t, func(ctx context.Context) (err error) {
		revision, err = remote.New(l.addresses[l.pick()], testRoot()).RevokeKey(ctx, l.secondID)
		return err
	})
	l.mu.Lock()
	defer l.mu.Unlock()
	l.history.Withdrawals = append(l.history.Withdrawals, audit.Withdrawal{Key: l.secondID, At: now()})
	l.history.Accepted = append(l.history.Accepted, audit.Accepted{Revision: revision.Revision, At: now()})
}

// finish ends the load, waits for all jobs and returns the violations that the audit finds.
func finish(t *testing.T, p *processes, l *load) []audit.Finding {
	t.Helper()
	l.end()
	p.settled()
	l.waitJobs(func(id string) fold.JobStatus {
		var s fold.JobStatus
		eventually(t, func(ctx context.Context) (err error) {
			s, err = remote.New(l.addresses[l.pick()], l.key).Job(ctx, id)
			if err == nil && !s.State.Ended() {
				err = fmt.Errorf("job %s is %s, %d waiting, %d running in pool %s", id, s.State, s.Waiting, s.Running, s.Pool)
			}
			return err
		})
		return s
	})
	h := l.history
	for _, run := range p.runs() {
		h.Capacity[run.Worker] = fold.Resources{CPU: 8000, Memory: 16_384}
		h.Runs = append(h.Runs, audit.Run{
			Worker: run.Worker, Task: run.Task, Resources: run.Resources, Begin: run.Begin, End: run.End, State: run.State,
		})
	}
	var served struct {
		Served map[string]int `json:"served"`
	}
	p.read(p.workers+"/v1/served", &served)
	for id, n := range served.Served {
		h.Served = append(h.Served, audit.Served{ID: id, Count: n})
	}
	t.Logf("%d jobs accepted, %d runs, %d requests sent, %d ids served", len(h.Jobs), len(h.Runs), len(h.Tries), len(h.Served))
	return audit.Check(h)
}

func (p *processes) runs() []worker.Run {
	p.t.Helper()
	var body struct {
		Runs []worker.Run `json:"runs"`
	}
	p.read(p.workers+"/v1/runs", &body)
	return body.Runs
}

// Guards against accepted work that is lost or runs twice, exceeded limits or capacities, refused requests that did run,
// and withdrawn keys that still work. An entry is killed, the table service is down, and replies are lost.
func TestProcessesSurviveFaults(t *testing.T) {
	p := startProcesses(t)
	l := newLoad(t, p, tightCores)
	const seed = 1
	t.Logf("seed %d", seed)
	l.begin(seed)
	l.withdraw(t)
	for _, f := range faults()[:3] {
		began := time.Now()
		t.Logf("%s: placements resumed after %s, scenario took %s", f.name, f.recovery(p, l), time.Since(began))
	}
	for _, finding := range finish(t, p, l) {
		t.Error(finding)
	}
}
