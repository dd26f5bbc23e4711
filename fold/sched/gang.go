package sched

import (
	"time"

	"plantainfold.example/fold"
	"plantainfold.example/fold/place"
)

// gangPatience is how long a part of a gang runs while the rest cannot start; it is the time for which capacity is
// held for a gang.
const gangPatience = 2 * time.Second

// placeGang starts all waiting tasks of a gang, or none.
func (p *Pool) placeGang(j *job) []Start {
	if j.nready < j.counts[phaseWaiting] {
		j.wait = wait{why: whyBackoff}
		return nil
	}
	size := j.spec.Resources
	if !p.team(j.spec.Team).allows(size.Times(int64(j.nready))) {
		j.wait = wait{why: whyAllotment, need: size.Times(int64(j.nready))}
		return nil
	}
	own := p.holdOf(j)
	batches, ok := p.index.PlaceAll(size, j.nready, func(n place.Node, why place.Reason) bool {
		return why == 0 || (why == place.Reserved && own.keeps(n.Name))
	})
	if !ok {
		p.block(j)
		return nil
	}
	p.dropHold(own)
	starts := make([]Start, 0, j.nready)
	for _, b := range batches {
		for range b.Count {
			starts = append(starts, p.commit(j.first(), b.Worker, reasonGang))
		}
	}
	j.split = 0
	return starts
}

// noteSplit notes since when only a part of a gang runs.
func (p *Pool) noteSplit(j *job) {
	if j.spec.Kind != fold.Gang || j.split != 0 || j.active() == 0 || j.counts[phaseWaiting] == 0 {
		return
	}
	j.split = p.now
	p.split = append(p.split, j)
}

// joinGangs stops the running part of a gang whose other part cannot start, so that its capacity is not stranded. Tasks
// that must not run twice go on.
func (p *Pool) joinGangs() {
	kept := p.split[:0]
	for _, j := range p.split {
		switch {
		case j.split == 0 || j.active() == 0 || j.counts[phaseWaiting] == 0 || j.halted():
			j.split = 0
			continue
		case j.nready < j.counts[phaseWaiting] || (j.old && p.held):
			j.split = p.now
		case p.now.Sub(j.split) >= gangPatience && j.spec.Idempotent:
			j.split = 0
			p.stopRest(j)
			continue
		default:
		}
		kept = append(kept, j)
	}
	clear(p.split[len(kept):])
	p.split = kept
}

func (p *Pool) stopRest(j *job) {
	for i := range j.tasks {
		if t := &j.tasks[i]; t.active() && !t.stopped {
			p.preempt(t, "the other tasks of the gang cannot start")
		}
	}
}
