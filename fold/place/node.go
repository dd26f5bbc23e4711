package place

import "plantainfold.example/fold"

// Node is one worker as the index sees it.
type Node struct {
	Name     string
	Domain   string
	Rack     string
	Capacity fold.Resources
	Used     fold.Resources
}

// Free returns the capacity that is not committed.
func (n Node) Free() fold.Resources {
	return n.Capacity.Sub(n.Used)
}

// Slots returns how many tasks of size r fit into the free capacity.
func (n Node) Slots(r fold.Resources) int64 {
	free := n.Free()
	slots := int64(maxSlots)
	slots = min(slots, quotient(free.CPU, r.CPU), quotient(free.Memory, r.Memory), quotient(free.Accel, r.Accel))
	return max(slots, 0)
}

// maxSlots bounds the count for tasks of size zero.
const maxSlots = 1 << 20

func quotient(free, part int64) int64 {
	if part <= 0 {
		return maxSlots
	}
	return free / part
}

// Reason is a cause for which a worker is closed to new tasks; several may hold at once.
type Reason uint8

// Reasons for which a worker is closed.
const (
	// Absent marks a worker that is not adopted or is leaving.
	Absent Reason = 1 << iota
	// Quarantined marks a worker on which tasks of several jobs failed.
	Quarantined
	// Reserved marks a worker that is kept free for a waiting job.
	Reserved
)

// slot is a worker and its position in the index.
type slot struct {
	Node
	closed Reason
	// at is the position in Index.order.
	at int
	// rack lists the workers of the same rack.
	rack *rack
	// indexed says that the slot is in a cell of the grid.
	indexed bool
	plane   int
	row     int
	col     int
	// pos is the position in the cell.
	pos int
}
