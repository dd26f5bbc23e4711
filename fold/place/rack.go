package place

import (
	"cmp"
	"slices"

	"plantainfold.example/fold"
)

// rack lists the workers of one rack.
type rack struct {
	name  string
	slots []*slot
}

// Batch is a number of equal tasks for one worker.
type Batch struct {
	Worker string
	Count  int
}

// room is how many tasks of one size the usable workers of a rack can hold.
type room struct {
	rack  *rack
	slots int64
}

func (x *Index) join(s *slot) {
	r, ok := x.racks[s.Rack]
	if !ok {
		r = &rack{name: s.Rack}
		x.racks[s.Rack] = r
	}
	s.rack = r
	r.slots = append(r.slots, s)
}

func (x *Index) leave(s *slot) {
	r := s.rack
	if at := slices.Index(r.slots, s); at >= 0 {
		r.slots = slices.Delete(r.slots, at, at+1)
	}
	if len(r.slots) == 0 {
		delete(x.racks, r.name)
	}
}

// Rack returns the names of the workers of a rack.
func (x *Index) Rack(name string) []string {
	r, ok := x.racks[name]
	if !ok {
		return nil
	}
	names := make([]string, len(r.slots))
	for i, s := range r.slots {
		names[i] = s.Name
	}
	return names
}

// PlaceAll divides count tasks of size r over workers, all or none: on the rack with the least room that holds all of
// them, or else on the fewest racks. A worker is used if usable allows it; work without accelerators takes workers
// with accelerators only when it does not fit on the others.
func (x *Index) PlaceAll(r fold.Resources, count int, usable func(Node, Reason) bool) ([]Batch, bool) {
	if r.Accel == 0 {
		plain := func(n Node, why Reason) bool { return n.Capacity.Accel == 0 && usable(n, why) }
		if batches, ok := x.spread(r, count, plain); ok {
			return batches, true
		}
	}
	return x.spread(r, count, usable)
}

func (x *Index) spread(r fold.Resources, count int, usable func(Node, Reason) bool) ([]Batch, bool) {
	rooms := make([]room, 0, len(x.racks))
	var total int64
	for _, k := range x.racks {
		slots := k.room(r, usable)
		if slots > 0 {
			rooms = append(rooms, room{rack: k, slots: slots})
			total += slots
		}
	}
	if total < int64(count) {
		return nil, false
	}
	slices.SortFunc(rooms, func(a, b room) int {
		return cmp.Or(cmp.Compare(b.slots, a.slots), cmp.Compare(a.rack.name, b.rack.name))
	})
	var batches []Batch
	left := int64(count)
	for left > 0 {
		// The last rack is the one with the least room that holds what is left.
		at := 0
		for at+1 < len(rooms) && rooms[at+1].slots >= left {
			at++
		}
		taken := min(left, rooms[at].slots)
		batches = append(batches, rooms[at].rack.fill(r, taken, usable)...)
		left -= taken
		rooms = slices.Delete(rooms, at, at+1)
	}
	return batches, true
}

func (k *rack) room(r fold.Resources, usable func(Node, Reason) bool) int64 {
	var slots int64
	for _, s := range k.slots {
		if usable(s.Node, s.closed) {
			slots += s.Slots(r)
		}
	}
	return slots
}

// fill uses the workers with the least room first, so that whole workers stay free.
func (k *rack) fill(r fold.Resources, count int64, usable func(Node, Reason) bool) []Batch {
	slots := slices.Clone(k.slots)
	slices.SortFunc(slots, func(a, b *slot) int {
		return cmp.Or(cmp.Compare(a.Slots(r), b.Slots(r)), cmp.Compare(a.Name, b.Name))
	})
	var batches []Batch
	for _, s := range slots {
		if count == 0 {
			break
		}
		n := min(count, s.Slots(r))
		if n == 0 || !usable(s.Node, s.closed) {
			continue
		}
		batches = append(batches, Batch{Worker: s.Name, Count: int(n)})
		count -= n
	}
	return batches
}
