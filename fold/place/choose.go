package place

import (
	"math/bits"

	"plantainfold.example/fold"
)

const (
	// maxExamined bounds the workers that one choice compares in a plane while there are workers that surely fit.
	maxExamined = 16
	// perCell is how many workers of one cell are compared; workers of a cell differ by less than a quarter octave.
	perCell = 2
	// maxMisses bounds the sizes for which the index remembers that nothing fits.
	maxMisses = 1024
	// maxGrown bounds the remembered increases of free capacity; older ones lead to a full search.
	maxGrown = 4096
)

// search is one choice under way.
type search struct {
	index *Index
	need  fold.Resources
	allow func(Node) bool
	best  *slot
	score float64
	// fits says that a worker has room, whether or not it is allowed.
	fits     bool
	examined int
	// apart says that workers with accelerators are left out.
	apart bool
}

// Choose returns an open worker that has room for r and is allowed, preferring the tightest fit; a nil allow allows
// every worker. A size of zero in cores or memory counts as the least amount.
func (x *Index) Choose(r fold.Resources, allow func(Node) bool) (string, bool) {
	r = r.Max(fold.Resources{CPU: 1, Memory: 1})
	s := &search{index: x, need: r, allow: allow, apart: x.MustAvoidAccel(r)}
	if since, ok := x.misses[r]; ok && x.grown-since <= maxGrown {
		s.recent(since)
	} else {
		s.grid()
	}
	x.examined += s.examined
	if s.best == nil {
		return "", false
	}
	return s.best.Name, true
}

// Examined returns how many workers all choices together have looked at.
func (x *Index) Examined() int {
	return x.examined
}

// grid searches the cells; only when no cell that surely fits is occupied it looks at every worker that may fit.
func (s *search) grid() {
	s.index.grid.eachPlane(s.need, s.apart, func(p *plane) bool {
		s.plane(p, perCell, maxExamined)
		return s.best == nil
	})
	if s.best != nil {
		return
	}
	s.index.grid.eachPlane(s.need, s.apart, func(p *plane) bool {
		s.plane(p, maxSlots, maxSlots)
		return s.best == nil
	})
	if !s.fits {
		s.index.missed(s.need, s.index.grown)
	}
}

// plane compares workers row by row: in each row the tightest level of memory that holds a worker that fits.
func (s *search) plane(p *plane, each, limit int) {
	from := s.examined
	for rows := p.rows & (^uint64(0) << level(s.need.CPU)); rows != 0; rows &= rows - 1 {
		r := p.row[bits.TrailingZeros64(rows)]
		for cols := r.cols & (^uint64(0) << level(s.need.Memory)); cols != 0; cols &= cols - 1 {
			if s.examined-from >= limit && s.best != nil {
				return
			}
			if s.cell(r.cells[bits.TrailingZeros64(cols)], each) {
				break
			}
		}
	}
}

// cell compares the newest workers of a cell and reports whether one of them can be used.
func (s *search) cell(slots []*slot, each int) bool {
	found := false
	for i := len(slots) - 1; i >= 0 && len(slots)-i <= each; i-- {
		found = s.look(slots[i]) || found
	}
	return found
}

// look compares one worker and reports whether it can be used.
func (s *search) look(n *slot) bool {
	s.examined++
	free := n.Free()
	if !s.need.Fits(free) {
		return false
	}
	s.fits = true
	if s.allow != nil && !s.allow(n.Node) {
		return false
	}
	score := s.waste(free.Sub(s.need), n)
	if s.best == nil || score < s.score {
		s.best, s.score = n, score
	}
	return true
}

// waste rates what is left after the task: little is good, and so are cores and memory left in equal parts, because
// a worker without one of them strands the other. Stranding accelerators is worse than both.
func (s *search) waste(left fold.Resources, n *slot) float64 {
	cpu := part(left.CPU, n.Capacity.CPU)
	memory := part(left.Memory, n.Capacity.Memory)
	score := cpu + memory + max(cpu-memory, memory-cpu)
	if s.need.Accel == 0 && left.Accel > 0 {
		score += 4 * part(left.Accel, n.Capacity.Accel)
	}
	return score
}

func part(left, whole int64) float64 {
	if whole <= 0 {
		return 0
	}
	return float64(left) / float64(whole)
}

// recent looks only at workers whose free capacity grew since the size was found to fit nowhere.
func (s *search) recent(since uint64) {
	x := s.index
	at := since
	for ; at < x.grown && s.best == nil; at++ {
		n := x.recent[at%maxGrown]
		if n.indexed && (!s.apart || n.Capacity.Accel == 0) {
			s.look(n)
		}
		if s.fits && s.best == nil {
			// The worker has room but is not allowed now; it stays to be looked at again.
			s.grid()
			return
		}
	}
	if s.best != nil {
		at--
	}
	x.missed(s.need, at)
}

// missed remembers that no worker fits the size except those that grew since.
func (x *Index) missed(r fold.Resources, since uint64) {
	if _, ok := x.misses[r]; !ok && len(x.misses) >= maxMisses {
		clear(x.misses)
	}
	x.misses[r] = since
}

// grew records that a worker may now fit sizes that it did not fit before.
func (x *Index) grew(s *slot) {
	if len(x.recent) == 0 {
		x.recent = make([]*slot, maxGrown)
	}
	x.recent[x.grown%maxGrown] = s
	x.grown++
}

// GrowCount counts the increases of free capacity; a size that did not fit fits no better while it stays the same.
func (x *Index) GrowCount() uint64 {
	return x.grown
}
