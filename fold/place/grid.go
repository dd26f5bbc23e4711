package place

import (
	"math/bits"

	"plantainfold.example/fold"
)

// The grid sorts workers by free accelerators, free cores and free memory. Cores and memory are divided into quarter
// octaves from 64 up, so that the number of cells does not grow with the number of workers.
const (
	// levels is the number of levels of free cores or memory.
	levels = 64
	// levelFirst is the binary logarithm of the amount at which the levels start; smaller amounts have level 0.
	levelFirst = 6
	// planeCount is the number of planes: one for workers without accelerators, then one each for 0, 1, 2 and more free ones.
	planeCount = 18
)

// grid holds the open workers by free capacity.
type grid struct {
	planes [planeCount]*plane
}

// plane holds the workers with one number of free accelerators. Its rows are levels of free cores.
type plane struct {
	// rows has a bit set for each row that holds workers.
	rows uint64
	row  [levels]*row
}

// row holds the workers of a plane with one level of free cores. Its cells are levels of free memory.
type row struct {
	// cols has a bit set for each cell that holds workers.
	cols  uint64
	cells [levels][]*worker
}

// level returns the level of an amount of free cores or memory.
func level(x int64) int {
	if x < 1<<levelFirst {
		return 0
	}
	octave := bits.Len64(uint64(x)) - 1
	quarter := int(x>>(octave-2)) & 3
	return min((octave-levelFirst)*4+quarter, levels-1)
}

func planeOf(n Worker) int {
	if n.Capacity.Accel == 0 {
		return 0
	}
	return int(min(max(n.Free().Accel, 0)+1, planeCount-1))
}

// put adds a worker to the cell of its free capacity. A worker without free cores or memory is in no cell.
func (g *grid) put(w *worker) {
	free := w.Free()
	if free.CPU <= 0 || free.Memory <= 0 {
		return
	}
	w.plane, w.coreLevel, w.memoryLevel = planeOf(w.Worker), level(free.CPU), level(free.Memory)
	p := g.planes[w.plane]
	if p == nil {
		p = &plane{}
		g.planes[w.plane] = p
	}
	r := p.row[w.coreLevel]
	if r == nil {
		r = &row{}
		p.row[w.coreLevel] = r
	}
	w.cellIndex = len(r.cells[w.memoryLevel])
	w.indexed = true
	r.cells[w.memoryLevel] = append(r.cells[w.memoryLevel], w)
	r.cols |= 1 << w.memoryLevel
	p.rows |= 1 << w.coreLevel
}

func (g *grid) drop(w *worker) {
	if !w.indexed {
		return
	}
	w.indexed = false
	p := g.planes[w.plane]
	r := p.row[w.coreLevel]
	cell := r.cells[w.memoryLevel]
	last := len(cell) - 1
	cell[w.cellIndex] = cell[last]
	cell[w.cellIndex].cellIndex = w.cellIndex
	cell[last] = nil
	r.cells[w.memoryLevel] = cell[:last]
	if last > 0 {
		return
	}
	r.cols &^= 1 << w.memoryLevel
	if r.cols == 0 {
		p.rows &^= 1 << w.coreLevel
	}
}

// eachPlane visits the planes in which r may fit until visit returns false. A task without accelerators prefers workers
// without them, then those with the fewest free; with skipAccel it gets only the former.
func (g *grid) eachPlane(r fold.Resources, skipAccel bool, visit func(*plane) bool) {
	first := 0
	if r.Accel > 0 {
		first = int(min(r.Accel+1, planeCount-1))
	}
	planes := g.planes[first:]
	if skipAccel {
		planes = planes[:1]
	}
	for _, p := range planes {
		if p != nil && p.rows != 0 && !visit(p) {
			return
		}
	}
}
