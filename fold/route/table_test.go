package route_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"plantainfold.example/fold"
	"plantainfold.example/fold/route"
)

const seed = 3

func newEndpoints(count int) []fold.Instance {
	var all []fold.Instance
	for n := range count {
		all = append(all, fold.Instance{
			Name: fmt.Sprintf("endpoint-%d", n), Domain: fmt.Sprint(n % 3), Region: fmt.Sprint(n % 2), State: fold.Live, Slots: 8,
		})
	}
	return all
}

func newTable(endpoints []fold.Instance) *route.Table {
	t := route.New("0", rand.New(rand.NewPCG(seed, seed)))
	t.Update(0, endpoints)
	return t
}

var (
	idle   = route.Report{Outcome: route.Served, Slots: 8, Took: 20 * time.Millisecond}
	failed = route.Report{Outcome: route.Failed}
)

// sendOne sends one request and returns the name of its endpoint.
func sendOne(t *testing.T, table *route.Table, report func(name string) route.Report) string {
	t.Helper()
	in, ok := table.Acquire(0, nil)
	if !ok {
		t.Fatal("no open endpoint")
	}
	table.Release(0, in.Name, report(in.Name))
	return in.Name
}

// fillAndRelease acquires endpoints until none is open and releases them as idle. It returns how many requests each had.
func fillAndRelease(table *route.Table, now fold.Instant) map[string]int {
	held := make(map[string]int)
	for {
		in, ok := table.Acquire(now, nil)
		if !ok {
			break
		}
		held[in.Name]++
	}
	for name, n := range held {
		for range n {
			table.Release(now, name, idle)
		}
	}
	return held
}

// Guards against requests that are still sent to failing endpoints, and against ejections that leave too few endpoints.
func TestEjectionIsCapped(t *testing.T) {
	table := newTable(newEndpoints(20))
	bad := func(name string) route.Report {
		if name < "endpoint-15" || name > "endpoint-9" {
			return failed
		}
		return idle
	}
	for range 20_000 {
		sendOne(t, table, bad)
	}
	seen := fillAndRelease(table, 0)
	if len(seen) < 16 {
		t.Errorf("seed %d: %d of 20 endpoints take requests, want at least 16", seed, len(seen))
	}
	t.Logf("%d of 20 endpoints take requests although more fail, bound >= 16", len(seen))
}

// Guards against an ejected endpoint that receives requests at once or never again, and against full load on probation.
func TestProbation(t *testing.T) {
	table := newTable(newEndpoints(5))
	bad := ""
	for range 500 {
		sendOne(t, table, func(name string) route.Report {
			if bad == "" {
				bad = name
			}
			if name == bad {
				return failed
			}
			return idle
		})
	}
	now := fold.Instant(0)
	for _, step := range []struct {
		after time.Duration
		want  int
	}{{0, 0}, {2 * time.Second, 1}, {0, 1}, {0, 1}, {0, route.MaxInflightPerEndpoint}} {
		now = now.Add(step.after)
		if got := fillAndRelease(table, now)[bad]; got < min(step.want, 2) || got > step.want {
			t.Errorf("after %s: %d requests at the endpoint that failed, want %d", step.after, got, step.want)
		}
	}
}

// Guards against the ejection of healthy endpoints because callers use very short deadlines.
func TestShortDeadlineDoesNotEject(t *testing.T) {
	table := newTable(newEndpoints(2))
	for range 100 {
		sendOne(t, table, func(string) route.Report { return route.Report{Outcome: route.Expired, Took: time.Millisecond} })
	}
	seen := fillAndRelease(table, 0)
	if len(seen) != 2 {
		t.Errorf("seed %d: %d of 2 endpoints take requests", seed, len(seen))
	}
}

// Guards against new requests to a leaving endpoint, against a Release that is credited to another endpoint, and against
// state that is kept for removed endpoints.
func TestLeavingGetsNothingNew(t *testing.T) {
	endpoints := newEndpoints(3)
	table := newTable(endpoints)
	in, _ := table.Acquire(0, nil)
	for n := range endpoints {
		if endpoints[n].Name == in.Name {
			endpoints[n].State = fold.Leaving
		}
	}
	table.Update(0, endpoints)
	for range 100 {
		if at := sendOne(t, table, func(string) route.Report { return idle }); at == in.Name {
			t.Fatalf("request sent to the leaving endpoint %s", at)
		}
	}
	table.Release(0, in.Name, idle)
	if table.LiveCount() != 2 {
		t.Errorf("%d live endpoints, want 2", table.LiveCount())
	}
}

