package sched

// AssumeStarted treats the unconfirmed starts on a worker as running, because the worker lost its memory and may
// have run them.
func (p *Pool) AssumeStarted(worker string) {
	w, ok := p.workers[worker]
	if !ok {
		return
	}
	for _, t := range w.tasks {
		if t.phase == phaseStarting {
			p.setPhase(t, phaseRunning)
		}
	}
}

// MarkRestoredUnknown marks the waiting tasks of restored jobs that are not idempotent as unknown. An earlier owner may have
// started them on a worker that lost its memory and cannot report them.
func (p *Pool) MarkRestoredUnknown() {
	for _, j := range p.jobs {
		if !j.restored || j.spec.Idempotent || j.cancelled {
			continue
		}
		for i := range j.tasks {
			if t := &j.tasks[i]; t.phase == phaseWaiting {
				p.setPhase(t, phaseUnknown)
			}
		}
	}
}
