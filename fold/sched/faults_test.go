package sched_test

import (
	"strconv"
	"strings"
	"testing"
	"time"

	"plantainfold.example/fold"
	"plantainfold.example/fold/sched"
)

// failingPool drives a pool in which the tasks that fails selects fail after 100 ms.
type failingPool struct {
	pool  *sched.Pool
	now   fold.Instant
	fails func(job, worker string) bool
	// failed counts the failures on each worker.
	failed map[string]int
	// starts counts the starts on each worker.
	starts map[string]int
}

func newFailingPool(workers int, fails func(job, worker string) bool) *failingPool {
	return &failingPool{pool: newPool(workers), fails: fails, failed: make(map[string]int), starts: make(map[string]int)}
}

func (f *failingPool) advance(d time.Duration) {
	for end := f.now.Add(d); f.now < end; f.now = f.now.Add(100 * time.Millisecond) {
		starts := f.pool.Decide(f.now, 512)
		confirm(f.pool, starts)
		for _, s := range starts {
			state := fold.Done
			f.starts[s.Worker]++
			if f.fails(s.Task.Task.Job, s.Worker) {
				state = fold.Failed
				f.failed[s.Worker]++
			}
			f.pool.Observe(f.now.Add(100*time.Millisecond), s.Worker, endEvents(s, state))
		}
	}
}

func (f *failingPool) submit(id string, count int) {
	j := newJob("t0", id, count, 8, time.Second)
	j.Retries = 20
	f.pool.Submit(f.now, j)
}

// Guards against a worker that still gets tasks although every task fails there, and one that gets none after its repair.
func TestWorkerThatFailsEverythingIsQuarantined(t *testing.T) {
	broken := true
	f := newFailingPool(10, func(_, worker string) bool { return broken && worker == "w3" })
	for n := range 300 {
		f.submit("j"+strconv.Itoa(n), 72)
		f.advance(100 * time.Millisecond)
	}
	if f.failed["w3"] < 3 || f.failed["w3"] > 40 {
		t.Errorf("%d tasks failed on the broken worker in 30 s, want 3 to 40", f.failed["w3"])
	}
	broken = false
	for n := range 1200 {
		f.submit("k"+strconv.Itoa(n), 80)
		f.advance(100 * time.Millisecond)
	}
	if f.starts["w3"] < f.starts["w4"]/4 {
		t.Errorf("the repaired worker started %d tasks and another one %d, want at least a quarter of that", f.starts["w3"], f.starts["w4"])
	}
}

// Guards against quarantine of more than a fifth of the workers, which could stop the pool.
func TestQuarantineIsBounded(t *testing.T) {
	f := newFailingPool(10, func(_, worker string) bool { return worker < "w6" })
	for n := range 100 {
		f.submit("j"+strconv.Itoa(n), 8)
		f.advance(100 * time.Millisecond)
	}
	f.submit("look", 1000)
	f.pool.Decide(f.now, 1)
	e, _ := f.pool.Explain("look")
	closed := strings.Count(strings.Join(e.Evidence, "\n"), "in quarantine")
	if closed > 2 {
		t.Errorf("%d of 10 workers are in quarantine, want at most 2: %v", closed, e.Evidence)
	}
}

// Guards against a failing job that is not parked, and against quarantine of workers because of failing jobs.
func TestBadJobIsParkedAndWorkersStayOpen(t *testing.T) {
	f := newFailingPool(10, func(job, _ string) bool { return strings.HasPrefix(job, "bad") })
	for n := range 4 {
		f.submit("bad"+strconv.Itoa(n), 2)
	}
	f.advance(20 * time.Second)
	for n := range 4 {
		id := "bad" + strconv.Itoa(n)
		s, _ := f.pool.Job(id)
		if s.State != fold.Parked {
			t.Errorf("job %s is %s, want parked", id, s.State)
		}
		e, _ := f.pool.Explain(id)
		if !strings.Contains(e.Reason, "failed on") || e.Remedy == "" {
			t.Errorf("explanation %+v does not name the workers and a remedy", e)
		}
	}
	f.submit("good", 80)
	f.pool.Decide(f.now, 64)
	if e, _ := f.pool.Explain("good"); strings.Contains(strings.Join(e.Evidence, "\n"), "quarantine") {
		t.Errorf("workers are in quarantine because of bad jobs: %v", e.Evidence)
	}
	if !f.pool.Cancel("bad0") {
		t.Error("a parked job cannot be cancelled")
	}
	if s, _ := f.pool.Job("bad0"); s.State != fold.Cancelled {
		t.Errorf("a parked job is %s after Cancel, want cancelled", s.State)
	}
}

// Guards against a parked job that starts tasks again when a new owner restores it.
func TestParkedJobStaysParkedAfterTakeover(t *testing.T) {
	f := newFailingPool(10, func(string, string) bool { return true })
	f.submit("bad", 2)
	f.advance(20 * time.Second)
	changes := f.pool.Changes(8)
	if len(changes) != 1 || !changes[0].Progress.Parked {
		t.Fatalf("Changes returned %+v, want a parked job", changes)
	}
	next := newPool(2)
	next.Restore(0, changes[0].Status.Job, changes[0].Progress)
	if starts := next.Decide(0, 8); len(starts) != 0 {
		t.Errorf("%d tasks of a parked job start under a new owner", len(starts))
	}
}

// Guards against parking jobs whose tasks fail only on broken workers.
func TestGoodJobIsNotParkedByBrokenWorkers(t *testing.T) {
	f := newFailingPool(20, func(_, worker string) bool {
		return worker == "w1" || worker == "w2" || worker == "w3" || worker == "w4"
	})
	for n := range 60 {
		f.submit("j"+strconv.Itoa(n), 16)
		f.advance(100 * time.Millisecond)
	}
	f.advance(2 * time.Minute)
	for n := range 60 {
		if s, _ := f.pool.Job("j" + strconv.Itoa(n)); s.State == fold.Parked {
			t.Errorf("job %s is parked, want done", s.Job.ID)
		}
	}
}
