package entry

import (
	"fmt"
	"maps"
	"slices"

	"plantainfold.example/fold"
	"plantainfold.example/fold/owner"
	"plantainfold.example/fold/store"
)

// rackRow is the row rack/<domain>/<rack>, which records the pool and the workers of a rack. The pool never changes.
type rackRow struct {
	Region string `json:"region"`
	Domain string `json:"domain"`
	Rack   string `json:"rack"`
	Pool   string `json:"pool"`
	// Workers holds the last known boot id of each worker by name.
	Workers map[string]string `json:"workers"`
}

func (r rackRow) key() string {
	return rackKey(r.Domain, r.Rack)
}

// withWorker returns the row with the boot id of a worker.
func (r rackRow) withWorker(name, boot string) rackRow {
	workers := maps.Clone(r.Workers)
	if workers == nil {
		workers = make(map[string]string)
	}
	workers[name] = boot
	r.Workers = workers
	return r
}

// withoutWorker returns the row without a worker.
func (r rackRow) withoutWorker(name string) rackRow {
	workers := maps.Clone(r.Workers)
	delete(workers, name)
	r.Workers = workers
	return r
}

func rackKey(domain, rack string) string {
	return store.RackPrefix + domain + "/" + rack
}

// layout is the assignment of racks and workers to pools.
type layout struct {
	// racksPerPool is the number of racks after which a pool gets no more.
	racksPerPool int
	// racks holds the rows by key.
	racks map[string]rackRow
	// versions holds the version of each row by key.
	versions map[string]int64
	// pools holds the rows of each pool by the id of the pool.
	pools map[string][]rackRow
}

// newLayout returns the layout that the rows record. Only unrecorded uses racksPerPool.
func newLayout(rows []owner.Versioned[rackRow], racksPerPool int) *layout {
	l := &layout{
		racksPerPool: racksPerPool,
		racks:        make(map[string]rackRow),
		versions:     make(map[string]int64),
		pools:        make(map[string][]rackRow),
	}
	for _, row := range rows {
		l.add(row.Value, row.Version)
	}
	return l
}

// add adds the row of a rack, or replaces it.
func (l *layout) add(r rackRow, version int64) {
	l.racks[r.key()] = r
	l.versions[r.key()] = version
	racks := slices.DeleteFunc(l.pools[r.Pool], func(old rackRow) bool { return old.key() == r.key() })
	l.pools[r.Pool] = append(racks, r)
}

// poolOf returns the pool in which a worker is recorded, or "" if it is not recorded.
func (l *layout) poolOf(in fold.Instance) string {
	row := l.racks[rackKey(in.Domain, in.Rack)]
	if _, recorded := row.Workers[in.Name]; !recorded {
		return ""
	}
	return row.Pool
}

// workersOf returns the workers that are recorded in a pool, with their boot ids.
func (l *layout) workersOf(pool string) map[string]string {
	workers := make(map[string]string)
	for _, rack := range l.pools[pool] {
		maps.Copy(workers, rack.Workers)
	}
	return workers
}

// unrecorded returns the rows to write so that all listed workers are recorded. A new rack goes to the first pool of its
// failure domain that has fewer than racksPerPool racks, or to a new pool.
func (l *layout) unrecorded(instances []fold.Instance) []rackRow {
	changed := make(map[string]rackRow)
	var order []string
	for _, in := range instances {
		if in.Role != fold.RoleWorker || l.poolOf(in) != "" {
			continue
		}
		key := rackKey(in.Domain, in.Rack)
		row, ok := changed[key]
		if !ok {
			row = l.rowFor(in)
			order = append(order, key)
		}
		row = row.withWorker(in.Name, "")
		changed[key] = row
	}
	rows := make([]rackRow, 0, len(order))
	for _, key := range order {
		rows = append(rows, changed[key])
	}
	return rows
}

// rowFor returns the row of a worker's rack, and selects a pool if the rack is new.
func (l *layout) rowFor(in fold.Instance) rackRow {
	if row, ok := l.racks[rackKey(in.Domain, in.Rack)]; ok {
		return row
	}
	row := rackRow{Region: in.Region, Domain: in.Domain, Rack: in.Rack}
	for n := 0; row.Pool == ""; n++ {
		pool := fmt.Sprintf("%s-%d", in.Domain, n)
		if len(l.pools[pool]) < l.racksPerPool {
			row.Pool = pool
		}
	}
	// The rack is counted at once, so that other new racks of the same call do not overfill the pool.
	l.pools[row.Pool] = append(l.pools[row.Pool], row)
	return row
}

// specs describes the pools that must have an owner.
func (l *layout) specs() []owner.Spec {
	specs := make([]owner.Spec, 0, len(l.pools))
	for id, racks := range l.pools {
		specs = append(specs, owner.Spec{ID: store.PoolPrefix + id, Region: racks[0].Region, Domain: racks[0].Domain})
	}
	return specs
}
