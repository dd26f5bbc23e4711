package sched_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"plantainfold.example/fold"
	"plantainfold.example/fold/sched"
)

// Guards against states of work that are not explained with a reason, evidence and a remedy.
func TestExplanations(t *testing.T) {
	s := newSim(t, 2, always(time.Hour))
	s.pool.SetTeam(sched.Team{Name: "small", Weight: 1, Allotment: fold.Resources{CPU: 4_000, Memory: 8_192}})
	placed := jobOf("t0", "placed", 6, 8, time.Hour)
	placed.Idempotent = false
	s.pool.Submit(0, placed)
	limited := jobOf("small", "limited", 2, 4, time.Hour)
	limited.Idempotent = false
	s.pool.Submit(0, limited)
	s.pool.Submit(0, jobOf("t1", "never", 1, 65, time.Hour))
	s.pool.Submit(0, gangOf("t1", "nevergang", 3, 64, time.Hour))
	s.pool.Submit(0, jobOf("t1", "room", 1, 63, time.Hour))
	s.advance(5 * time.Second)
	s.pool.Submit(s.now, jobOf("t2", "filler", 100, 4, time.Hour))
	s.advance(time.Second)
	urgent := jobOf("t3", "urgent", 1, 12, time.Minute)
	urgent.Priority = fold.UrgentPriority
	s.pool.Submit(s.now, urgent)
	s.advance(3 * time.Second)
	tests := []struct{ job, reason, evidence, remedy string }{
		{"placed", "6 running", "attempt 1 on w", "nothing"},
		{"limited", "allotment", "committed on 2 workers", "raise its limit"},
		{"never", "no worker of the pool is large enough", "committed on 2 workers", "ask for less"},
		{"nevergang", "can never hold 3 tasks", "committed on 2 workers", "ask for fewer"},
		{"filler", "", "checkpointed and stopped, the last because urgent work cannot start in time", ""},
	}
	for _, test := range tests {
		e, ok := s.pool.Explain(test.job)
		if !ok || !strings.Contains(e.Reason, test.reason) || !strings.Contains(strings.Join(e.Evidence, "\n"), test.evidence) ||
			!strings.Contains(e.Remedy, test.remedy) {
			t.Errorf("%s: explanation %+v, want reason %q, evidence %q, remedy %q", test.job, e, test.reason, test.evidence, test.remedy)
		}
	}
	if e, never := s.pool.NeverFits(jobOf("t0", "huge", 1, 65, time.Hour)); !never || e.Reason == "" || e.Remedy == "" {
		t.Errorf("a job that can never fit is refused as %t with %+v", never, e)
	}
}

// Guards against plans that go on trusting a wrong declared run time, and against declared sizes that are never shown
// to be too large.
func TestDeclaredFiguresAreCorrected(t *testing.T) {
	s := newSim(t, 1, always(4*time.Second))
	s.pool.Submit(0, jobOf("t0", "wrong", 20, 16, time.Hour))
	s.advance(9 * time.Second)
	large := jobOf("t1", "large", 1, 64, time.Second)
	s.pool.Submit(s.now, large)
	s.advance(1500 * time.Millisecond)
	e, _ := s.pool.Explain("large")
	var start int64
	at := strings.Index(e.Reason, "estimated start in ")
	if at < 0 {
		t.Fatalf("no estimated start: %+v", e)
	}
	if _, err := fmt.Sscanf(e.Reason[at:], "estimated start in %d ms", &start); err != nil || start > 10_000 {
		t.Errorf("the start of the large task is planned with the declared hour: %s", e.Reason)
	}
	e, _ = s.pool.Explain("wrong")
	evidence := strings.Join(e.Evidence, "\n")
	if !strings.Contains(evidence, "tasks run 4000 ms on average; 3600000 ms are declared") {
		t.Errorf("the wrong run time is not shown: %s", evidence)
	}
	if !strings.Contains(evidence, "of the declared 16.0 cores") {
		t.Errorf("the unused size is not shown: %s", evidence)
	}
}

// Guards against commitments beyond declared capacity because tasks use less than they declare.
func TestUnusedSizeIsNotCommittedAgain(t *testing.T) {
	s := newSim(t, 1, always(time.Second))
	s.pool.Submit(0, jobOf("t0", "idle", 1000, 16, time.Second))
	for range 100 {
		s.advance(100 * time.Millisecond)
		if st := s.pool.Status(); !st.Used.Fits(st.Capacity) {
			t.Fatalf("%s are committed of %s", st.Used, st.Capacity)
		}
	}
}
