package model

import (
	"time"

	"plantainfold.example/fold"
	"plantainfold.example/fold/flow"
	"plantainfold.example/fold/lease"
)

// ownerRow is the row of the table that names the owner, as in package lead.
type ownerRow struct {
	epoch, count int64
	// entry is the number of the owning entry, or noEntry after a hand-over. incarnation is that of its process.
	entry, incarnation int
	// listed holds the entries to which the owner announces that it starts runs without records.
	listed []process
	// leases bounds the leases of the owner and earlier ones once it has handed over.
	leases *lease.Bounds
}

// process is one incarnation of an entry.
type process struct {
	entry, incarnation int
}

// noEntry stands for no entry in an ownerRow.
const noEntry = -1

// Times of calls to the table, as in package lead.
const (
	commitTimeout    = 900 * time.Millisecond
	commitRetryDelay = 60 * time.Millisecond
	tableRetryDelay  = 100 * time.Millisecond
	snapshotTimeout  = 5 * time.Second
)

// outcome is the outcome of a call to the table.
type outcome int

const (
	// outcomeDone means that the call succeeded.
	outcomeDone outcome = iota
	// outcomeConflict means that the owner's row had another version.
	outcomeConflict
	// outcomeRefused means that the call did not reach the table.
	outcomeRefused
	// outcomeUnknown means that there was no answer.
	outcomeUnknown
)

// callTable calls the table, which executes the call if it arrives. done gets the outcome within limit.
func (e *entry) callTable(limit time.Duration, execute func() outcome, done func(outcome)) {
	w := e.world
	finished := false
	finish := func(result outcome) {
		if !finished {
			finished = true
			done(result)
		}
	}
	if !w.tableUp {
		e.after(messageDelay, func() { finish(outcomeRefused) })
		return
	}
	e.after(limit, func() { finish(outcomeUnknown) })
	if e.table.requestsLost > 0 {
		return
	}
	w.after(w.tableDelay(), func() {
		result := execute()
		if e.table.answersLost > 0 {
			return
		}
		e.after(w.tableDelay(), func() { finish(result) })
	})
}

// tableDelay returns how long a message to or from the table takes.
func (w *World) tableDelay() time.Duration {
	if w.slowTable == 0 {
		return commitTime / 2
	}
	return commitTime/2 + time.Duration(w.faults.ExpFloat64()*float64(w.slowTable))
}

// term is the ownership of the pool in one epoch, as in package lead.
type term struct {
	entry   *entry
	row     ownerRow
	version int64
	// began is when the takeover was sent. previousCommit is when the row that it replaces was first seen.
	began, previousCommit fold.Instant
	// previousLeases is the field leases of that row.
	previousLeases *lease.Bounds
	// committing is set during a commit. ended makes the attempts of a commit end.
	committing, ended bool
}

// commit writes the row next and calls write with the version of the table, if the row is unchanged. It tries until the
// outcome is known, like lead.Term.
func (t *term) commit(next ownerRow, write func(version int64), done func(outcome)) {
	e, expected := t.entry, t.version
	t.committing = true
	finish := func(result outcome) {
		t.committing = false
		done(result)
	}
	mayHaveRun := false
	var try func()
	retry := func() { e.after(commitRetryDelay, try) }
	try = func() {
		if t.ended && mayHaveRun {
			finish(outcomeUnknown)
			return
		}
		var version int64
		e.callTable(commitTimeout, func() outcome {
			s := &e.world.store
			if s.rowVersion != expected {
				return outcomeConflict
			}
			s.version++
			s.row, s.rowVersion, s.epoch, version = next, s.version, next.epoch, s.version
			write(version)
			return outcomeDone
		}, func(result outcome) {
			switch result {
			case outcomeDone:
				t.row, t.version = next, version
				finish(outcomeDone)
			case outcomeConflict:
				t.resolveConflict(next, finish)
			case outcomeRefused:
				if !mayHaveRun {
					finish(outcomeRefused)
					return
				}
				retry()
			case outcomeUnknown:
				mayHaveRun = true
				retry()
			}
		})
	}
	try()
}

// resolveConflict reads the owner's row to find out whether an earlier attempt has succeeded.
func (t *term) resolveConflict(next ownerRow, done func(outcome)) {
	var found ownerRow
	var version int64
	t.entry.callTable(commitTimeout, func() outcome {
		found, version = t.entry.world.store.row, t.entry.world.store.rowVersion
		return outcomeDone
	}, func(result outcome) {
		switch {
		case result == outcomeDone && found.entry == next.entry && found.incarnation == next.incarnation && found.epoch == next.epoch && found.count == next.count:
			t.row, t.version = next, version
			done(outcomeDone)
		case result == outcomeDone:
			done(outcomeConflict)
		case t.ended:
			done(outcomeUnknown)
		default:
			t.entry.after(commitRetryDelay, func() { t.resolveConflict(next, done) })
		}
	})
}

// loadedState is what a new owner reads from the table.
type loadedState struct {
	jobs    []flow.Job
	records map[string]flow.Record
	cancels []string
	awaited []fold.Host
}

// load reads the jobs, their records and the used hosts, and tries until it succeeds.
func (o *owner) load(awaitUnrecorded bool, done func(loadedState)) {
	var state loadedState
	o.entry.callTable(snapshotTimeout, func() outcome {
		state = o.world.readState(o.epoch, awaitUnrecorded)
		return outcomeDone
	}, func(result outcome) {
		switch {
		case o.dead:
		case result == outcomeDone:
			done(state)
		default:
			o.after(tableRetryDelay, func() { o.load(awaitUnrecorded, done) })
		}
	})
}

// readState reads the table for the owner of an epoch, as drive.Driver does when its term begins.
func (w *World) readState(epoch int64, awaitUnrecorded bool) loadedState {
	state := loadedState{records: make(map[string]flow.Record)}
	for _, j := range w.jobs {
		id := j.spec.ID
		spec, stored := w.store.jobs[id]
		rec := w.store.records[id]
		if stored {
			state.records[id] = rec
			if !rec.State.Final() || len(rec.Parts) > 0 {
				state.jobs = append(state.jobs, spec)
			}
		}
		if w.store.cancels[id] {
			state.cancels = append(state.cancels, id)
		}
	}
	for _, h := range w.store.used {
		if awaitUnrecorded || w.store.usedEpoch != epoch-1 || h.Awaited {
			state.awaited = append(state.awaited, fold.Host{ID: h.ID, Address: h.Address, Incarnation: h.Incarnation})
		}
	}
	return state
}
