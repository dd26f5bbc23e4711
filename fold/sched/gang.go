package sched

import (
	"time"

	"plantainfold.example/fold"
	"plantainfold.example/fold/place"
)

// maxGangSplit is how long some tasks of a gang may hold capacity while the other tasks cannot start.
const maxGangSplit = 2 * time.Second

// placeGang starts either all waiting tasks of a gang or none.
func (p *Pool) placeGang(j *job) []Start {
	if j.readyCount < j.counts[phaseWaiting] {
		j.blockage = blockage{reason: blockedByBackoff}
		return nil
	}
	size := j.spec.Resources
	if !p.team(j.spec.Team).allows(size.Times(int64(j.readyCount))) {
		j.blockage = blockage{reason: blockedByAllotment, need: size.Times(int64(j.readyCount))}
		return nil
	}
	reserved := p.reservationOf(j)
	batches, ok := p.index.PlaceAll(size, j.readyCount, func(w place.Worker, why place.Reason) bool {
		return why == 0 || (why == place.Reserved && reserved.contains(w.Name))
	})
	if !ok {
		p.recordBlockage(j)
		return nil
	}
	p.dropReservation(reserved)
	starts := make([]Start, 0, j.readyCount)
	for _, b := range batches {
		for range b.Count {
			starts = append(starts, p.commit(j.nextReady(), b.Worker, reasonGang))
		}
	}
	j.splitSince = 0
	return starts
}

// recordSplit records when some tasks of a gang run while others wait.
func (p *Pool) recordSplit(j *job) {
	if j.spec.Kind != fold.Gang || j.splitSince != 0 || j.active() == 0 || j.counts[phaseWaiting] == 0 {
		return
	}
	j.splitSince = p.now
	p.splitGangs = append(p.splitGangs, j)
}

// stopSplitGangs preempts the running tasks of a gang whose other tasks cannot start, so that they do not hold capacity
// without use. Tasks of a gang that is not idempotent keep running.
func (p *Pool) stopSplitGangs() {
	kept := p.splitGangs[:0]
	for _, j := range p.splitGangs {
		switch {
		case j.splitSince == 0 || j.active() == 0 || j.counts[phaseWaiting] == 0 || j.halted():
			j.splitSince = 0
			continue
		case j.readyCount < j.counts[phaseWaiting] || (j.restored && p.restoredPaused):
			j.splitSince = p.now
		case p.now.Sub(j.splitSince) >= maxGangSplit && j.spec.Idempotent:
			j.splitSince = 0
			p.preemptActive(j)
			continue
		default:
		}
		kept = append(kept, j)
	}
	clear(p.splitGangs[len(kept):])
	p.splitGangs = kept
}

// preemptActive preempts the tasks of a gang that hold capacity.
func (p *Pool) preemptActive(j *job) {
	for i := range j.tasks {
		if t := &j.tasks[i]; t.active() && !t.stopSent {
			p.preempt(t, "the other tasks of the gang cannot start")
		}
	}
}
