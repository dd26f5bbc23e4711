package core

import (
	"plantainfold.example/fold/flow"
)

// Write is a job record that must become durable.
type Write struct {
	Job    string
	Record flow.Record
}

// Snapshot takes new records of the jobs that changed since the last snapshot. From then on, the acknowledgement of ends
// waits for these records, as do the planned runs unless they may start without a record. Callers must pass the records to
// SnapshotRecorded or SnapshotFailed before they take another snapshot.
func (c *Cell) Snapshot() []Write {
	var writes []Write
	for _, j := range c.dirty {
		j.dirty = false
		writes = append(writes, Write{Job: j.spec.ID, Record: j.record()})
	}
	c.dirty = c.dirty[:0]
	c.recording = append(c.recording, c.planned...)
	c.planned = c.planned[:0]
	for _, h := range c.hostsByID {
		h.nextAck = h.lastEnd
	}
	return writes
}

// SnapshotRecorded adds to the orders the starts and acknowledgements that waited for the last snapshot, and removes the
// recorded jobs that have ended and have no live runs.
func (c *Cell) SnapshotRecorded(writes []Write) {
	for _, h := range c.hostsByID {
		if h.nextAck > h.lastAck {
			h.lastAck = h.nextAck
			c.orders.Acks = append(c.orders.Acks, Ack{Host: h.info.ID, Incarnation: h.info.Incarnation, Number: h.lastAck})
		}
	}
	for _, r := range c.recording {
		if r.phase != phasePlanned || r.detached {
			continue
		}
		r.phase = phaseOrdered
		if r.stopping {
			// The run was stopped before its start was sent.
			c.detach(r)
			continue
		}
		c.orderStart(r)
	}
	c.recording = c.recording[:0]
	for _, w := range writes {
		j, ok := c.jobs[w.Job]
		if ok {
			j.recordedState = w.Record.State
		}
		if ok && j.state.Final() && j.liveRuns == 0 && !j.dirty {
			delete(c.jobs, w.Job)
		}
	}
}

// SetCommitted records the version of the table after a commit of this owner. A lower version than before has no effect.
func (c *Cell) SetCommitted(version int64) {
	c.lastCommit = max(c.lastCommit, version)
}

// SnapshotFailed handles a snapshot that did not become durable: its records must be written again.
func (c *Cell) SnapshotFailed(writes []Write) {
	for _, w := range writes {
		if j, ok := c.jobs[w.Job]; ok {
			c.markDirty(j)
		}
	}
	c.planned = append(c.planned, c.recording...)
	c.recording = c.recording[:0]
}

// record returns a new record of the job's progress, with the next sequence number.
func (j *job) record() flow.Record {
	j.recordSeq++
	rec := flow.Record{State: j.state, Seq: j.recordSeq, Ended: j.endedAt, Team: j.spec.Team, Begun: j.begun}
	if j.state.Final() && j.liveRuns == 0 {
		return rec
	}
	hostIndex := make(map[flow.LiveHost]int)
	for _, steps := range j.parts {
		for _, p := range steps {
			if p.begun {
				rec.Parts = append(rec.Parts, p.record(&rec, hostIndex))
			}
		}
	}
	return rec
}

// record returns the part's progress for the record of its job. It adds the hosts of live runs to jobRecord.Hosts and
// their indexes in that list to hostIndex.
func (p *part) record(jobRecord *flow.Record, hostIndex map[flow.LiveHost]int) flow.Part {
	rec := flow.Part{Occurrence: p.occurrence, Step: p.index}
	if p.doneTasks == len(p.tasks) && p.liveRunCount() == 0 {
		rec.AllDone = true
		return rec
	}
	rec.Done = make([]byte, (len(p.tasks)+7)/8)
	rec.Runs = make([]uint32, len(p.tasks))
	var failures []uint32
	for i := range p.tasks {
		t := &p.tasks[i]
		if t.done {
			rec.Done[i/8] |= 1 << (i % 8)
		}
		rec.Runs[i] = uint32(t.lastRun)
		if t.failures > 0 {
			if failures == nil {
				failures = make([]uint32, len(p.tasks))
			}
			failures[i] = uint32(t.failures)
		}
		if t.checkpoint != "" {
			if rec.Saved == nil {
				rec.Saved = make(map[int]string)
			}
			rec.Saved[i] = t.checkpoint
		}
		for _, r := range t.runs {
			liveHost := flow.LiveHost{ID: r.host.info.ID, Incarnation: r.incarnation}
			at, ok := hostIndex[liveHost]
			if !ok {
				at = len(jobRecord.Hosts)
				hostIndex[liveHost] = at
				jobRecord.Hosts = append(jobRecord.Hosts, liveHost)
			}
			rec.Live = append(rec.Live, flow.LiveRun{Index: i, Run: r.number, Host: at, Stopped: r.stopping})
		}
	}
	rec.Fails = failures
	for _, number := range p.failedRuns {
		rec.FailedRuns = append(rec.FailedRuns, uint32(number))
	}
	return rec
}

