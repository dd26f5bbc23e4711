package sched_test

import (
	"testing"
	"time"

	"plantainfold.example/fold"
	"plantainfold.example/fold/sched"
)

// sim drives a pool in virtual time; tasks run as long as run says.
type sim struct {
	t      *testing.T
	pool   *sched.Pool
	now    fold.Instant
	run    func(fold.TaskID) time.Duration
	live   map[fold.TaskID]alive
	starts map[string]fold.Instant
	tasks  map[string]int
}

// alive is an attempt that runs, and when and how it ends.
type alive struct {
	start sched.Start
	begin fold.Instant
	end   fold.Instant
	state fold.Outcome
}

func newSim(t *testing.T, workers int, run func(fold.TaskID) time.Duration) *sim {
	return &sim{
		t: t, pool: newPool(workers), run: run,
		live: make(map[fold.TaskID]alive), starts: make(map[string]fold.Instant), tasks: make(map[string]int),
	}
}

// advance lets time pass in steps of 100 ms.
func (s *sim) advance(d time.Duration) {
	for end := s.now.Add(d); s.now < end; s.now = s.now.Add(100 * time.Millisecond) {
		s.step()
	}
}

func (s *sim) step() {
	for id, a := range s.live {
		if a.end <= s.now {
			delete(s.live, id)
			s.pool.Observe(s.now, a.start.Worker, []fold.TaskEvent{{
				Task: id, Attempt: a.start.Task.Attempt, State: a.state, Ran: s.now.Sub(a.begin).Milliseconds(),
			}})
		}
	}
	for _, st := range s.pool.Decide(s.now, 512) {
		id := st.Task.Task
		if _, seen := s.starts[id.Job]; !seen {
			s.starts[id.Job] = s.now
		}
		s.tasks[id.Job]++
		s.live[id] = alive{start: st, begin: s.now, end: s.now.Add(s.run(id)), state: fold.Done}
		s.pool.Confirm(st.Worker, []fold.StartResult{{Task: id, Started: true}})
	}
	for _, stop := range s.pool.Stops() {
		if a, ok := s.live[stop.Task]; ok {
			a.end, a.state = s.now.Add(stop.Grace), fold.Stopped
			s.live[stop.Task] = a
		}
	}
}

// use returns the part of the cores that a team uses.
func (s *sim) use(team string) float64 {
	capacity, used := s.pool.Status().Capacity, s.pool.Used(team)
	return float64(used.CPU) / float64(capacity.CPU)
}

func always(d time.Duration) func(fold.TaskID) time.Duration {
	return func(fold.TaskID) time.Duration { return d }
}

func jobOf(team, id string, count int, cores int64, duration time.Duration) fold.Job {
	return fold.Job{
		ID: id, Team: team, Kind: fold.Batch, Count: count, Duration: duration.Milliseconds(), Idempotent: true,
		Resources: fold.Resources{CPU: cores * 1000, Memory: cores * 1024},
	}
}

// Guards against an order within a team that ignores priority, deadline or time of accept.
func TestOrderWithinTeam(t *testing.T) {
	p := newPool(1)
	add := func(id string, priority int, deadline, accepted int64) {
		j := jobOf("t0", id, 1, 64, time.Second)
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
		p.Observe(0, "w0", outcome(starts[0], fold.Done))
	}
}

// Guards against urgent work that waits for long tasks to end, and against stopping more than it needs.
func TestUrgentWorkStartsInTime(t *testing.T) {
	s := newSim(t, 8, always(10*time.Minute))
	s.pool.Submit(0, jobOf("t0", "long", 64, 8, 10*time.Minute))
	s.advance(5 * time.Second)
	j := jobOf("t1", "urgent", 3, 16, time.Minute)
	j.Priority = fold.UrgentPriority
	at := s.now
	s.pool.Submit(s.now, j)
	s.advance(3 * time.Second)
	if s.tasks["urgent"] != 3 || s.starts["urgent"].Sub(at) > 1200*time.Millisecond {
		t.Errorf("%d urgent tasks started, the first after %s, want 3 within 1.2 s", s.tasks["urgent"], s.starts["urgent"].Sub(at))
	}
	if e, _ := s.pool.Explain("long"); len(s.live) != 64-6+3 {
		t.Errorf("%d tasks run, want 6 of 64 stopped for 3: %v", len(s.live), e.Evidence)
	}
}

