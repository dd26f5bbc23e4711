package sched

// DoubtStarts takes starts on a worker whose outcome is not known as having run, because the worker lost its memory.
func (p *Pool) DoubtStarts(worker string) {
	w, ok := p.workers[worker]
	if !ok {
		return
	}
	for _, t := range w.tasks {
		if t.phase == phaseStarting {
			t.job.move(t, phaseRunning)
		}
	}
}

// DoubtOld gives up waiting tasks of non-idempotent jobs that an earlier owner accepted, because a worker on which that
// owner may have started them cannot tell any more.
func (p *Pool) DoubtOld() {
	for _, j := range p.jobs {
		if !j.old || j.spec.Idempotent || j.cancelled {
			continue
		}
		for _, t := range j.tasks {
			if t.phase == phaseWaiting {
				j.move(t, phaseUnknown)
			}
		}
	}
}
