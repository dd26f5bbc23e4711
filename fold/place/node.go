package place

import "plantainfold.example/fold"

// Worker is the description of a worker in the index.
type Worker struct {
	Name string
	// Domain is the failure domain of the worker.
	Domain   string
	Rack     string
	Capacity fold.Resources
	// Used is the part of the capacity that is committed.
	Used fold.Resources
}

// Free returns the capacity that is not committed.
func (n Worker) Free() fold.Resources {
	return n.Capacity.Sub(n.Used)
}

// Slots returns how many tasks of size r fit into the free capacity.
func (n Worker) Slots(r fold.Resources) int64 {
	free := n.Free()
	slots := int64(maxSlots)
	slots = min(slots, quotient(free.CPU, r.CPU), quotient(free.Memory, r.Memory), quotient(free.Accel, r.Accel))
	return max(slots, 0)
}

// maxSlots is the result of Slots for a size of zero.
const maxSlots = 1 << 20

// quotient returns free divided by part, or maxSlots if part is not positive.
func quotient(free, part int64) int64 {
	if part <= 0 {
		return maxSlots
	}
	return free / part
}

// Reason is a set of reasons for which a worker is closed to new tasks; 0 means that it is open.
type Reason uint8

// Reasons for which a worker is closed.
const (
	// Absent marks a worker that is not adopted or is leaving.
	Absent Reason = 1 << iota
	// Quarantined marks a worker on which tasks of several jobs failed.
	Quarantined
	// Reserved marks a worker that is reserved for a waiting job.
	Reserved
)

// worker is a worker and its positions in the index.
type worker struct {
	Worker
	// closed holds the reasons for which the worker is closed, or 0.
	closed Reason
	// orderIndex is the position in Index.order.
	orderIndex int
	// rack is the rack of the worker.
	rack *rack
	// indexed is set while the worker is in a cell of the grid.
	indexed bool
	// plane is the index of the worker's plane in the grid.
	plane int
	// coreLevel is the level of free cores, which is the row in the plane.
	coreLevel int
	// memoryLevel is the level of free memory, which is the cell in the row.
	memoryLevel int
	// cellIndex is the position in the cell.
	cellIndex int
}
