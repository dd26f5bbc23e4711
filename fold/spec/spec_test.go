package spec_test

import (
	"strings"
	"testing"

	"plantainfold.example/fold/spec"
)

const base = `{
	"teams": [{"name": "crews", "share": 3, "limit": {"cpu": 8000, "memory": 8192}}],
	"accounts": [{"name": "north", "share": 1}],
	"queues": [{"name": "nightly", "teams": ["crews"]}, {"name": "planning", "teams": ["crews"], "service": "planning"}],
	"services": [{"name": "watch", "team": "crews", "replicas": 2, "resources": {"cpu": 1000, "memory": 1024}}],
	"jobs": [{"name": "rebuild", "queue": "nightly", "team": "crews", "kind": "batch", "count": 4,
		"resources": {"cpu": 1000, "memory": 512}, "duration": "5m", "every": "24h", "at": "3h"}],
	"pool": {"racks": 2},
}`

func parse(t *testing.T, text string) spec.Manifest {
	t.Helper()
	m, err := spec.Parse("manifest", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return m
}

// Guards against a faulty manifest that Parse accepts, or whose error lacks the path or the remedy of the fault.
func TestCheckNamesPathAndRemedy(t *testing.T) {
	parse(t, base)
	for _, c := range []struct{ from, to, path, remedy string }{
		{`"share": 3`, `"share": 0`, "teams[0].share", "weight"},
		{`"share": 1`, `"share": -1`, "accounts[0].share", "weight"},
		{`"name": "north"`, `"name": "no/rth"`, "accounts[0].name", "without slash"},
		{`"replicas": 2`, `"replicas": 9`, "services[0].replicas", "raise the limit"},
		{`"replicas": 2`, `"replicas": -2`, "services[0].replicas", "give 0 to 10000"},
		{`"queue": "nightly"`, `"queue": "daily"`, "jobs[0].queue", "declare it under queues"},
		{`"queue": "nightly"`, `"queue": "planning"`, "jobs[0].queue", "without service"},
		{`"kind": "batch"`, `"kind": "service"`, "jobs[0].kind", "batch or gang"},
		{`"kind": "batch", "count": 4`, `"kind": "gang", "count": 9`, "jobs[0].resources", "raise the limit"},
		{`"count": 4`, `"count": 0`, "jobs[0].count", "1 to 10000"},
		{`"every": "24h"`, `"every": "0s"`, "jobs[0].every", "period"},
		{`"at": "3h"`, `"at": "25h"`, "jobs[0].at", "less than every"},
		{`"duration": "5m"`, `"duration": "0s"`, "jobs[0].duration", "run time"},
		{`"pool": {"racks": 2}`, `"pool": {"racks": 99}`, "pool.racks", "1 to 64"},
		{`"pool": {"racks": 2}`, `"policy": {"packing": -1}`, "policy.packing", "0 or more"},
		{`"pool": {"racks": 2}`, `"retire": [{"kind": "rack", "name": "a", "grace": "1m"}]`, "retire[0].kind", "service, queue or team"},
		{`"pool": {"racks": 2}`, `"retire": [{"kind": "team", "name": "a", "grace": "1m"}, {"kind": "team", "name": "a", "grace": "1m"}]`, "retire[1]", "remove one"},
	} {
		text := strings.Replace(base, c.from, c.to, 1)
		_, err := spec.Parse("manifest", []byte(text))
		if err == nil || !strings.Contains(err.Error(), c.path+":") || !strings.Contains(err.Error(), c.remedy) {
			t.Errorf("%s: got %v, want path %s and remedy %q", c.to, err, c.path, c.remedy)
		}
	}
}

// Guards against a change that removes a service whose accepted work has not been given time to end: CheckChange must
// refuse the removal unless the old or the new manifest retires the service.
func TestChangeKeepsPromises(t *testing.T) {
	old := parse(t, base)
	without := strings.Replace(base, `"services": [{"name": "watch", "team": "crews", "replicas": 2, "resources": {"cpu": 1000, "memory": 1024}}],`, "", 1)
	err := parse(t, without).CheckChange(old)
	if err == nil || !strings.Contains(err.Error(), "services.watch") || !strings.Contains(err.Error(), "retire") {
		t.Errorf("removal of a service without retiring it: got error %v", err)
	}
	retired := strings.Replace(without, `"pool"`, `"retire": [{"kind": "service", "name": "watch", "grace": "1m"}], "pool"`, 1)
	if err := parse(t, retired).CheckChange(old); err != nil {
		t.Errorf("removal of a service that the new manifest retires: %v", err)
	}
	if err := parse(t, without).CheckChange(parse(t, retired)); err != nil {
		t.Errorf("removal of a service that the old manifest retires: %v", err)
	}
}

// Guards against a difference of two manifests that Diff omits: operators would apply it without having seen it.
func TestDiffListsEveryChange(t *testing.T) {
	next := strings.NewReplacer(`"cpu": 8000`, `"cpu": 9000`, `"replicas": 2`, `"replicas": 3`,
		`"accounts": [{"name": "north", "share": 1}],`, "", `"queues": [`, `"queues": [{"name": "extra", "open": true, "team": "crews"}, `).Replace(base)
	changes, err := spec.Diff(parse(t, base), parse(t, next))
	if err != nil {
		t.Fatal(err)
	}
	got := spec.Summary(changes, 4096)
	for _, want := range []string{
		"- accounts.north:", `+ queues.extra: {"name":"extra"`, "~ services.watch.replicas: 2 -> 3", "~ teams.crews.limit.cpu: 8000 -> 9000",
	} {
		if !strings.Contains(got, want) {
			t.Errorf("summary lacks %q: %q", want, got)
		}
	}
	if len(changes) != 4 {
		t.Errorf("got %d changes, want 4: %s", len(changes), got)
	}
	if same, _ := spec.Diff(parse(t, base), parse(t, base)); len(same) != 0 {
		t.Errorf("equal manifests have differences: %v", same)
	}
}
