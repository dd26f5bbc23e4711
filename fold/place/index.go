package place

import "plantainfold.example/fold"

// Index holds the free capacity of workers. The cost of a choice does not grow with their number.
type Index struct {
	nodes    map[string]*slot
	order    []*slot
	racks    map[string]*rack
	grid     grid
	capacity fold.Resources
	used     fold.Resources
	// shapes counts the workers of each capacity.
	shapes map[fold.Resources]int
	// grown counts increases of free capacity; recent is a ring of the workers behind the last of them.
	grown    uint64
	recent   []*slot
	misses   map[fold.Resources]uint64
	examined int
	// apart keeps work without accelerators off workers with them, if it fits others when they are idle.
	apart bool
}

// New returns an empty index.
func New() *Index {
	return &Index{
		nodes:  make(map[string]*slot),
		racks:  make(map[string]*rack),
		shapes: make(map[fold.Resources]int),
		misses: make(map[fold.Resources]uint64),
	}
}

// Add adds a worker or updates its capacity; what is committed on a known worker stays.
func (x *Index) Add(n Node) {
	s, ok := x.nodes[n.Name]
	if ok {
		x.capacity = x.capacity.Sub(s.Capacity).Add(n.Capacity)
		x.shape(s.Capacity, -1)
		x.change(s, func() { s.Capacity = n.Capacity })
		x.shape(s.Capacity, 1)
		return
	}
	s = &slot{Node: n, at: len(x.order)}
	x.nodes[n.Name] = s
	x.order = append(x.order, s)
	x.join(s)
	x.capacity = x.capacity.Add(n.Capacity)
	x.used = x.used.Add(n.Used)
	x.shape(n.Capacity, 1)
	x.grid.put(s)
	x.grew(s)
}

// Remove drops a worker.
func (x *Index) Remove(name string) {
	s, ok := x.nodes[name]
	if !ok {
		return
	}
	x.grid.drop(s)
	x.leave(s)
	delete(x.nodes, name)
	last := len(x.order) - 1
	x.order[s.at] = x.order[last]
	x.order[s.at].at = s.at
	x.order[last] = nil
	x.order = x.order[:last]
	x.capacity = x.capacity.Sub(s.Capacity)
	x.used = x.used.Sub(s.Used)
	x.shape(s.Capacity, -1)
}

// Node returns a worker.
func (x *Index) Node(name string) (Node, bool) {
	s, ok := x.nodes[name]
	if !ok {
		return Node{}, false
	}
	return s.Node, true
}

// Len returns the number of workers.
func (x *Index) Len() int {
	return len(x.order)
}

// At returns the i-th worker and why it is closed; the order changes only when workers come and go.
func (x *Index) At(i int) (Node, Reason) {
	s := x.order[i]
	return s.Node, s.closed
}

// Closed returns why a worker is closed, or 0.
func (x *Index) Closed(name string) Reason {
	if s, ok := x.nodes[name]; ok {
		return s.closed
	}
	return Absent
}

// Close stops choices of a worker for a reason.
func (x *Index) Close(name string, why Reason) {
	if s, ok := x.nodes[name]; ok && s.closed&why == 0 {
		s.closed |= why
		x.grid.drop(s)
	}
}

// Open ends one reason for which a worker is closed.
func (x *Index) Open(name string, why Reason) {
	s, ok := x.nodes[name]
	if !ok || s.closed&why == 0 {
		return
	}
	s.closed &^= why
	if s.closed == 0 {
		x.grid.put(s)
		x.grew(s)
	}
}

// Commit commits r on a worker, closed or not; it reports false and changes nothing if r does not fit.
func (x *Index) Commit(name string, r fold.Resources) bool {
	s, ok := x.nodes[name]
	if !ok || !r.Fits(s.Free()) {
		return false
	}
	x.ForceCommit(name, r)
	return true
}

// ForceCommit commits r on a worker that already runs it, even beyond its capacity.
func (x *Index) ForceCommit(name string, r fold.Resources) {
	s, ok := x.nodes[name]
	if !ok {
		return
	}
	x.used = x.used.Add(r)
	x.move(s, func() { s.Used = s.Used.Add(r) })
}

// Release returns r to a worker.
func (x *Index) Release(name string, r fold.Resources) {
	s, ok := x.nodes[name]
	if !ok {
		return
	}
	x.used = x.used.Sub(r)
	x.change(s, func() { s.Used = s.Used.Sub(r) })
}

// change alters a worker whose free capacity may grow.
func (x *Index) change(s *slot, alter func()) {
	x.move(s, alter)
	x.grew(s)
}

// move alters a worker and puts it into the cell of its new free capacity.
func (x *Index) move(s *slot, alter func()) {
	x.grid.drop(s)
	alter()
	if s.closed == 0 {
		x.grid.put(s)
	}
}

// SetReserveAccel keeps work without accelerators off workers with them, or ends that. It does not bind work that only workers
// with accelerators are large enough for.
func (x *Index) SetReserveAccel(apart bool) {
	if x.apart != apart {
		x.apart = apart
		clear(x.misses)
	}
}

// MustAvoidAccel reports whether a task of size r must stay off workers with accelerators now.
func (x *Index) MustAvoidAccel(r fold.Resources) bool {
	if !x.apart || r.Accel > 0 {
		return false
	}
	for capacity := range x.shapes {
		if capacity.Accel == 0 && r.Fits(capacity) {
			return true
		}
	}
	return false
}

// Largest returns the largest capacity of any worker in each dimension.
func (x *Index) Largest() fold.Resources {
	var largest fold.Resources
	for capacity := range x.shapes {
		largest = largest.Max(capacity)
	}
	return largest
}

// IdleSlots returns how many tasks of size r all workers together could hold if they were idle, at most limit.
func (x *Index) IdleSlots(r fold.Resources, limit int) int {
	room := 0
	for capacity, count := range x.shapes {
		room = min(limit, room+count*int(min(Node{Capacity: capacity}.Slots(r), int64(limit))))
	}
	return room
}

func (x *Index) shape(capacity fold.Resources, n int) {
	x.shapes[capacity] += n
	if x.shapes[capacity] == 0 {
		delete(x.shapes, capacity)
	}
}

// Totals returns the capacity and the committed part of all workers.
func (x *Index) Totals() (fold.Resources, fold.Resources) {
	return x.capacity, x.used
}
