package audit_test

import (
	"testing"
	"time"

	"plantainfold.example/fold"
	"plantainfold.example/fold/audit"
)

const second = fold.Instant(time.Second)

// validHistory returns a history without a violation. Each test case adds one violation to it.
func validHistory() audit.History {
	size := fold.Resources{CPU: 500, Memory: 500}
	job := audit.Job{
		Job: fold.Job{ID: "j", Team: "crews", Kind: fold.Batch, Count: 2, Resources: size},
		Key: "k", KeyTeam: "crews", At: second, Accepted: true,
	}
	return audit.History{
		Capacity: map[string]fold.Resources{"w": size.Times(2), "v": size.Times(2)},
		Limits:   []audit.Limit{{Team: "crews", Limit: size.Times(2)}},
		Jobs:     []audit.Job{job},
		Runs: []audit.Run{
			{Worker: "w", Task: fold.TaskID{Job: "j"}, Resources: size, Begin: 1, End: second, State: fold.Done},
			{Worker: "w", Task: fold.TaskID{Job: "j", Index: 1}, Resources: size, Begin: 1, End: second, State: fold.Failed},
			{Worker: "v", Task: fold.TaskID{Job: "j", Index: 1}, Resources: size, Begin: second, End: 2 * second, State: fold.Done},
		},
		Tries: []audit.Try{
			{ID: "r", Entry: "e", Key: "k", Begin: 1, End: second, Want: "whole", AnswerID: "r", Answer: "whole"},
			{ID: "n", Entry: "e", Key: "k", Begin: 1, End: second, NotRun: true},
			{ID: "c", Entry: "e", Key: "k", Begin: 1, End: second, Cut: true},
		},
		Served:      []audit.Served{{ID: "r", Endpoint: "w", Count: 1, Begin: second}},
		Leaves:      []audit.Leave{{Endpoint: "w", At: 1}},
		Withdrawals: []audit.Withdrawal{{Key: "k", At: second}},
		Stops:       []audit.Stop{{Entry: "e", Begin: 3 * second, End: 4 * second}},
		Accepted:    []audit.Accepted{{Revision: 2, At: second}},
		Seen:        []audit.Seen{{Entry: "e", Revision: 1, At: 2 * second}, {Entry: "e", Revision: 2, At: 6 * second}},
		Ended:       true,
	}
}

// Guards against a checker that reports a violation where there is none.
func TestRightHistory(t *testing.T) {
	for _, f := range audit.Check(validHistory()) {
		t.Error(f)
	}
}

// Guards against a checker that misses a violation of an invariant.
func TestWrongHistories(t *testing.T) {
	small := fold.Resources{CPU: 1, Memory: 1}
	tests := []struct {
		name      string
		invariant int
		spoil     func(*audit.History)
	}{
		{"accepted task never ran", audit.LostTasks, func(h *audit.History) { h.Runs = h.Runs[1:] }},
		{"accepted task was lost on the way", audit.LostTasks, func(h *audit.History) { h.Runs[0].State = fold.UnknownOutcome }},
		{"capacity exceeded", 1, func(h *audit.History) { h.Capacity["w"] = fold.Resources{CPU: 999, Memory: 1000} }},
		{"two places at once", 2, func(h *audit.History) { h.Runs[2].Begin = second - 1 }},
		{"still running elsewhere", 2, func(h *audit.History) { h.Runs[1].End = 0 }},
		{"other team", 3, func(h *audit.History) { h.Jobs[0].KeyTeam = "other" }},
		{"job under a withdrawn key", 3, func(h *audit.History) { h.Jobs[0].At = 6 * second }},
		{"request under a withdrawn key", 3, func(h *audit.History) { h.Tries[0].Begin = 6 * second }},
		{"limit exceeded", 4, func(h *audit.History) { h.Limits[0].Limit = fold.Resources{CPU: 1000, Memory: 999} }},
		{"start after a lowered limit", 4, func(h *audit.History) {
			h.Limits = append(h.Limits, audit.Limit{Team: "crews", Limit: small, From: 2})
			h.Runs[2].Begin, h.Runs[2].End = 6*second, 7*second
		}},
		{"answer of another request", 5, func(h *audit.History) { h.Tries[0].AnswerID = "s" }},
		{"half an answer", 5, func(h *audit.History) { h.Tries[0].Answer = "who" }},
		{"refused request ran", 6, func(h *audit.History) { h.Served[0].ID = "n" }},
		{"refused job ran", 6, func(h *audit.History) { h.Jobs[0].NotRun = true }},
		{"request ran twice", 7, func(h *audit.History) { h.Served[0].Count = 2 }},
		{"task ran again after it was stopped", 7, func(h *audit.History) { h.Runs[1].State = fold.Stopped }},
		{"request to an endpoint that left", 8, func(h *audit.History) { h.Served[0].Begin = 6 * second }},
		{"planned stop cut a request", 9, func(h *audit.History) { h.Stops[0].Begin = second / 2 }},
		{"revision went back", 10, func(h *audit.History) {
			h.Seen = append(h.Seen, audit.Seen{Entry: "e", Revision: 1, At: 6 * second})
			h.Accepted = nil
		}},
		{"revision not in force in time", 10, func(h *audit.History) { h.Seen[0].At = 6 * second }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := validHistory()
			tt.spoil(&h)
			found := false
			for _, f := range audit.Check(h) {
				found = found || f.Invariant == tt.invariant
			}
			if !found {
				t.Errorf("the expected violation is not among the findings %v", audit.Check(h))
			}
		})
	}
}