// liveRunCount returns the number of live runs of the part.
func (p *part) liveRunCount() int {
	n := 0
	for i := range p.tasks {
		n += len(p.tasks[i].runs)
	}
	return n
}

// restore applies the progress that an earlier owner recorded. Runs that were live in the record are kept until a report
// shows their outcome or the leases on their host have expired.
func (c *Cell) restore(j *job, rec flow.Record) {
	j.state, j.recordedState, j.endedAt, j.recordSeq = rec.State, rec.State, rec.Ended, rec.Seq
	// A run that has begun since the record is found in the report of its host.
	j.started, j.begun = j.state != flow.Queued, rec.Begun
	for _, pr := range rec.Parts {
		if pr.Occurrence >= len(j.parts) || pr.Step >= len(j.spec.Steps) {
			c.log.Warn("Ignored a recorded step that the job does not have.", "job", j.spec.ID, "step", pr.Step)
			continue
		}
		p := j.occurrence(pr.Occurrence)[pr.Step]
		for i := range p.tasks {
			c.restoreTask(&p.tasks[i], pr)
		}
		for _, number := range pr.FailedRuns {
			p.failedRuns = append(p.failedRuns, int(number))
		}
		for _, l := range pr.Live {
			if l.Index >= len(p.tasks) || l.Host >= len(rec.Hosts) {
				c.log.Error("Ignored a recorded run: its task is not in the job or its host is not in the record.", "job", j.spec.ID, "step", pr.Step, "task", l.Index, "host", l.Host)
				continue
			}
			c.restoreRun(&p.tasks[l.Index], l, rec.Hosts[l.Host], j.state.Final())
		}
		p.begin()
		p.waitingTasks = 0
		for i := range p.tasks {
			if p.tasks[i].waiting() {
				p.waitingTasks++
			}
			p.gangFailures = max(p.gangFailures, p.tasks[i].failures)
		}
		if p.doneTasks == len(p.tasks) {
			j.builtTasks -= len(p.tasks)
			j.partsLeft--
			for _, n := range p.successors {
				n.blockers--
			}
			p.release()
		}
	}
}

// restoreTask applies the recorded progress of a part to one of its tasks.
func (c *Cell) restoreTask(t *task, pr flow.Part) {
	i := t.index
	if pr.AllDone || (i/8 < len(pr.Done) && pr.Done[i/8]&(1<<(i%8)) != 0) {
		t.done = true
		t.part.doneTasks++
	}
	if i < len(pr.Runs) {
		t.lastRun = int(pr.Runs[i])
		t.lastRecorded = t.lastRun
	}
	if i < len(pr.Fails) {
		t.failures = int(pr.Fails[i])
	}
	t.checkpoint = pr.Saved[i]
}

// restoreRun restores a run that was live when it was recorded. A run that is no longer needed is queued for a stop.
func (c *Cell) restoreRun(t *task, l flow.LiveRun, liveHost flow.LiveHost, jobEnded bool) {
	h := c.host(liveHost.ID)
	if liveHost.Incarnation > h.info.Incarnation {
		c.handleRestart(h, liveHost.Incarnation)
	}
	// If the host has restarted since the record, the start may still have reached the new incarnation.
	r := newRun(t, l.Run, h, h.info.Incarnation, c.now)
	r.phase, r.inherited, r.ackedPace, r.stopping = phaseOrdered, true, unknownPace, l.Stopped || jobEnded || t.done
	if r.stopping {
		c.pendingStops = append(c.pendingStops, r)
	}
	c.attach(r)
}

// SnapshotPending reports whether runs wait for the last snapshot to become durable.
func (c *Cell) SnapshotPending() bool {
	return len(c.recording) > 0
}
