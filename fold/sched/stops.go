package sched

import (
	"time"

	"plantainfold.example/fold"
)

const (
	// stopAgain is the time after which a stop is sent again for a task that still runs, because the call may be lost.
	stopAgain = 5 * time.Second
	// maxStops bounds the stops of one call, except that a job is not divided.
	maxStops = 8192
	// preemptGrace is how long a preempted task may take to save its state; urgent work must start within 1.2 s.
	preemptGrace = 500 * time.Millisecond
)

// Stop is a decision to stop a task gracefully.
type Stop struct {
	Worker string
	Task   fold.TaskID
	// Checkpoint says that the task is to save its state first.
	Checkpoint bool
	// Grace is how long the task may take to end; 0 leaves it to the caller.
	Grace time.Duration
}

// ending is a job, a task or an orphan that is to be told to stop, or was told.
type ending struct {
	job     *job
	task    *task
	attempt int
	worker  string
	orphan  fold.TaskID
	at      fold.Instant
}

// Stops returns tasks that must stop and were not told within the last 5 s; the rest of a large wave comes with the
// next calls. Its cost depends only on the tasks that it returns.
func (p *Pool) Stops() []Stop {
	var stops []Stop
	for len(p.told) > 0 && p.now.Sub(p.told[0].at) >= stopAgain && len(stops) < maxStops {
		e := p.told[0]
		p.told = p.told[1:]
		if e.task != nil && e.task.active() && e.task.attempt == e.attempt {
			e.task.stopped = false
		}
		stops = p.tell(stops, e)
	}
	for len(p.ending) > 0 && len(stops) < maxStops {
		e := p.ending[0]
		p.ending = p.ending[1:]
		if e.job == nil {
			stops = p.tell(stops, e)
			continue
		}
		for i := range e.job.tasks {
			t := &e.job.tasks[i]
			stops = p.tell(stops, ending{task: t, attempt: t.attempt})
		}
	}
	return stops
}

// tell adds the stop of a task or orphan that still runs.
func (p *Pool) tell(stops []Stop, e ending) []Stop {
	s, ok := p.stopOf(e)
	if !ok {
		return stops
	}
	e.at = p.now
	p.told = append(p.told, e)
	return append(stops, s)
}

func (p *Pool) stopOf(e ending) (Stop, bool) {
	if e.task == nil {
		w, ok := p.workers[e.worker]
		if !ok {
			return Stop{}, false
		}
		_, runs := w.orphans[e.orphan]
		return Stop{Worker: e.worker, Task: e.orphan}, runs
	}
	t := e.task
	if !t.active() || t.attempt != e.attempt || t.stopped {
		return Stop{}, false
	}
	t.stopped = true
	s := Stop{Worker: t.worker, Task: t.id()}
	if t.preempted != "" {
		s.Checkpoint, s.Grace = true, preemptGrace
	}
	return s, true
}
