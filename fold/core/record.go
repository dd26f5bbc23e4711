package core

import (
	"plantainfold.example/fold/flow"
)

// Write is a record that has to become durable.
type Write struct {
	Job    string
	Record flow.Record
}

// Snapshot returns the records that changed since the last one. Until Recorded or Unrecorded is called there is no
// other snapshot.
func (c *Cell) Snapshot() []Write {
	var writes []Write
	for _, j := range c.dirty {
		j.dirty = false
		writes = append(writes, Write{Job: j.spec.ID, Record: j.record()})
	}
	c.dirty = c.dirty[:0]
	c.recorded = append(c.recorded, c.planned...)
	c.planned = c.planned[:0]
	for _, h := range c.ranked {
		h.ackNext = h.seen
	}
	return writes
}

// SnapshotRecorded releases the orders and acknowledgements that waited for the last snapshot.
func (c *Cell) SnapshotRecorded(writes []Write) {
	for _, h := range c.ranked {
		if h.ackNext > h.acked {
			h.acked = h.ackNext
			c.orders.Acks = append(c.orders.Acks, Ack{Host: h.info.ID, Incarnation: h.info.Incarnation, Number: h.acked})
		}
	}
	for _, r := range c.recorded {
		if r.phase != phasePlanned || r.gone {
			continue
		}
		r.phase = phaseOrdered
		if r.stopping {
			// The run was given up before it was ever sent.
			c.drop(r)
			continue
		}
		c.order(r)
	}
	c.recorded = c.recorded[:0]
	for _, w := range writes {
		j, ok := c.jobs[w.Job]
		if ok {
			j.shown = w.Record.State
		}
		if ok && j.state.Final() && j.live == 0 && !j.dirty {
			delete(c.jobs, w.Job)
		}
	}
}

// SetCommitted notes the version of the table that the last commit of this owner made.
func (c *Cell) SetCommitted(version int64) {
	c.committed = max(c.committed, version)
}

// SnapshotFailed takes back a snapshot that did not become durable: its records are due again.
func (c *Cell) SnapshotFailed(writes []Write) {
	for _, w := range writes {
		if j, ok := c.jobs[w.Job]; ok {
			c.mark(j)
		}
	}
	c.planned = append(c.planned, c.recorded...)
	c.recorded = c.recorded[:0]
}

// record describes the progress of the job.
func (j *job) record() flow.Record {
	j.seq++
	rec := flow.Record{State: j.state, Seq: j.seq, Ended: j.ended, Team: j.spec.Team}
	if j.state.Final() && j.live == 0 {
		return rec
	}
	lives := make(map[flow.LiveHost]int)
	for _, steps := range j.parts {
		for _, p := range steps {
			if p.begun() {
				rec.Parts = append(rec.Parts, p.record(&rec, lives))
			}
		}
	}
	return rec
}

// begun reports whether any task of the part was ever planned.
func (p *part) begun() bool {
	for i := range p.tasks {
		if p.tasks[i].run > 0 || p.tasks[i].done {
			return true
		}
	}
	return false
}

// record describes the progress of the part; the lives of hosts that it refers to are added to all.
func (p *part) record(all *flow.Record, lives map[flow.LiveHost]int) flow.Part {
	rec := flow.Part{Occurrence: p.occurrence, Step: p.index}
	if p.done == len(p.tasks) && p.live() == 0 {
		rec.AllDone = true
		return rec
	}
	rec.Done = make([]byte, (len(p.tasks)+7)/8)
	rec.Runs = make([]uint32, len(p.tasks))
	var fails []uint32
	for i := range p.tasks {
		t := &p.tasks[i]
		if t.done {
			rec.Done[i/8] |= 1 << (i % 8)
		}
		rec.Runs[i] = uint32(t.run)
		if t.fails > 0 {
			if fails == nil {
				fails = make([]uint32, len(p.tasks))
			}
			fails[i] = uint32(t.fails)
		}
		if t.saved != "" {
			if rec.Saved == nil {
				rec.Saved = make(map[int]string)
			}
			rec.Saved[i] = t.saved
		}
		for _, r := range t.runs {
			life := flow.LiveHost{ID: r.host.info.ID, Incarnation: r.born}
			at, ok := lives[life]
			if !ok {
				at = len(all.Hosts)
				lives[life] = at
				all.Hosts = append(all.Hosts, life)
			}
			rec.Live = append(rec.Live, flow.LiveRun{Index: i, Run: r.number, Host: at, Stopped: r.stopping})
		}
	}
	rec.Fails = fails
	return rec
}

func (p *part) live() int {
	n := 0
	for i := range p.tasks {
		n += len(p.tasks[i].runs)
	}
	return n
}

// restore takes the progress that an earlier owner recorded. Its live runs stay on their hosts until a report or the
// end of the lease tells what became of them.
func (c *Cell) restore(j *job, rec flow.Record) {
	j.state, j.shown, j.ended, j.seq = rec.State, rec.State, rec.Ended, rec.Seq
	j.begun = j.state != flow.Queued
	for _, pr := range rec.Parts {
		if pr.Occurrence >= len(j.parts) || pr.Step >= len(j.spec.Steps) {
			c.log.Warn("Ignored a recorded step that the job does not have.", "job", j.spec.ID, "step", pr.Step)
			continue
		}
		p := j.parts[pr.Occurrence][pr.Step]
		for i := range p.tasks {
			c.restoreTask(&p.tasks[i], pr)
		}
		for _, l := range pr.Live {
			if l.Index >= len(p.tasks) || l.Host >= len(rec.Hosts) {
				c.log.Error("Ignored a recorded run that the job or its hosts do not have.", "job", j.spec.ID, "step", pr.Step, "task", l.Index, "host", l.Host)
				continue
			}
			c.restoreRun(&p.tasks[l.Index], l, rec.Hosts[l.Host], j.state.Final())
		}
		p.free = 0
		for i := range p.tasks {
			if p.tasks[i].waiting() {
				p.free++
			}
			p.fails = max(p.fails, p.tasks[i].fails)
		}
		if p.done == len(p.tasks) {
			j.left--
			for _, n := range p.next {
				n.blocked--
			}
		}
	}
}

func (c *Cell) restoreTask(t *task, pr flow.Part) {
	i := t.index
	if pr.AllDone || (i/8 < len(pr.Done) && pr.Done[i/8]&(1<<(i%8)) != 0) {
		t.done = true
		t.part.done++
	}
	if i < len(pr.Runs) {
		t.run = int(pr.Runs[i])
		t.recorded = t.run
	}
	if i < len(pr.Fails) {
		t.fails = int(pr.Fails[i])
	}
	t.saved = pr.Saved[i]
}

func (c *Cell) restoreRun(t *task, l flow.LiveRun, life flow.LiveHost, ended bool) {
	h := c.host(life.ID)
	if life.Incarnation > h.info.Incarnation {
		c.reborn(h, life.Incarnation)
	}
	if life.Incarnation < h.info.Incarnation {
		// A later life of the host runs nothing of an earlier one.
		return
	}
	r := newRun(t, l.Run, h, life.Incarnation, c.now)
	r.phase, r.inherited, r.stopping = phaseOrdered, true, l.Stopped || ended || t.done
	if r.stopping {
		c.stops = append(c.stops, r)
	}
	c.attach(r)
}

// SnapshotPending reports whether runs wait for the end of the snapshot.
func (c *Cell) SnapshotPending() bool {
	return len(c.recorded) > 0
}
