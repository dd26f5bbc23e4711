package flow_test

import (
	"strings"
	"testing"
	"time"

	"plantainfold.example/fold"
	"plantainfold.example/fold/flow"
)

// Guards against a job that is accepted although it can never be kept or run as it says.
func TestCheck(t *testing.T) {
	one := flow.Step{Count: 1}
	cases := []struct {
		name string
		job  flow.Job
		ok   bool
	}{
		{"plain", flow.Job{Steps: []flow.Step{one, {Count: 2, After: []int{0}}}}, true},
		{"no steps", flow.Job{}, false},
		{"no tasks", flow.Job{Steps: []flow.Step{{}}}, false},
		{"waits for itself", flow.Job{Steps: []flow.Step{{Count: 1, After: []int{0}}}}, false},
		{"waits for a later step", flow.Job{Steps: []flow.Step{{Count: 1, After: []int{1}}, one}}, false},
		{"negative size", flow.Job{Steps: []flow.Step{{Count: 1, Size: fold.Resources{CPU: -1}}}}, false},
		{"absurd count", flow.Job{Steps: []flow.Step{{Count: flow.MaxTasks + 1}}}, false},
		{"long specification", flow.Job{Spec: strings.Repeat("x", flow.MaxSpec+1), Steps: []flow.Step{one}}, false},
		{"schedule without interval", flow.Job{Times: 2, Steps: []flow.Step{one}}, false},
		{"schedule", flow.Job{Times: 2, Every: 1000, Steps: []flow.Step{one}}, true},
	}
	for _, c := range cases {
		if err := c.job.Validate(); (err == nil) != c.ok {
			t.Errorf("%s: error %v", c.name, err)
		}
	}
}

// Guards against names of tasks that are read as others, and a chain that ignores steps side by side.
func TestNamesAndChain(t *testing.T) {
	name := flow.TaskName{Job: "5c0e7a21d94b36f8", Occurrence: 2, Step: 1, Index: 17}
	if got, ok := flow.ParseTaskName(name.String()); !ok || got != name {
		t.Errorf("read %+v from %s", got, name)
	}
	for _, bad := range []string{"", "a", "a.1.2", "a.1.2.x", "a.1.-2.3", ".1.2.3"} {
		if _, ok := flow.ParseTaskName(bad); ok {
			t.Errorf("%q was read as a task", bad)
		}
	}
	job := flow.Job{Steps: []flow.Step{{Estimate: 100}, {Estimate: 300}, {Estimate: 50, After: []int{0, 1}}}}
	if chain := job.CriticalPath(); chain != 350*time.Millisecond {
		t.Errorf("chain %s, want 350ms", chain)
	}
}
