package sched

// AssumeStarted takes starts on a worker whose outcome is not known as having run, because the worker lost its memory.
func (p *Pool) AssumeStarted(worker string) {
	w, ok := p.workers[worker]
	if !ok {
		return
	}
	for _, t := range w.tasks {
		if t.phase == phaseStarting {
			p.move(t, phaseRunning)
		}
	}
}

// MarkRestoredUnknown gives up waiting tasks of non-idempotent jobs that an earlier owner accepted, because a worker on which that
// owner may have started them cannot tell any more.
func (p *Pool) MarkRestoredUnknown() {
	for _, j := range p.jobs {
		if !j.old || j.spec.Idempotent || j.cancelled {
			continue
		}
		for i := range j.tasks {
			if t := &j.tasks[i]; t.phase == phaseWaiting {
				p.move(t, phaseUnknown)
			}
		}
	}
}
