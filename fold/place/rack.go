package place

import (
	"cmp"
	"slices"

	"plantainfold.example/fold"
)

// rack lists the workers of one rack.
type rack struct {
	name    string
	workers []*worker
}

// Batch is a number of tasks of the same size for one worker.
type Batch struct {
	Worker string
	Count  int
}

// rackSlots is the number of tasks of one size that the usable workers of a rack can hold.
type rackSlots struct {
	rack  *rack
	slots int64
}

func (x *Index) joinRack(w *worker) {
	r, ok := x.racks[w.Rack]
	if !ok {
		r = &rack{name: w.Rack}
		x.racks[w.Rack] = r
	}
	w.rack = r
	r.workers = append(r.workers, w)
}

func (x *Index) leaveRack(w *worker) {
	r := w.rack
	if at := slices.Index(r.workers, w); at >= 0 {
		r.workers = slices.Delete(r.workers, at, at+1)
	}
	if len(r.workers) == 0 {
		delete(x.racks, r.name)
	}
}

// Rack returns the names of the workers of a rack.
func (x *Index) Rack(name string) []string {
	r, ok := x.racks[name]
	if !ok {
		return nil
	}
	names := make([]string, len(r.workers))
	for i, w := range r.workers {
		names[i] = w.Name
	}
	return names
}

// PlaceAll divides count tasks of size r over the workers that usable accepts; it reports false if they do not all fit. It
// uses the rack with the least free slots that holds all of them, or else the fewest racks. Tasks without accelerators
// use workers with accelerators only if they do not fit on the others.
func (x *Index) PlaceAll(r fold.Resources, count int, usable func(Worker, Reason) bool) ([]Batch, bool) {
	if r.Accel == 0 {
		plain := func(n Worker, why Reason) bool { return n.Capacity.Accel == 0 && usable(n, why) }
		if batches, ok := x.placeOnRacks(r, count, plain); ok {
			return batches, true
		}
	}
	return x.placeOnRacks(r, count, usable)
}

func (x *Index) placeOnRacks(r fold.Resources, count int, usable func(Worker, Reason) bool) ([]Batch, bool) {
	racks := make([]rackSlots, 0, len(x.racks))
	var total int64
	for _, k := range x.racks {
		slots := k.freeSlots(r, usable)
		if slots > 0 {
			racks = append(racks, rackSlots{rack: k, slots: slots})
			total += slots
		}
	}
	if total < int64(count) {
		return nil, false
	}
	slices.SortFunc(racks, func(a, b rackSlots) int {
		return cmp.Or(cmp.Compare(b.slots, a.slots), cmp.Compare(a.rack.name, b.rack.name))
	})
	var batches []Batch
	remaining := int64(count)
	for remaining > 0 {
		// The last rack with enough slots for the remaining tasks has the fewest of them.
		chosen := 0
		for chosen+1 < len(racks) && racks[chosen+1].slots >= remaining {
			chosen++
		}
		placed := min(remaining, racks[chosen].slots)
		batches = append(batches, racks[chosen].rack.fill(r, placed, usable)...)
		remaining -= placed
		racks = slices.Delete(racks, chosen, chosen+1)
	}
	return batches, true
}

// freeSlots returns how many tasks of size r fit on the usable workers of the rack.
func (k *rack) freeSlots(r fold.Resources, usable func(Worker, Reason) bool) int64 {
	var slots int64
	for _, w := range k.workers {
		if usable(w.Worker, w.closed) {
			slots += w.Slots(r)
		}
	}
	return slots
}

// fill divides the tasks over the workers of the rack. It fills those with the least free capacity first, so that other
// workers stay idle.
func (k *rack) fill(r fold.Resources, count int64, usable func(Worker, Reason) bool) []Batch {
	workers := slices.Clone(k.workers)
	slices.SortFunc(workers, func(a, b *worker) int {
		return cmp.Or(cmp.Compare(a.Slots(r), b.Slots(r)), cmp.Compare(a.Name, b.Name))
	})
	var batches []Batch
	for _, w := range workers {
		if count == 0 {
			break
		}
		n := min(count, w.Slots(r))
		if n == 0 || !usable(w.Worker, w.closed) {
			continue
		}
		batches = append(batches, Batch{Worker: w.Name, Count: int(n)})
		count -= n
	}
	return batches
}
