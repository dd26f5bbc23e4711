package place

import (
	"math/bits"

	"plantainfold.example/fold"
)

const (
	// maxExamined bounds the workers that one choice examines in a plane once one of them fits.
	maxExamined = 16
	// perCell bounds the workers examined in one cell. Workers of a cell differ by less than a quarter octave.
	perCell = 2
	// maxMisses bounds the sizes for which the index remembers that no worker fits.
	maxMisses = 1024
	// maxGrownWorkers bounds the remembered increases of free capacity. A miss older than these needs a full search.
	maxGrownWorkers = 4096
)

// search is the state of one choice.
type search struct {
	index *Index
	need  fold.Resources
	allow func(Worker) bool
	// best is the best worker so far, or nil.
	best *worker
	// score is the waste score of best.
	score float64
	// fits is set once need fits on a worker, even if allow rejects the worker.
	fits bool
	// examined counts the examined workers.
	examined int
	// skipAccel is set if workers with accelerators are not used.
	skipAccel bool
}

// Choose returns an open worker on which r fits and that allow accepts, preferring the tightest fit; a nil allow accepts
// every worker. Zero cores or zero memory count as 1.
func (x *Index) Choose(r fold.Resources, allow func(Worker) bool) (string, bool) {
	r = r.Max(fold.Resources{CPU: 1, Memory: 1})
	s := &search{index: x, need: r, allow: allow, skipAccel: x.MustAvoidAccel(r)}
	if since, ok := x.misses[r]; ok && x.growCount-since <= maxGrownWorkers {
		s.searchRecent(since)
	} else {
		s.searchGrid()
	}
	x.examined += s.examined
	if s.best == nil {
		return "", false
	}
	return s.best.Name, true
}

// Examined returns how many workers all choices so far have examined.
func (x *Index) Examined() int {
	return x.examined
}

// searchGrid first examines a few workers of each cell that may fit, then all workers of these cells if none was found.
func (s *search) searchGrid() {
	s.index.grid.eachPlane(s.need, s.skipAccel, func(p *plane) bool {
		s.searchPlane(p, perCell, maxExamined)
		return s.best == nil
	})
	if s.best != nil {
		return
	}
	s.index.grid.eachPlane(s.need, s.skipAccel, func(p *plane) bool {
		s.searchPlane(p, maxSlots, maxSlots)
		return s.best == nil
	})
	if !s.fits {
		s.index.rememberMiss(s.need, s.index.growCount)
	}
}

// searchPlane examines in each row the cells from the least memory up, until a cell holds a worker that fits.
func (s *search) searchPlane(p *plane, maxPerCell, limit int) {
	before := s.examined
	for rows := p.rows & (^uint64(0) << level(s.need.CPU)); rows != 0; rows &= rows - 1 {
		r := p.row[bits.TrailingZeros64(rows)]
		for cols := r.cols & (^uint64(0) << level(s.need.Memory)); cols != 0; cols &= cols - 1 {
			if s.examined-before >= limit && s.best != nil {
				return
			}
			if s.searchCell(r.cells[bits.TrailingZeros64(cols)], maxPerCell) {
				break
			}
		}
	}
}

// searchCell examines the last workers of a cell and reports whether one of them can be used.
func (s *search) searchCell(workers []*worker, limit int) bool {
	found := false
	for i := len(workers) - 1; i >= 0 && len(workers)-i <= limit; i-- {
		found = s.examine(workers[i]) || found
	}
	return found
}

// examine compares a worker with the best one and reports whether it can be used.
func (s *search) examine(w *worker) bool {
	s.examined++
	free := w.Free()
	if !s.need.Fits(free) {
		return false
	}
	s.fits = true
	if s.allow != nil && !s.allow(w.Worker) {
		return false
	}
	score := s.wasteScore(free.Sub(s.need), w)
	if s.best == nil || score < s.score {
		s.best, s.score = w, score
	}
	return true
}

// wasteScore rates the capacity left after the task; lower is better. It grows with the cores and memory left and with
// the difference of their fractions, because a worker that runs out of one cannot use the other. Accelerators left by a
// task that needs none weigh more.
func (s *search) wasteScore(left fold.Resources, w *worker) float64 {
	cpu := fraction(left.CPU, w.Capacity.CPU)
	memory := fraction(left.Memory, w.Capacity.Memory)
	score := cpu + memory + max(cpu-memory, memory-cpu)
	if s.need.Accel == 0 && left.Accel > 0 {
		score += 4 * fraction(left.Accel, w.Capacity.Accel)
	}
	return score
}

// fraction returns left divided by whole, or 0 if whole is not positive.
func fraction(left, whole int64) float64 {
	if whole <= 0 {
		return 0
	}
	return float64(left) / float64(whole)
}

// searchRecent examines only the workers whose free capacity grew after the size was found to fit nowhere.
func (s *search) searchRecent(since uint64) {
	x := s.index
	position := since
	for ; position < x.growCount && s.best == nil; position++ {
		w := x.grownWorkers[position%maxGrownWorkers]
		if w.indexed && (!s.skipAccel || w.Capacity.Accel == 0) {
			s.examine(w)
		}
		if s.fits && s.best == nil {
			// The size fits but allow rejects the worker now, so a later choice must examine it again.
			s.searchGrid()
			return
		}
	}
	if s.best != nil {
		position--
	}
	x.rememberMiss(s.need, position)
}

// rememberMiss records that the size fits on no worker except those whose free capacity grew after the count since.
func (x *Index) rememberMiss(r fold.Resources, since uint64) {
	if _, ok := x.misses[r]; !ok && len(x.misses) >= maxMisses {
		clear(x.misses)
	}
	x.misses[r] = since
}

// recordGrowth records that the free capacity of a worker may have grown.
func (x *Index) recordGrowth(w *worker) {
	if len(x.grownWorkers) == 0 {
		x.grownWorkers = make([]*worker, maxGrownWorkers)
	}
	x.grownWorkers[x.growCount%maxGrownWorkers] = w
	x.growCount++
}

// GrowCount returns the number of increases of free capacity. A size that did not fit still does not fit while it is
// unchanged.
func (x *Index) GrowCount() uint64 {
	return x.growCount
}
