package spread_test

import (
	"strconv"
	"testing"

	"pgregory.net/rapid"

	"plantainfold.example/fold"
	"plantainfold.example/fold/spread"
)

// Guards against a plan that loses or duplicates tasks, sends them to a pool that can never run them, or splits a gang.
func TestPlanCoversEveryTaskOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		job := fold.Job{
			Kind:      rapid.SampledFrom([]fold.Kind{fold.Batch, fold.Gang, fold.Service}).Draw(t, "kind"),
			Count:     rapid.IntRange(1, 500).Draw(t, "count"),
			Resources: fold.Resources{CPU: rapid.Int64Range(1, 20).Draw(t, "cpu"), Memory: 1},
		}
		fits := make(map[string]bool)
		var rooms []spread.PoolCapacity
		for n := range rapid.IntRange(0, 8).Draw(t, "pools") {
			r := spread.PoolCapacity{
				Pool:    strconv.Itoa(n),
				Domain:  strconv.Itoa(n % 3),
				Free:    fold.Resources{CPU: rapid.Int64Range(0, 300).Draw(t, "free"), Memory: 1000},
				Largest: fold.Resources{CPU: rapid.Int64Range(0, 25).Draw(t, "largest"), Memory: 100},
				Waiting: rapid.IntRange(0, 50).Draw(t, "waiting"),
			}
			r.Capacity = fold.Resources{CPU: rapid.Int64Range(0, 10_000).Draw(t, "capacity"), Memory: 1000}
			whole := job.Resources.Times(int64(job.Count)).Fits(r.Capacity)
			fits[r.Pool] = job.Resources.Fits(r.Largest) && (whole || job.Kind != fold.Gang)
			rooms = append(rooms, r)
		}
		plan := spread.Plan(job, rooms)
		if len(plan) == 0 {
			for pool, ok := range fits {
				if ok {
					t.Fatalf("empty plan although pool %s could run the job", pool)
				}
			}
			return
		}
		next := 0
		seen := make(map[string]bool)
		for _, part := range plan {
			if part.FirstTask != next || part.Count < 1 || seen[part.Pool] || !fits[part.Pool] {
				t.Fatalf("invalid part %+v, want the next part to begin at task %d", part, next)
			}
			seen[part.Pool] = true
			next += part.Count
		}
		if next != job.Count {
			t.Fatalf("parts contain %d of %d tasks", next, job.Count)
		}
		if job.Kind == fold.Gang && len(plan) != 1 {
			t.Fatalf("gang was split into %d parts", len(plan))
		}
	})
}

// Guards against a service whose replicas all lie in one failure domain and fail with it.
func TestServiceIsSpreadOverDomains(t *testing.T) {
	worker := fold.Resources{CPU: 100, Memory: 100}
	var rooms []spread.PoolCapacity
	for n := range 6 {
		rooms = append(rooms, spread.PoolCapacity{Pool: strconv.Itoa(n), Domain: strconv.Itoa(n / 2), Free: worker, Capacity: worker, Largest: worker})
	}
	plan := spread.Plan(fold.Job{Kind: fold.Service, Count: 3, Resources: fold.Resources{CPU: 1, Memory: 1}}, rooms)
	domains := make(map[string]int)
	for _, part := range plan {
		n, err := strconv.Atoi(part.Pool)
		if err != nil {
			t.Fatal(err)
		}
		domains[strconv.Itoa(n/2)] += part.Count
	}
	if len(domains) != 3 {
		t.Errorf("3 replicas lie in %d failure domains: %v", len(domains), plan)
	}
}
