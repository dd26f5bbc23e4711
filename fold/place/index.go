package place

import "plantainfold.example/fold"

// Index holds the free capacity of workers. Choosing a worker costs the same for any number of them.
type Index struct {
	byName map[string]*worker
	// order holds all workers; At returns them in this order.
	order    []*worker
	racks    map[string]*rack
	grid     grid
	capacity fold.Resources
	used     fold.Resources
	// capacityCounts holds the number of workers of each capacity.
	capacityCounts map[fold.Resources]int
	// growCount counts the increases of free capacity.
	growCount uint64
	// grownWorkers is a ring buffer of the workers of the last increases.
	grownWorkers []*worker
	// misses maps each size that fitted nowhere to growCount at that time. It still fits nowhere on workers that have not
	// grown since.
	misses map[fold.Resources]uint64
	// examined counts the workers that all choices have examined.
	examined int
	// reserveAccel is set while workers with accelerators are kept for tasks that need them.
	reserveAccel bool
}

// New returns an empty index.
func New() *Index {
	return &Index{
		byName:         make(map[string]*worker),
		racks:          make(map[string]*rack),
		capacityCounts: make(map[fold.Resources]int),
		misses:         make(map[fold.Resources]uint64),
	}
}

// Add adds a worker or updates the capacity of a known one, whose committed capacity stays.
func (x *Index) Add(n Worker) {
	w, ok := x.byName[n.Name]
	if ok {
		x.capacity = x.capacity.Sub(w.Capacity).Add(n.Capacity)
		x.countCapacity(w.Capacity, -1)
		x.changeFree(w, func() { w.Capacity = n.Capacity })
		x.countCapacity(w.Capacity, 1)
		return
	}
	w = &worker{Worker: n, orderIndex: len(x.order)}
	x.byName[n.Name] = w
	x.order = append(x.order, w)
	x.joinRack(w)
	x.capacity = x.capacity.Add(n.Capacity)
	x.used = x.used.Add(n.Used)
	x.countCapacity(n.Capacity, 1)
	x.grid.put(w)
	x.recordGrowth(w)
}

// Remove removes a worker.
func (x *Index) Remove(name string) {
	w, ok := x.byName[name]
	if !ok {
		return
	}
	x.grid.drop(w)
	x.leaveRack(w)
	delete(x.byName, name)
	last := len(x.order) - 1
	x.order[w.orderIndex] = x.order[last]
	x.order[w.orderIndex].orderIndex = w.orderIndex
	x.order[last] = nil
	x.order = x.order[:last]
	x.capacity = x.capacity.Sub(w.Capacity)
	x.used = x.used.Sub(w.Used)
	x.countCapacity(w.Capacity, -1)
}

// Node returns a worker.
func (x *Index) Node(name string) (Worker, bool) {
	w, ok := x.byName[name]
	if !ok {
		return Worker{}, false
	}
	return w.Worker, true
}

// Len returns the number of workers.
func (x *Index) Len() int {
	return len(x.order)
}

// At returns the i-th worker and why it is closed. The order changes only when workers are added or removed.
func (x *Index) At(i int) (Worker, Reason) {
	w := x.order[i]
	return w.Worker, w.closed
}

// Closed returns why a worker is closed, or 0 if it is open. An unknown worker is Absent.
func (x *Index) Closed(name string) Reason {
	if w, ok := x.byName[name]; ok {
		return w.closed
	}
	return Absent
}

// Close closes a worker to new tasks for a reason.
func (x *Index) Close(name string, reason Reason) {
	if w, ok := x.byName[name]; ok && w.closed&reason == 0 {
		w.closed |= reason
		x.grid.drop(w)
	}
}

// Open removes a reason for which a worker is closed; it is open once no reason is left.
func (x *Index) Open(name string, reason Reason) {
	w, ok := x.byName[name]
	if !ok || w.closed&reason == 0 {
		return
	}
	w.closed &^= reason
	if w.closed == 0 {
		x.grid.put(w)
		x.recordGrowth(w)
	}
}

// Allocate allocates r on a worker, even if it is closed. If r does not fit, it changes nothing and reports false.
func (x *Index) Allocate(name string, r fold.Resources) bool {
	w, ok := x.byName[name]
	if !ok || !r.Fits(w.Free()) {
		return false
	}
	x.ForceAllocate(name, r)
	return true
}

// ForceAllocate allocates r for a task that already runs on the worker, even beyond its capacity.
func (x *Index) ForceAllocate(name string, r fold.Resources) {
	w, ok := x.byName[name]
	if !ok {
		return
	}
	x.used = x.used.Add(r)
	x.reindex(w, func() { w.Used = w.Used.Add(r) })
}

// Release frees r, which was allocated on a worker.
func (x *Index) Release(name string, r fold.Resources) {
	w, ok := x.byName[name]
	if !ok {
		return
	}
	x.used = x.used.Sub(r)
	x.changeFree(w, func() { w.Used = w.Used.Sub(r) })
}

// changeFree applies a change after which the free capacity of a worker may have grown.
func (x *Index) changeFree(w *worker, alter func()) {
	x.reindex(w, alter)
	x.recordGrowth(w)
}

// reindex applies a change to a worker and puts it into the cell of its new free capacity.
func (x *Index) reindex(w *worker, alter func()) {
	x.grid.drop(w)
	alter()
	if w.closed == 0 {
		x.grid.put(w)
	}
}

// SetReserveAccel sets whether workers with accelerators are kept for tasks that need them. A task for which only workers
// with accelerators are large enough may use them nevertheless.
func (x *Index) SetReserveAccel(reserve bool) {
	if x.reserveAccel != reserve {
		x.reserveAccel = reserve
		clear(x.misses)
	}
}

// MustAvoidAccel reports whether a task of size r must not use workers with accelerators now.
func (x *Index) MustAvoidAccel(r fold.Resources) bool {
	if !x.reserveAccel || r.Accel > 0 {
		return false
	}
	for capacity := range x.capacityCounts {
		if capacity.Accel == 0 && r.Fits(capacity) {
			return true
		}
	}
	return false
}

// Largest returns the largest capacity of any worker in each dimension.
func (x *Index) Largest() fold.Resources {
	var largest fold.Resources
	for capacity := range x.capacityCounts {
		largest = largest.Max(capacity)
	}
	return largest
}

// IdleSlots returns how many tasks of size r all workers together could hold if they were idle, but at most limit.
func (x *Index) IdleSlots(r fold.Resources, limit int) int {
	slots := 0
	for capacity, count := range x.capacityCounts {
		slots = min(limit, slots+count*int(min(Worker{Capacity: capacity}.Slots(r), int64(limit))))
	}
	return slots
}

// countCapacity adds n to the number of workers of a capacity.
func (x *Index) countCapacity(capacity fold.Resources, n int) {
	x.capacityCounts[capacity] += n
	if x.capacityCounts[capacity] == 0 {
		delete(x.capacityCounts, capacity)
	}
}

// Totals returns the total capacity of all workers and the committed part of it.
func (x *Index) Totals() (fold.Resources, fold.Resources) {
	return x.capacity, x.used
}
