package place

import (
	"math/bits"

	"plantainfold.example/fold"
)

// The grid sorts workers by free accelerators, free cores and free memory. Cores and memory are divided into quarter
// octaves from 64 up, so that the number of cells does not grow with the number of workers.
const (
	levels     = 64
	levelFirst = 6
	// planes: workers without accelerators, then those with 0, 1, 2, ... free accelerators.
	planeCount = 18
)

// grid holds the open workers by what they have free.
type grid struct {
	planes [planeCount]*plane
}

// plane is one number of free accelerators; rows are levels of free cores.
type plane struct {
	rows uint64
	row  [levels]*row
}

// row is one level of free cores; its cells are levels of free memory.
type row struct {
	cols  uint64
	cells [levels][]*slot
}

func level(x int64) int {
	if x < 1<<levelFirst {
		return 0
	}
	octave := bits.Len64(uint64(x)) - 1
	quarter := int(x>>(octave-2)) & 3
	return min((octave-levelFirst)*4+quarter, levels-1)
}

func planeOf(n Node) int {
	if n.Capacity.Accel == 0 {
		return 0
	}
	return int(min(max(n.Free().Accel, 0)+1, planeCount-1))
}

// put adds the slot to the cell of its free capacity; a worker without free cores or memory is in no cell.
func (g *grid) put(s *slot) {
	free := s.Free()
	if free.CPU <= 0 || free.Memory <= 0 {
		return
	}
	s.plane, s.row, s.col = planeOf(s.Node), level(free.CPU), level(free.Memory)
	p := g.planes[s.plane]
	if p == nil {
		p = &plane{}
		g.planes[s.plane] = p
	}
	r := p.row[s.row]
	if r == nil {
		r = &row{}
		p.row[s.row] = r
	}
	s.pos = len(r.cells[s.col])
	s.indexed = true
	r.cells[s.col] = append(r.cells[s.col], s)
	r.cols |= 1 << s.col
	p.rows |= 1 << s.row
}

func (g *grid) drop(s *slot) {
	if !s.indexed {
		return
	}
	s.indexed = false
	p := g.planes[s.plane]
	r := p.row[s.row]
	cell := r.cells[s.col]
	last := len(cell) - 1
	cell[s.pos] = cell[last]
	cell[s.pos].pos = s.pos
	cell[last] = nil
	r.cells[s.col] = cell[:last]
	if last > 0 {
		return
	}
	r.cols &^= 1 << s.col
	if r.cols == 0 {
		p.rows &^= 1 << s.row
	}
}

// eachPlane visits the planes that may hold r, in order of preference: work without accelerators takes workers
// without them first, then those with the fewest free, or only those without them if it is to stay apart.
func (g *grid) eachPlane(r fold.Resources, apart bool, visit func(*plane) bool) {
	first := 0
	if r.Accel > 0 {
		first = int(min(r.Accel+1, planeCount-1))
	}
	planes := g.planes[first:]
	if apart {
		planes = planes[:1]
	}
	for _, p := range planes {
		if p != nil && p.rows != 0 && !visit(p) {
			return
		}
	}
}
