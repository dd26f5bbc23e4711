package entry

import (
	"fmt"
	"testing"

	"plantainfold.example/fold"
	"plantainfold.example/fold/owner"
)

func workersIn(domain, rack string, count int) []fold.Instance {
	var list []fold.Instance
	for n := range count {
		list = append(list, fold.Instance{Name: fmt.Sprintf("%s-%s-%d", domain, rack, n), Role: fold.RoleWorker, Domain: domain, Rack: rack})
	}
	return list
}

// Guards against a worker that is used before it is recorded, so that the next owner of its pool would not know of it.
func TestUnrecordedWorkerHasNoPool(t *testing.T) {
	row := rackRow{Domain: "a", Rack: "r0", Pool: "a-0", Workers: map[string]string{"a-r0-0": ""}}
	l := newLayout([]owner.Versioned[rackRow]{{Key: row.key(), Version: 7, Value: row}}, 2)
	list := workersIn("a", "r0", 2)
	if got := l.poolOf(list[0]); got != "a-0" {
		t.Errorf("recorded worker is in pool %q", got)
	}
	if got := l.poolOf(list[1]); got != "" {
		t.Errorf("unrecorded worker is in pool %q", got)
	}
	rows := l.unrecorded(list)
	if len(rows) != 1 || len(rows[0].Workers) != 2 || rows[0].Pool != "a-0" {
		t.Fatalf("rows to write: %+v", rows)
	}
	l.add(rows[0], 8)
	if got := l.poolOf(list[1]); got != "a-0" || len(l.pools["a-0"]) != 1 {
		t.Errorf("after recording: pool %q, %d racks", got, len(l.pools["a-0"]))
	}
}

// Guards against pools with more racks than the manifest permits, or with racks of several failure domains.
func TestNewRacksFillPools(t *testing.T) {
	l := newLayout(nil, 2)
	var list []fold.Instance
	for _, domain := range []string{"a", "b"} {
		for rack := range 5 {
			list = append(list, workersIn(domain, fmt.Sprintf("r%d", rack), 3)...)
		}
	}
	racks := make(map[string]int)
	domains := make(map[string]string)
	for _, row := range l.unrecorded(list) {
		racks[row.Pool]++
		if other, ok := domains[row.Pool]; ok && other != row.Domain {
			t.Errorf("pool %s has racks of %s and %s", row.Pool, other, row.Domain)
		}
		domains[row.Pool] = row.Domain
	}
	if len(racks) != 6 {
		t.Errorf("%d pools, want 3 in each of 2 failure domains", len(racks))
	}
	for pool, n := range racks {
		if n > 2 {
			t.Errorf("pool %s has %d racks, want at most 2", pool, n)
		}
	}
}