// Guards against more requests in flight than MaxInflightPerEndpoint, and against remote endpoints that are used while local
// ones have little load.
func TestLoadIsBounded(t *testing.T) {
	table := newTable(newEndpoints(6))
	for range route.MaxInflightPerEndpoint {
		fillAndRelease(table, 0)
	}
	held, near := make(map[string]int), 0
	for n := range 6 * route.MaxInflightPerEndpoint {
		in, ok := table.Acquire(0, nil)
		if !ok {
			t.Fatalf("no open endpoint after %d requests", n)
		}
		held[in.Name]++
		if n < 2 && in.Domain == "0" {
			near++
		}
	}
	for name, n := range held {
		if n > route.MaxInflightPerEndpoint {
			t.Errorf("%d requests at %s, want at most %d", n, name, route.MaxInflightPerEndpoint)
		}
	}
	if _, ok := table.Acquire(0, nil); ok || near != 2 {
		t.Errorf("open endpoint beyond the window: %v, local endpoints among the first two: %d; want false and 2", ok, near)
	}
}

// Guards against a retry that is sent to the endpoint that refused the request while another endpoint is open.
func TestAvoidedIsLastChoice(t *testing.T) {
	table := newTable(newEndpoints(2))
	for range 10 {
		in, _ := table.Acquire(0, map[string]bool{"endpoint-0": true})
		if in.Name != "endpoint-1" {
			t.Fatalf("Acquire chose the avoided endpoint %s", in.Name)
		}
		table.Release(0, in.Name, idle)
	}
	if in, ok := table.Acquire(0, map[string]bool{"endpoint-0": true, "endpoint-1": true}); !ok {
		t.Errorf("no open endpoint (%q) although two endpoints are idle", in.Name)
	}
}

// Guards against endpoints that get more entries than they have connections for or too few entries, and against a subset
// that changes for most endpoints when one entry leaves.
func TestSubset(t *testing.T) {
	var entries []fold.Instance
	for n := range 108 {
		entries = append(entries, fold.Instance{Name: fmt.Sprintf("entry-%d", n), Region: fmt.Sprint(n % 2)})
	}
	endpoints := newEndpoints(100)
	count := func(entries []fold.Instance) (map[string]int, map[string]bool) {
		served, pairs := make(map[string]int), make(map[string]bool)
		for _, e := range entries {
			for _, in := range route.Subset(e.Name, entries, endpoints) {
				served[in.Name]++
				pairs[e.Name+" "+in.Name] = true
				if e.Region != in.Region {
					t.Fatalf("%s of region %s serves %s of region %s", e.Name, e.Region, in.Name, in.Region)
				}
			}
		}
		return served, pairs
	}
	served, before := count(entries)
	for _, in := range endpoints {
		if served[in.Name] != route.EntriesPerEndpoint {
			t.Errorf("%s is served by %d entries, want %d", in.Name, served[in.Name], route.EntriesPerEndpoint)
		}
	}
	_, after := count(entries[1:])
	moved := 0
	for pair := range after {
		if !before[pair] {
			moved++
		}
	}
	if bound := 2 * len(before) / len(entries); moved > 2*bound {
		t.Errorf("%d of %d pairs are new after one of %d entries left, want at most %d", moved, len(before), len(entries), 2*bound)
	}
	if got := route.Subset("entry-0", entries[:16], endpoints); len(got) != len(endpoints) {
		t.Errorf("one of 16 entries serves %d of %d endpoints", len(got), len(endpoints))
	}
}

// Guards against more retries than the given fraction of requests.
func TestBudgetIsFraction(t *testing.T) {
	b := route.NewBudget(0.1, 10)
	retries := 0
	for range 1000 {
		b.Earn()
		for b.Spend() {
			retries++
		}
	}
	if retries < 100 || retries > 110 {
		t.Errorf("%d retries for 1000 requests, want 100 and the 10 saved at the start", retries)
	}
}
