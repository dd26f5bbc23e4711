package worker

import (
	"github.com/google/uuid"

	"plantainfold.example/fold"
)

// Throttle limits the CPU of a task, which extends its remaining run time in proportion.
func (w *Worker) Throttle(epoch int64, id fold.TaskID, cpu int64) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.advance()
	if err := w.checkEpoch(epoch); err != nil {
		return err
	}
	run, ok := w.tasks[id]
	if !ok {
		return fold.Refuse(fold.NotFound, "read what runs again", "worker %s does not run task %s", w.name, id)
	}
	cpu = max(min(cpu, run.task.Resources.CPU), 1)
	if run.endsAt != 0 && run.task.State != fold.Stopped {
		rest := float64(run.endsAt.Sub(now)) * float64(run.cpu) / float64(cpu)
		run.endsAt = now + fold.Instant(rest)
	}
	run.cpu = cpu
	w.tasks[id] = run
	return nil
}

// Restart drops all tasks, unacknowledged events and the owner, as a restart of the instance does.
func (w *Worker) Restart() {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.advance()
	for _, run := range w.tasks {
		w.record(run, now, fold.UnknownOutcome)
	}
	w.tasks = make(map[fold.TaskID]running)
	w.used = fold.Resources{}
	w.events = nil
	// Owners acknowledge events by number, so numbers from before the restart must not be reused.
	w.sequence = max(w.sequence, minSession(now))
	w.owner = ""
	w.boot = uuid.NewString()
	w.epoch = 0
	clear(w.endedAttempts)
	w.session = max(w.session+1, minSession(now))
}
