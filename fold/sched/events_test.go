package sched_test

import (
	"testing"
	"time"

	"plantainfold.example/fold"
	"plantainfold.example/fold/place"
	"plantainfold.example/fold/sched"
)

var (
	node     = place.Worker{Name: "w0", Domain: "a", Rack: "r0"}
	capacity = fold.Resources{CPU: 64_000, Memory: 131_072}
	half     = fold.Resources{CPU: 32_000, Memory: 65_536}
)

func newBatch(id string, count int, size fold.Resources) fold.Job {
	return fold.Job{ID: id, Team: "t0", Kind: fold.Batch, Count: count, Duration: 1000, Idempotent: true, Resources: size}
}

func heldTask(job string, attempt int, size fold.Resources) fold.WorkerTask {
	return fold.WorkerTask{Task: fold.TaskID{Job: job}, Attempt: attempt, Resources: size, State: fold.Running}
}

// confirm confirms starts as workers that accept them.
func confirm(p *sched.Pool, starts []sched.Start) {
	for _, s := range starts {
		p.Confirm(s.Worker, []fold.StartResult{{Task: s.Task.Task, Started: true}})
	}
}

func endEvents(s sched.Start, state fold.Outcome) []fold.TaskEvent {
	return []fold.TaskEvent{{Sequence: 1, Task: s.Task.Task, Attempt: s.Task.Attempt, State: state, Ran: 1000}}
}

// Guards against starts on capacity that an orphan still uses, and against capacity that is not freed when it ends.
func TestOrphanHoldsCapacity(t *testing.T) {
	p := newPool(1)
	p.Adopt(0, node, fold.Adoption{Capacity: capacity, Tasks: []fold.WorkerTask{heldTask("gone", 1, capacity)}})
	p.Submit(0, newBatch("j", 1, half))
	if starts := p.Decide(0, 8); len(starts) != 0 {
		t.Fatalf("%d tasks start on a worker that an orphan fills", len(starts))
	}
	if stops := p.Stops(); len(stops) != 1 || stops[0].Task.Job != "gone" {
		t.Fatalf("Stops returned %v, want the orphan", stops)
	}
	p.Observe(0, "w0", []fold.TaskEvent{{Task: fold.TaskID{Job: "gone"}, Attempt: 1, State: fold.Stopped}})
	if starts := p.Decide(0, 8); len(starts) != 1 {
		t.Errorf("%d tasks start after the orphan ended, want 1", len(starts))
	}
}

// Guards against a task or orphan that never stops because the call with its stop was lost.
func TestStopIsSentAgain(t *testing.T) {
	p := newPool(1)
	p.Adopt(0, node, fold.Adoption{Capacity: capacity, Tasks: []fold.WorkerTask{heldTask("gone", 1, half)}})
	p.Submit(0, newBatch("j", 1, half))
	starts := p.Decide(0, 8)
	confirm(p, starts)
	p.Cancel("j")
	if n := len(p.Stops()); n != 2 {
		t.Fatalf("%d stops, want the task and the orphan", n)
	}
	p.Decide(fold.Instant(time.Second), 8)
	if n := len(p.Stops()); n != 0 {
		t.Errorf("%d stops are repeated after 1 s, want none", n)
	}
	p.Decide(fold.Instant(10*time.Second), 8)
	if n := len(p.Stops()); n != 2 {
		t.Errorf("%d stops after 10 s, want both again", n)
	}
	p.Observe(fold.Instant(11*time.Second), "w0", endEvents(starts[0], fold.Stopped))
	p.Decide(fold.Instant(20*time.Second), 8)
	if n := len(p.Stops()); n != 1 {
		t.Errorf("%d stops after the task ended, want the orphan only", n)
	}
}

// Guards against a second start of a task that a worker reports as running although it exceeds the capacity of the
// worker.
func TestAdoptedTaskBeyondCapacityIsNotStartedTwice(t *testing.T) {
	p := newPool(2)
	p.Restore(0, newBatch("j", 1, half), sched.Progress{})
	tasks := []fold.WorkerTask{heldTask("j", 1, half)}
	p.Adopt(0, node, fold.Adoption{Capacity: fold.Resources{CPU: 1_000, Memory: 1_024}, Tasks: tasks})
	if starts := p.Decide(0, 8); len(starts) != 0 {
		t.Errorf("task starts as attempt %d while attempt 1 runs", starts[0].Task.Attempt)
	}
}

