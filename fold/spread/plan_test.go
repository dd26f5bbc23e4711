package spread_test

import (
	"strconv"
	"testing"

	"pgregory.net/rapid"

	"plantainfold.example/fold"
	"plantainfold.example/fold/spread"
)

// Guards against tasks that are lost, doubled or sent to a pool that can never run them, and against a gang cut in two.
func TestPlanCoversEveryTaskOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		job := fold.Job{
			Kind:      rapid.SampledFrom([]fold.Kind{fold.Batch, fold.Gang, fold.Service}).Draw(t, "kind"),
			Count:     rapid.IntRange(1, 500).Draw(t, "count"),
			Resources: fold.Resources{CPU: rapid.Int64Range(1, 20).Draw(t, "cpu"), Memory: 1},
		}
		fits := make(map[string]bool)
		var rooms []spread.Room
		for n := range rapid.IntRange(0, 8).Draw(t, "pools") {
			r := spread.Room{
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
					t.Fatalf("no part although pool %s can hold a task", pool)
				}
			}
			return
		}
		next := 0
		seen := make(map[string]bool)
		for _, part := range plan {
			if part.FirstTask != next || part.Count < 1 || seen[part.Pool] || !fits[part.Pool] {
				t.Fatalf("part %+v after task %d", part, next)
			}
			seen[part.Pool] = true
			next += part.Count
		}
		if next != job.Count {
			t.Fatalf("parts hold %d tasks of %d", next, job.Count)
		}
		if job.Kind == fold.Gang && len(plan) != 1 {
			t.Fatalf("gang cut into %d parts", len(plan))
		}
	})
}

// Guards against replicas of a service that all fall with one failure domain.
func TestServiceIsSpreadOverDomains(t *testing.T) {
	worker := fold.Resources{CPU: 100, Memory: 100}
	var rooms []spread.Room
	for n := range 6 {
		rooms = append(rooms, spread.Room{Pool: strconv.Itoa(n), Domain: strconv.Itoa(n / 2), Free: worker, Capacity: worker, Largest: worker})
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
