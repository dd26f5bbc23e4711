package sched_test

import (
	"testing"
	"time"

	"plantainfold.example/fold"
	"plantainfold.example/fold/sched"
)

// sim drives a pool in virtual time.
type sim struct {
	t    *testing.T
	pool *sched.Pool
	now  fold.Instant
	// runTime returns how long a task runs.
	runTime func(fold.TaskID) time.Duration
	running map[fold.TaskID]runningAttempt
	// firstStart holds the instant of the first start of each job.
	firstStart map[string]fold.Instant
	// startCounts holds the number of starts of each job.
	startCounts map[string]int
}

// runningAttempt is a running attempt with the instant and outcome of its end.
type runningAttempt struct {
	start sched.Start
	begin fold.Instant
	end   fold.Instant
	state fold.Outcome
}

func newSim(t *testing.T, workers int, runTime func(fold.TaskID) time.Duration) *sim {
	return &sim{
		t: t, pool: newPool(workers), runTime: runTime,
		running: make(map[fold.TaskID]runningAttempt), firstStart: make(map[string]fold.Instant), startCounts: make(map[string]int),
	}
}

// advance simulates a period in steps of 100 ms.
func (s *sim) advance(d time.Duration) {
	for end := s.now.Add(d); s.now < end; s.now = s.now.Add(100 * time.Millisecond) {
		s.step()
	}
}

func (s *sim) step() {
	for id, a := range s.running {
		if a.end <= s.now {
			delete(s.running, id)
			s.pool.Observe(s.now, a.start.Worker, []fold.TaskEvent{{
				Task: id, Attempt: a.start.Task.Attempt, State: a.state, Ran: s.now.Sub(a.begin).Milliseconds(),
			}})
		}
	}
	for _, st := range s.pool.Decide(s.now, 512) {
		id := st.Task.Task
		if _, seen := s.firstStart[id.Job]; !seen {
			s.firstStart[id.Job] = s.now
		}
		s.startCounts[id.Job]++
		s.running[id] = runningAttempt{start: st, begin: s.now, end: s.now.Add(s.runTime(id)), state: fold.Done}
		s.pool.Confirm(st.Worker, []fold.StartResult{{Task: id, Started: true}})
	}
	for _, stop := range s.pool.Stops() {
		if a, ok := s.running[stop.Task]; ok {
			a.end, a.state = s.now.Add(stop.Grace), fold.Stopped
			s.running[stop.Task] = a
		}
	}
}

// usedFraction returns the fraction of the cores that a team uses.
func (s *sim) usedFraction(team string) float64 {
	capacity, used := s.pool.Status().Capacity, s.pool.Used(team)
	return float64(used.CPU) / float64(capacity.CPU)
}

func fixedRunTime(d time.Duration) func(fold.TaskID) time.Duration {
	return func(fold.TaskID) time.Duration { return d }
}

func newJob(team, id string, count int, cores int64, duration time.Duration) fold.Job {
	return fold.Job{
		ID: id, Team: team, Kind: fold.Batch, Count: count, Duration: duration.Milliseconds(), Idempotent: true,
		Resources: fold.Resources{CPU: cores * 1000, Memory: cores * 1024},
	}
}

// Guards against an order of a team's jobs that ignores priority, deadline or acceptance time.
func TestOrderWithinTeam(t *testing.T) {
	p := newPool(1)
	add := func(id string, priority int, deadline, accepted int64) {
		j := newJob("t0", id, 1, 64, time.Second)
		j.Priority, j.Deadline, j.Accepted = priority, deadline, accepted
		p.Submit(0, j)
	}
	add("late", 0, 0, 5)
	add("early", 0, 0, 3)
	add("deadline", 0, 900, 6)
	add("sooner", 0, 700, 7)
	add("high", 5, 0, 8)
	add("urgent", fold.UrgentPriority, 0, 9)
	for _, want := range []string{"urgent", "high", "sooner", "deadline", "early", "late"} {
		starts := p.Decide(0, 8)
		if len(starts) != 1 || starts[0].Task.Task.Job != want {
			t.Fatalf("Decide returned %v, want %s", starts, want)
		}
		confirm(p, starts)
		p.Observe(0, "w0", endEvents(starts[0], fold.Done))
	}
}

// Guards against urgent jobs that wait for long tasks to end, and against preempting more tasks than they need.
func TestUrgentWorkStartsInTime(t *testing.T) {
	s := newSim(t, 8, fixedRunTime(10*time.Minute))
	s.pool.Submit(0, newJob("t0", "long", 64, 8, 10*time.Minute))
	s.advance(5 * time.Second)
	j := newJob("t1", "urgent", 3, 16, time.Minute)
	j.Priority = fold.UrgentPriority
	at := s.now
	s.pool.Submit(s.now, j)
	s.advance(3 * time.Second)
	if s.startCounts["urgent"] != 3 || s.firstStart["urgent"].Sub(at) > 1200*time.Millisecond {
		t.Errorf("%d urgent tasks started, the first after %s, want 3 within 1.2 s", s.startCounts["urgent"], s.firstStart["urgent"].Sub(at))
	}
	if e, _ := s.pool.Explain("long"); len(s.running) != 64-6+3 {
		t.Errorf("%d tasks run, want 6 of 64 stopped for 3: %v", len(s.running), e.Evidence)
	}
}

