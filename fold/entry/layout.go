package entry

import (
	"fmt"

	"plantainfold.example/fold"
	"plantainfold.example/fold/owner"
	"plantainfold.example/fold/store"
)

// rackRow is the row rack/<domain>/<rack>: the pool to which a rack belongs for good.
type rackRow struct {
	Region string `json:"region"`
	Domain string `json:"domain"`
	Rack   string `json:"rack"`
	Pool   string `json:"pool"`
}

func (r rackRow) key() string {
	return rackKey(r.Domain, r.Rack)
}

func rackKey(domain, rack string) string {
	return store.RackPrefix + domain + "/" + rack
}

// layout is the assignment of racks to pools.
type layout struct {
	racksPerPool int
	racks        map[string]rackRow
	pools        map[string][]rackRow
}

func newLayout(rows []owner.Seen[rackRow], racksPerPool int) *layout {
	l := &layout{racksPerPool: racksPerPool, racks: make(map[string]rackRow), pools: make(map[string][]rackRow)}
	for _, row := range rows {
		l.add(row.Value)
	}
	return l
}

func (l *layout) add(r rackRow) {
	l.racks[r.key()] = r
	l.pools[r.Pool] = append(l.pools[r.Pool], r)
}

// poolOf returns the pool of a worker, or "" if its rack has none.
func (l *layout) poolOf(in fold.Instance) string {
	return l.racks[rackKey(in.Domain, in.Rack)].Pool
}

// choose returns the row for a new rack: the first pool of its domain with room, or a new one.
func (l *layout) choose(in fold.Instance) rackRow {
	row := rackRow{Region: in.Region, Domain: in.Domain, Rack: in.Rack}
	for n := 0; ; n++ {
		row.Pool = fmt.Sprintf("%s-%d", in.Domain, n)
		if len(l.pools[row.Pool]) < l.racksPerPool {
			return row
		}
	}
}

// specs describes the pools that must have an owner.
func (l *layout) specs() []owner.Spec {
	specs := make([]owner.Spec, 0, len(l.pools))
	for id, racks := range l.pools {
		specs = append(specs, owner.Spec{ID: store.PoolPrefix + id, Region: racks[0].Region, Domain: racks[0].Domain})
	}
	return specs
}
