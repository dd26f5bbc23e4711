package sched

import (
	"time"

	"plantainfold.example/fold"
)

const (
	// stopResendInterval is how long after a stop it is sent again if the task still runs, because the call may be lost.
	stopResendInterval = 5 * time.Second
	// maxStops bounds the stops that one call returns. A call may exceed it to return all tasks of a job.
	maxStops = 8192
	// preemptGrace is how long a preempted task may take to save its state. Urgent work must start within 1.2 s.
	preemptGrace = 500 * time.Millisecond
)

// Stop is a decision to stop a task gracefully.
type Stop struct {
	Worker string
	Task   fold.TaskID
	// Checkpoint is set if the task must save its state first.
	Checkpoint bool
	// Grace is how long the task may take to end; if it is 0, the caller chooses.
	Grace time.Duration
}

// stopRequest asks to stop the tasks of a job, one task or an orphan.
type stopRequest struct {
	// job is set if all tasks of the job must stop.
	job *job
	// task is set if one task must stop.
	task *task
	// attempt is the attempt of task that must stop.
	attempt int
	// worker runs the orphan; it is set if neither job nor task is.
	worker string
	// orphan is the task that must stop if neither job nor task is set.
	orphan fold.TaskID
	// sentAt is when Stops returned the stop.
	sentAt fold.Instant
}

// Stops returns the stops that are due: new ones, and those sent at least 5 s ago for tasks that still run. If there are
// too many for one call, later calls return the rest. Its cost depends only on the tasks that it returns.
func (p *Pool) Stops() []Stop {
	var stops []Stop
	for len(p.sentStops) > 0 && p.now.Sub(p.sentStops[0].sentAt) >= stopResendInterval && len(stops) < maxStops {
		req := p.sentStops[0]
		p.sentStops = p.sentStops[1:]
		if req.task != nil && req.task.active() && req.task.attempt == req.attempt {
			req.task.stopSent = false
		}
		stops = p.appendStop(stops, req)
	}
	for len(p.pendingStops) > 0 && len(stops) < maxStops {
		req := p.pendingStops[0]
		p.pendingStops = p.pendingStops[1:]
		if req.job == nil {
			stops = p.appendStop(stops, req)
			continue
		}
		for i := range req.job.tasks {
			t := &req.job.tasks[i]
			stops = p.appendStop(stops, stopRequest{task: t, attempt: t.attempt})
		}
	}
	return stops
}

// appendStop appends the stop of a task or orphan if it still runs, and records that it was sent.
func (p *Pool) appendStop(stops []Stop, req stopRequest) []Stop {
	s, ok := p.stopFor(req)
	if !ok {
		return stops
	}
	req.sentAt = p.now
	p.sentStops = append(p.sentStops, req)
	return append(stops, s)
}

// stopFor returns the stop for a request; it reports false if the task or orphan no longer runs or has a stop already.
func (p *Pool) stopFor(req stopRequest) (Stop, bool) {
	if req.task == nil {
		w, ok := p.workers[req.worker]
		if !ok {
			return Stop{}, false
		}
		_, runs := w.orphans[req.orphan]
		return Stop{Worker: req.worker, Task: req.orphan}, runs
	}
	t := req.task
	if !t.active() || t.attempt != req.attempt || t.stopSent {
		return Stop{}, false
	}
	t.stopSent = true
	s := Stop{Worker: t.worker, Task: t.id()}
	if t.preemptReason != "" {
		s.Checkpoint, s.Grace = true, preemptGrace
	}
	return s, true
}