// Guards against a preemption that loses more run time than it gains. Tasks near their end must keep running.
func TestPreemptionMustGain(t *testing.T) {
	s := newSim(t, 1, fixedRunTime(10*time.Minute))
	s.pool.Submit(0, newJob("t0", "long", 8, 8, 10*time.Minute))
	s.advance(9 * time.Minute)
	j := newJob("t1", "urgent", 1, 16, time.Minute)
	j.Priority = fold.UrgentPriority
	s.pool.Submit(s.now, j)
	s.advance(10 * time.Second)
	if s.startCounts["long"] != 8 || len(s.running) != 8 || s.startCounts["urgent"] != 0 {
		t.Errorf("tasks that had run 9 of 10 minutes were stopped for an urgent task that gains 4 minutes")
	}
}

// Guards against preempting tasks that must not run twice.
func TestNonIdempotentWorkIsNotPreempted(t *testing.T) {
	s := newSim(t, 1, fixedRunTime(10*time.Minute))
	long := newJob("t0", "long", 8, 8, 10*time.Minute)
	long.Idempotent = false
	s.pool.Submit(0, long)
	s.advance(time.Second)
	j := newJob("t1", "urgent", 1, 16, time.Minute)
	j.Priority = fold.UrgentPriority
	s.pool.Submit(s.now, j)
	s.advance(10 * time.Second)
	if len(s.running) != 8 {
		t.Errorf("%d tasks run, want all 8", len(s.running))
	}
}

// Guards against a large task that never starts because small tasks take all free capacity, and against reserved capacity
// that stays idle although small tasks would end before the large one starts.
func TestLargeTaskIsNotStarved(t *testing.T) {
	s := newSim(t, 4, fixedRunTime(2*time.Second))
	for i := range 600 {
		s.pool.Submit(0, newJob("t0", "small"+string(rune('a'+i%26))+string(rune('a'+i/26)), 20, 4, 2*time.Second))
	}
	s.advance(3 * time.Second)
	large := newJob("t1", "large", 1, 64, 2*time.Second)
	at := s.now
	s.pool.Submit(at, large)
	begun := 0
	for id, n := range s.startCounts {
		if id != "large" {
			begun += n
		}
	}
	s.advance(20 * time.Second)
	began, ok := s.firstStart["large"]
	if !ok || began.Sub(at) > 10*time.Second {
		t.Errorf("the large task started: %t, after %s, want within 10 s", ok, began.Sub(at))
	}
	ended := 0
	for id, n := range s.startCounts {
		if id != "large" {
			ended += n
		}
	}
	// Four workers start 16 tasks of 2 s each, at most 32 a second; the large task may cost one worker 10 s.
	if rate := float64(ended-begun) / 20; rate < 32*0.85 {
		t.Errorf("%.1f small tasks started per second, want at least 27", rate)
	}
}

// Guards against a team that stays below its share because another team has filled the pool with long tasks before.
func TestLateTeamGetsItsShare(t *testing.T) {
	s := newSim(t, 16, fixedRunTime(time.Hour))
	s.pool.Submit(0, newJob("t0", "first", 1000, 4, time.Hour))
	s.advance(5 * time.Second)
	s.pool.SetTeam(sched.Team{Name: "t1", Weight: 1, Allotment: largeAllotment})
	s.pool.Submit(s.now, newJob("t1", "second", 1000, 4, time.Hour))
	s.advance(30 * time.Second)
	sum := 0.0
	const steps = 300
	for range steps {
		s.advance(100 * time.Millisecond)
		sum += s.usedFraction("t1") / steps
	}
	if sum < 0.475 || sum > 0.525 {
		t.Errorf("the late team uses %.3f of the pool over 30 s, want 0.5 within 5%%", sum)
	}
}

// Guards against retrying a failed task without backoff, on the same worker or more often than allowed.
func TestRetryWithBackoff(t *testing.T) {
	p := newPool(4)
	j := newJob("t0", "j", 1, 4, time.Second)
	j.Retries = 1
	p.Submit(0, j)
	first := p.Decide(0, 8)
	confirm(p, first)
	p.Observe(0, first[0].Worker, endEvents(first[0], fold.Failed))
	if starts := p.Decide(fold.Instant(100*time.Millisecond), 8); len(starts) != 0 {
		t.Error("the task is retried after 100 ms")
	}
	second := p.Decide(fold.Instant(time.Second), 8)
	if len(second) != 1 || second[0].Worker == first[0].Worker {
		t.Fatalf("the retry is %v, want another worker than %s", second, first[0].Worker)
	}
	confirm(p, second)
	p.Observe(fold.Instant(time.Second), second[0].Worker, endEvents(second[0], fold.Failed))
	if s, _ := p.Job("j"); s.State != fold.Failed {
		t.Errorf("job is %s after its last retry, want failed", s.State)
	}
}