// Guards against preemption that loses more than it gains: tasks near their end go on.
func TestPreemptionMustGain(t *testing.T) {
	s := newSim(t, 1, always(10*time.Minute))
	s.pool.Submit(0, jobOf("t0", "long", 8, 8, 10*time.Minute))
	s.advance(9 * time.Minute)
	j := jobOf("t1", "urgent", 1, 16, time.Minute)
	j.Priority = fold.UrgentPriority
	s.pool.Submit(s.now, j)
	s.advance(10 * time.Second)
	if s.tasks["long"] != 8 || len(s.live) != 8 || s.tasks["urgent"] != 0 {
		t.Errorf("work that had run 9 of 10 minutes was stopped for work that gains 4 minutes")
	}
}

// Guards against tasks that must not run twice being stopped for other work.
func TestNonIdempotentWorkIsNotPreempted(t *testing.T) {
	s := newSim(t, 1, always(10*time.Minute))
	long := jobOf("t0", "long", 8, 8, 10*time.Minute)
	long.Idempotent = false
	s.pool.Submit(0, long)
	s.advance(time.Second)
	j := jobOf("t1", "urgent", 1, 16, time.Minute)
	j.Priority = fold.UrgentPriority
	s.pool.Submit(s.now, j)
	s.advance(10 * time.Second)
	if len(s.live) != 8 {
		t.Errorf("%d tasks run, want all 8", len(s.live))
	}
}

// Guards against a large task that small work keeps out for ever, and against capacity that idles meanwhile although
// small tasks would end in time.
func TestLargeTaskIsNotStarved(t *testing.T) {
	s := newSim(t, 4, always(2*time.Second))
	for i := range 600 {
		s.pool.Submit(0, jobOf("t0", "small"+string(rune('a'+i%26))+string(rune('a'+i/26)), 20, 4, 2*time.Second))
	}
	s.advance(3 * time.Second)
	large := jobOf("t1", "large", 1, 64, 2*time.Second)
	at := s.now
	s.pool.Submit(at, large)
	begun := 0
	for id, n := range s.tasks {
		if id != "large" {
			begun += n
		}
	}
	s.advance(20 * time.Second)
	began, ok := s.starts["large"]
	if !ok || began.Sub(at) > 10*time.Second {
		t.Errorf("the large task started %t after %s, want within 10 s", ok, began.Sub(at))
	}
	ended := 0
	for id, n := range s.tasks {
		if id != "large" {
			ended += n
		}
	}
	// Four workers start 16 tasks of 2 s each, at most 32 a second; the large task may cost one worker 10 s.
	if rate := float64(ended-begun) / 20; rate < 32*0.85 {
		t.Errorf("%.1f small tasks a second started, want at least 27", rate)
	}
}

// Guards against a team that arrives late and stays below its share while another fills the pool with long tasks.
func TestLateTeamGetsItsShare(t *testing.T) {
	s := newSim(t, 16, always(time.Hour))
	s.pool.Submit(0, jobOf("t0", "first", 1000, 4, time.Hour))
	s.advance(5 * time.Second)
	s.pool.SetTeam(sched.Team{Name: "t1", Weight: 1, Allotment: plenty})
	s.pool.Submit(s.now, jobOf("t1", "second", 1000, 4, time.Hour))
	s.advance(30 * time.Second)
	sum := 0.0
	const steps = 300
	for range steps {
		s.advance(100 * time.Millisecond)
		sum += s.use("t1") / steps
	}
	if sum < 0.475 || sum > 0.525 {
		t.Errorf("the late team uses %.3f of the pool over 30 s, want 0.5 within 5%%", sum)
	}
}

// Guards against a failed task that is retried without backoff, on the same worker, or more often than allowed.
func TestRetryWithBackoff(t *testing.T) {
	p := newPool(4)
	j := jobOf("t0", "j", 1, 4, time.Second)
	j.Retries = 1
	p.Submit(0, j)
	first := p.Decide(0, 8)
	confirm(p, first)
	p.Observe(0, first[0].Worker, outcome(first[0], fold.Failed))
	if starts := p.Decide(fold.Instant(100*time.Millisecond), 8); len(starts) != 0 {
		t.Error("the task is retried after 100 ms")
	}
	second := p.Decide(fold.Instant(time.Second), 8)
	if len(second) != 1 || second[0].Worker == first[0].Worker {
		t.Fatalf("the retry is %v, want another worker than %s", second, first[0].Worker)
	}
	confirm(p, second)
	p.Observe(fold.Instant(time.Second), second[0].Worker, outcome(second[0], fold.Failed))
	if s, _ := p.Job("j"); s.State != fold.Failed {
		t.Errorf("job is %s after its last retry, want failed", s.State)
	}
}
