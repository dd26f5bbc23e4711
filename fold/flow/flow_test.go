package flow_test

import (
	"math"
	"slices"
	"strings"
	"testing"
	"time"

	"plantainfold.example/fold"
	"plantainfold.example/fold/flow"
)

// Guards against accepting a job that cannot be stored or run as specified.
func TestCheck(t *testing.T) {
	one := flow.Step{Count: 1}
	cases := []struct {
		name string
		job  flow.Job
		ok   bool
	}{
		{"valid steps", flow.Job{Steps: []flow.Step{one, {Count: 2, After: []int{0}}}}, true},
		{"no steps", flow.Job{}, false},
		{"no tasks", flow.Job{Steps: []flow.Step{{}}}, false},
		{"step depends on itself", flow.Job{Steps: []flow.Step{{Count: 1, After: []int{0}}}}, false},
		{"step depends on a later one", flow.Job{Steps: []flow.Step{{Count: 1, After: []int{1}}, one}}, false},
		{"negative size", flow.Job{Steps: []flow.Step{{Count: 1, Size: fold.Resources{CPU: -1}}}}, false},
		{"too many tasks", flow.Job{Steps: []flow.Step{{Count: flow.MaxTasks + 1}}}, false},
		{"sum of the counts overflows", flow.Job{Steps: []flow.Step{{Count: math.MaxInt64}, {Count: math.MaxInt64}}}, false},
		{"size that overflows sums", flow.Job{Steps: []flow.Step{{Count: 2, Size: fold.Resources{Memory: math.MaxInt64}}}}, false},
		{"estimate that overflows durations", flow.Job{Steps: []flow.Step{{Count: 1, Estimate: math.MaxInt64}}}, false},
		{"due time overflows", flow.Job{Times: 2, Start: math.MaxInt64, Every: 1000, Steps: []flow.Step{one}}, false},
		{"interval overflows", flow.Job{Times: 3, Every: math.MaxInt64, Steps: []flow.Step{one}}, false},
		{"too many steps in all occurrences", flow.Job{Times: flow.MaxTimes, Every: 1, Steps: slices.Repeat([]flow.Step{one}, flow.MaxSteps)}, false},
		{"specification too long", flow.Job{Spec: strings.Repeat("x", flow.MaxSpec+1), Steps: []flow.Step{one}}, false},
		{"schedule without interval", flow.Job{Times: 2, Steps: []flow.Step{one}}, false},
		{"schedule", flow.Job{Times: 2, Every: 1000, Steps: []flow.Step{one}}, true},
	}
	for _, c := range cases {
		if err := c.job.Validate(); (err == nil) != c.ok {
			t.Errorf("%s: error %v", c.name, err)
		}
	}
}

// Guards against task names that are parsed as other names, and against a critical path that ignores parallel steps.
func TestNamesAndChain(t *testing.T) {
	name := flow.TaskName{Job: "5c0e7a21d94b36f8", Occurrence: 2, Step: 1, Index: 17}
	if got, ok := flow.ParseTaskName(name.String()); !ok || got != name {
		t.Errorf("parsed %+v from %s", got, name)
	}
	for _, bad := range []string{"", "a", "a.1.2", "a.1.2.x", "a.1.-2.3", ".1.2.3"} {
		if _, ok := flow.ParseTaskName(bad); ok {
			t.Errorf("%q was parsed as a task name", bad)
		}
	}
	job := flow.Job{Steps: []flow.Step{{Estimate: 100}, {Estimate: 300}, {Estimate: 50, After: []int{0, 1}}}}
	if chain := job.CriticalPath(); chain != 350*time.Millisecond {
		t.Errorf("critical path %s, want 350ms", chain)
	}
}
