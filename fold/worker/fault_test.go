package worker_test

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/joomcode/errorx"

	"plantainfold.example/fold"
	"plantainfold.example/fold/client"
	"plantainfold.example/fold/worker"
)

// handClock moves by hand; a timer fires when it is released.
type handClock struct {
	now   fold.Instant
	timer chan time.Time
}

func newHandClock() *handClock { return &handClock{timer: make(chan time.Time)} }

func (c *handClock) Now() fold.Instant { return c.now }

func (c *handClock) After(time.Duration) <-chan time.Time { return c.timer }

// newFaulty returns a worker that is owned at epoch 1 and its session.
func newFaulty(t *testing.T, clock fold.Clock) (*worker.Worker, *worker.Faulty, *worker.Faults, int64) {
	t.Helper()
	faults := worker.NewFaults(clock)
	w := worker.New("w", fold.Resources{CPU: 1000, Memory: 1000}, clock, worker.WithFailures(faults.Fails))
	f := worker.NewFaulty(w, faults)
	adoption, err := f.Adopt(context.Background(), "owner", 1)
	if err != nil {
		t.Fatal(err)
	}
	return w, f, faults, adoption.Session
}

func taskOf(job string) fold.WorkerTask {
	return fold.WorkerTask{
		Task: fold.TaskID{Job: job}, Attempt: 1,
		Resources: fold.Resources{CPU: 1000, Memory: 1000}, Duration: 1000, Lease: 10_000,
	}
}

func beat(t *testing.T, w fold.Worker) fold.BeatReply {
	t.Helper()
	reply, err := w.Beat(context.Background(), fold.BeatRequest{Owner: "owner", Epoch: 1, MayStart: true})
	if err != nil {
		t.Fatal(err)
	}
	return reply
}

// Guards against a start call that is delivered twice and runs its task again after it has ended.
func TestLateStartRunsOnce(t *testing.T) {
	clock := newHandClock()
	w, f, faults, session := newFaulty(t, clock)
	faults.Set(worker.Fault{Late: 2})
	if _, err := f.Start(context.Background(), 1, session, []fold.WorkerTask{taskOf("a")}); err != nil {
		t.Fatal(err)
	}
	clock.now = clock.now.Add(1500 * time.Millisecond)
	beat(t, f)
	results, err := w.Start(context.Background(), 1, session, []fold.WorkerTask{taskOf("a")})
	if err != nil || !results[0].Started {
		t.Errorf("repeated start: %v, %v", results, err)
	}
	if runs := w.Runs(); len(runs) != 1 || runs[0].State != fold.Done {
		t.Errorf("runs %+v, want one that is done", runs)
	}
	clock.timer <- time.Time{}
}

// Guards against a restarted worker that takes starts of a session from before the restart or keeps capacity in use.
func TestRestartLosesTasksAndSession(t *testing.T) {
	clock := newHandClock()
	w, f, _, session := newFaulty(t, clock)
	if _, err := f.Start(context.Background(), 1, session, []fold.WorkerTask{taskOf("a")}); err != nil {
		t.Fatal(err)
	}
	w.Restart()
	adoption, err := f.Adopt(context.Background(), "owner", 1)
	if err != nil || len(adoption.Tasks) != 0 || adoption.Session <= session {
		t.Errorf("adoption %+v after session %d: %v", adoption, session, err)
	}
	if _, err := f.Start(context.Background(), 1, session, []fold.WorkerTask{taskOf("b")}); !errorx.IsOfType(err, fold.Fenced) {
		t.Errorf("start in the old session: %v", err)
	}
	results, err := f.Start(context.Background(), 1, adoption.Session, []fold.WorkerTask{taskOf("b")})
	if err != nil || !results[0].Started {
		t.Errorf("start in the new session: %v, %v", results, err)
	}
}

// Guards against a failing worker whose tasks end as done, or that goes on failing after the fault is over.
func TestFailingWorker(t *testing.T) {
	clock := newHandClock()
	_, f, faults, session := newFaulty(t, clock)
	for _, tt := range []struct {
		job   string
		fails bool
		want  fold.Outcome
	}{{"a", true, fold.Failed}, {"b", false, fold.Done}} {
		faults.Set(worker.Fault{Fails: tt.fails})
		if _, err := f.Start(context.Background(), 1, session, []fold.WorkerTask{taskOf(tt.job)}); err != nil {
			t.Fatal(err)
		}
		clock.now = clock.now.Add(time.Second)
		events := beat(t, f).Events
		if last := events[len(events)-1]; last.Task.Job != tt.job || last.State != tt.want {
			t.Errorf("last event %+v, want %s %s", last, tt.job, tt.want)
		}
	}
}

// Guards against a checkpoint that is not reported and a throttle that does not stretch the run time.
func TestCheckpointAndThrottle(t *testing.T) {
	clock := newHandClock()
	w, f, _, session := newFaulty(t, clock)
	task := taskOf("a")
	if _, err := f.Start(context.Background(), 1, session, []fold.WorkerTask{task}); err != nil {
		t.Fatal(err)
	}
	clock.now = clock.now.Add(500 * time.Millisecond)
	if err := w.Throttle(1, task.Task, 250); err != nil {
		t.Fatal(err)
	}
	clock.now = clock.now.Add(1900 * time.Millisecond)
	if events := beat(t, f).Events; len(events) != 0 {
		t.Errorf("ended early: %+v", events)
	}
	if err := f.Stop(context.Background(), 1, []fold.StopRequest{{Task: task.Task, Checkpoint: true}}); err != nil {
		t.Fatal(err)
	}
	events := beat(t, f).Events
	if len(events) != 1 || events[0].State != fold.Stopped || events[0].Saved != 2400 {
		t.Errorf("events %+v, want one stopped with 2400 ms saved", events)
	}
	if err := w.Throttle(1, task.Task, 250); !errorx.IsOfType(err, fold.NotFound) {
		t.Errorf("throttle of an ended task: %v", err)
	}
}

// Guards against an unreachable rack that answers, and against an unreachable worker that looks fenced to its owner.
func TestSiteCutsOneRack(t *testing.T) {
	site := worker.NewSite()
	for _, name := range []string{"r0-w0", "r0-w1", "r1-w0"} {
		faults := worker.NewFaults(fold.BootClock{})
		w := worker.New(name, fold.Resources{CPU: 1000, Memory: 1000}, fold.BootClock{})
		endpoint := worker.NewEndpoint(8, time.Millisecond, fold.BootClock{})
		site.Add(name, worker.NewMember(w, endpoint, name[:2], faults))
	}
	server := httptest.NewServer(site.Handler())
	defer server.Close()
	resp, err := http.Post(server.URL+"/v1/faults", "application/json", bytes.NewReader([]byte(`{"rack":"r0","unreachable":true}`)))
	if err != nil || resp.StatusCode != http.StatusOK {
		t.Fatal(resp, err)
	}
	_ = resp.Body.Close()
	for name, reachable := range map[string]bool{"r0-w0": false, "r0-w1": false, "r1-w0": true} {
		base := server.URL + "/" + name
		_, err := client.NewWorkers(server.Client()).Worker(base).Adopt(context.Background(), "owner", 1)
		if (err == nil) != reachable || (err != nil && !errorx.IsOfType(err, fold.Unknown)) {
			t.Errorf("adopt %s: %v", name, err)
		}
		_, err = client.NewEndpoints().Endpoint(base).Serve(context.Background(), fold.Request{ID: "1", Service: "s", Timeout: time.Second})
		if (err == nil) != reachable || fold.DidNotRun(err) {
			t.Errorf("request to %s: %v", name, err)
		}
	}
}
