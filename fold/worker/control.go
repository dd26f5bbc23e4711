package worker

import (
	"github.com/google/uuid"

	"plantainfold.example/fold"
)

// Throttle limits the processor time of a task, which stretches the rest of its run time in proportion.
func (w *Worker) Throttle(epoch int64, id fold.TaskID, cpu int64) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.advance()
	if err := w.checkEpoch(epoch); err != nil {
		return err
	}
	held, ok := w.tasks[id]
	if !ok {
		return fold.Refuse(fold.NotFound, "read what runs again", "worker %s does not run task %s", w.name, id)
	}
	cpu = max(min(cpu, held.task.Resources.CPU), 1)
	if held.ends != 0 && held.task.State != fold.Stopped {
		rest := float64(held.ends.Sub(now)) * float64(held.cpu) / float64(cpu)
		held.ends = now + fold.Instant(rest)
	}
	held.cpu = cpu
	w.tasks[id] = held
	return nil
}

// Restart loses all tasks, unacknowledged events and the owner, as a restart of the instance does.
func (w *Worker) Restart() {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.advance()
	for _, held := range w.tasks {
		w.record(held, now, fold.UnknownOutcome)
	}
	w.tasks = make(map[fold.TaskID]running)
	w.used = fold.Resources{}
	w.events = nil
	// Owners acknowledge events by number, so a number from before the restart must not come again.
	w.sequence = max(w.sequence, sessionBase(now))
	w.owner = ""
	w.boot = uuid.NewString()
	w.epoch = 0
	clear(w.past)
	w.session = max(w.session+1, sessionBase(now))
}