// Guards against a task that runs again or is reported as unknown although its removed worker returns with the outcome.
func TestWorkerComesBackWithOutcome(t *testing.T) {
	for _, idempotent := range []bool{true, false} {
		p := newPool(1)
		j := newBatch("j", 1, half)
		j.Idempotent = idempotent
		p.Submit(0, j)
		starts := p.Decide(0, 8)
		confirm(p, starts)
		p.RemoveWorker("w0")
		p.Adopt(fold.Instant(time.Minute), node, fold.Adoption{Capacity: capacity, Events: endEvents(starts[0], fold.Done)})
		if s, _ := p.Job("j"); s.State != fold.Done {
			t.Errorf("idempotent %t: job is %s, want done", idempotent, s.State)
		}
	}
}

// Guards against a non-idempotent task that is stopped or stays unknown although its removed worker returns and still
// runs it.
func TestWorkerComesBackWithTask(t *testing.T) {
	p := newPool(1)
	j := newBatch("j", 1, half)
	j.Idempotent = false
	p.Submit(0, j)
	starts := p.Decide(0, 8)
	confirm(p, starts)
	p.RemoveWorker("w0")
	p.Adopt(0, node, fold.Adoption{Capacity: capacity, Tasks: []fold.WorkerTask{starts[0].Task}})
	if s, _ := p.Job("j"); s.State != fold.Running {
		t.Errorf("job is %s, want running", s.State)
	}
	if stops := p.Stops(); len(stops) != 0 {
		t.Errorf("Stops returned %v, want none", stops)
	}
}

// Guards against forgetting a job whose end is not recorded because it ended while an earlier state was being written.
func TestForgetKeepsJobWhoseEndIsNotRecorded(t *testing.T) {
	p := newPool(1)
	p.Submit(0, newBatch("j", 1, half))
	starts := p.Decide(0, 8)
	confirm(p, starts)
	if changes := p.Changes(8); len(changes) != 1 || changes[0].Status.State != fold.Running {
		t.Fatalf("Changes returned %v, want a running job", changes)
	}
	p.Observe(0, "w0", endEvents(starts[0], fold.Done))
	p.Forget("j")
	if changes := p.Changes(8); len(changes) != 1 || changes[0].Status.State != fold.Done {
		t.Errorf("Changes returned %v after the end, want the end of the job", changes)
	}
}

// Guards against a team that still needs allotment for the waiting tasks of cancelled jobs.
func TestCancelledWorkIsNotNeeded(t *testing.T) {
	p := newPool(1)
	p.Submit(0, newBatch("j", 10, half))
	p.Cancel("j")
	if need := p.Needs()["t0"]; !need.IsZero() {
		t.Errorf("team needs %s for a cancelled job, want nothing", need)
	}
}

// Guards against a start that stays unresolved after its reply was lost. The next adoption must resolve it as running,
// ended or never started.
func TestAdoptionSettlesLostStart(t *testing.T) {
	tests := []struct {
		name     string
		adoption func(sched.Start) fold.Adoption
		want     fold.Outcome
	}{
		{"runs", func(s sched.Start) fold.Adoption { return fold.Adoption{Tasks: []fold.WorkerTask{s.Task}} }, fold.Running},
		{"ended", func(s sched.Start) fold.Adoption { return fold.Adoption{Events: endEvents(s, fold.Done)} }, fold.Done},
		{"never started", func(sched.Start) fold.Adoption { return fold.Adoption{} }, fold.Waiting},
	}
	for _, test := range tests {
		p := newPool(1)
		j := newBatch("j", 1, half)
		j.Idempotent = false
		p.Submit(0, j)
		adoption := test.adoption(p.Decide(0, 8)[0])
		adoption.Capacity = capacity
		p.Adopt(0, node, adoption)
		if s, _ := p.Job("j"); s.State != test.want {
			t.Errorf("%s: job is %s, want %s", test.name, s.State, test.want)
		}
	}
}

// Guards against a refused start that is sent again without a delay or is never sent again.
func TestRefusedStartIsSentAgainLater(t *testing.T) {
	p := newPool(1)
	p.Submit(0, newBatch("refused", 1, half))
	s := p.Decide(0, 8)[0]
	p.Confirm(s.Worker, []fold.StartResult{{Task: s.Task.Task, Reason: "no capacity"}})
	if starts := p.Decide(0, 8); len(starts) != 0 {
		t.Error("a refused task is sent again at once")
	}
	if starts := p.Decide(fold.Instant(time.Second), 8); len(starts) != 1 {
		t.Error("a refused task is not sent again within 1 s")
	}
}
