package drive

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"time"

	"github.com/joomcode/errorx"

	"plantainfold.example/fold"
	"plantainfold.example/fold/codec"
	"plantainfold.example/fold/core"
	"plantainfold.example/fold/flow"
)

// keepEnded is how long the state of an ended job is kept; callers may ask for it for two minutes.
const keepEnded = 4 * time.Minute

const (
	// maxEarly bounds the wishes to cancel jobs that are not known yet; a job follows within a second, or never.
	maxEarly = 10000
	// tableTime bounds a read of a row, snapshotTime a read of a whole table.
	tableTime    = 900 * time.Millisecond
	snapshotTime = 5 * time.Second
)

// load reads all jobs and their progress, and returns the version from which jobs of other entries follow.
func (d *Driver) load(ctx context.Context) (int64, error) {
	began := d.parts.Clock.Now()
	rows, _, err := d.snapshot(ctx, JobTable)
	if err != nil {
		return 0, err
	}
	written, version, err := d.snapshot(ctx, InboxTable)
	if err != nil {
		return 0, err
	}
	rows = append(rows, written...)
	states, _, err := d.snapshot(ctx, StateTable)
	if err != nil {
		return 0, err
	}
	packed, _, err := d.snapshot(ctx, BacklogTable)
	if err != nil {
		return 0, err
	}
	records := make(map[string]flow.Record, len(states))
	for _, row := range states {
		id := strings.TrimPrefix(row.Key, StateTable)
		rec, err := codec.Decode[flow.Record](row.Value)
		if err != nil {
			// Without its progress the job would run from its beginning, tasks that are done among them.
			d.log.Error("Left a job alone whose record cannot be read.", "job", id, "error", err)
			d.unreadable[id] = true
			continue
		}
		records[id] = rec
	}
	d.restoreBacklog(packed, records)
	d.takeEnded(records, began)
	hosts, err := d.usedBefore(ctx)
	if err != nil {
		return 0, err
	}
	jobs := d.takeRows(rows, records)
	d.with(func(c *core.Cell) {
		c.SetAwaited(hosts)
		for _, j := range jobs {
			c.RestoreJob(j, records[j.ID])
			d.cancelEarly(c, j.ID)
		}
		for _, row := range rows {
			d.takeCancel(c, row)
		}
	})
	d.log.Info("Took over the pool.", "jobs", len(jobs), "records", len(records), "awaited", len(hosts), "took", d.parts.Clock.Now().Sub(began).String())
	return version, nil
}

// takeEnded notes the states of jobs that have ended; rows of those that ended long ago are removed.
func (d *Driver) takeEnded(records map[string]flow.Record, now fold.Instant) {
	old := time.Now().Add(-keepEnded).UnixMilli()
	for id, rec := range records {
		if !rec.State.Final() || len(rec.Parts) > 0 {
			continue
		}
		if rec.Ended != 0 && rec.Ended < old {
			d.rows = append(d.rows, StateTable+id)
			continue
		}
		d.ended[id] = ended{state: rec.State, team: rec.Team, at: now}
	}
}

// takeRows returns the jobs of the rows in the order in which they were accepted; rows of ended jobs are removed later.
func (d *Driver) takeRows(rows []fold.Row, records map[string]flow.Record) []flow.Job {
	jobs := make([]flow.Job, 0, len(rows))
	for _, row := range rows {
		if job, ok := d.decodeJob(row, records); ok {
			jobs = append(jobs, job)
		}
	}
	slices.SortFunc(jobs, func(a, b flow.Job) int {
		return cmp.Or(cmp.Compare(a.Accepted, b.Accepted), cmp.Compare(a.ID, b.ID))
	})
	return jobs
}

// snapshot reads a table, trying until ctx ends.
func (d *Driver) snapshot(ctx context.Context, table string) ([]fold.Row, int64, error) {
	for {
		call, cancel := context.WithTimeout(ctx, snapshotTime)
		rows, version, err := d.parts.Log.Snapshot(call, table)
		cancel()
		if err == nil {
			return rows, version, nil
		}
		d.log.Warn("Could not read a table.", "table", table, "error", err)
		if !d.pause(ctx, pauseAfterError) {
			return nil, 0, err
		}
	}
}

// jobOf returns the id of the job that a row of either table of jobs is about, and whether it is a wish to cancel it.
func jobOf(row fold.Row) (id string, wish bool) {
	id = strings.TrimPrefix(strings.TrimPrefix(row.Key, InboxTable), JobTable)
	return strings.CutSuffix(id, CancelMark)
}

// decodeJob reads the row of a job that has not ended; rows of ended jobs are removed later.
func (d *Driver) decodeJob(row fold.Row, records map[string]flow.Record) (flow.Job, bool) {
	id, wish := jobOf(row)
	if strings.HasPrefix(row.Key, InboxTable) {
		d.inbox[id] = true
	}
	if wish {
		return flow.Job{}, false
	}
	if d.unreadable[id] {
		return flow.Job{}, false
	}
	rec := records[id]
	if rec.State.Final() && len(rec.Parts) == 0 {
		if _, shared := d.backlog.records[id]; !shared {
			d.rows = append(d.rows, row.Key)
		}
		return flow.Job{}, false
	}
	job, err := codec.Decode[flow.Job](row.Value)
	if err != nil {
		d.log.Error("Ignored a job that cannot be read.", "key", row.Key, "error", err)
		return flow.Job{}, false
	}
	return job, true
}

func (d *Driver) takeCancel(c *core.Cell, row fold.Row) {
	if id, wish := jobOf(row); wish && !d.cancel(c, id) {
		d.rows = append(d.rows, row.Key)
	}
}

// cancel ends a job at its caller's wish; it reports false for one that has ended before. The wish may come before the job,
// when different entries recorded them.
func (d *Driver) cancel(c *core.Cell, id string) bool {
	if c.Cancel(id) {
		return true
	}
	if _, ended := d.ended[id]; ended {
		return false
	}
	if len(d.early) >= maxEarly {
		d.log.Warn("Forgot wishes to cancel jobs that never came.", "wishes", len(d.early))
		clear(d.early)
	}
	d.early[id] = true
	return true
}

// hasEnded reports whether a job has ended that the cell holds no more.
func (d *Driver) hasEnded(id string) bool {
	_, ended := d.ended[id]
	return ended
}

// cancelEarly carries out a wish to cancel the job that came before it.
func (d *Driver) cancelEarly(c *core.Cell, id string) {
	if d.early[id] {
		delete(d.early, id)
		c.Cancel(id)
	}
}

// follow takes new jobs and wishes to cancel from the feed.
func (d *Driver) follow(ctx context.Context, version int64) {
	for ctx.Err() == nil {
		call, cancel := context.WithTimeout(ctx, feedWait+feedTime)
		changes, next, err := d.parts.Log.Changes(call, InboxTable, version, feedWait)
		cancel()
		switch {
		case err == nil:
			version = next
			d.takeChanges(changes)
			d.pause(ctx, feedPause)
		case errorx.IsOfType(err, fold.Outdated):
			rows, next, err := d.snapshot(ctx, InboxTable)
			if err != nil {
				return
			}
			d.log.Info("Read all jobs of other entries again, the history was gone.", "jobs", len(rows))
			version = next
			changes = changes[:0]
			for _, row := range rows {
				changes = append(changes, fold.RowChange{Row: row})
			}
			d.takeChanges(changes)
		case ctx.Err() == nil:
			d.log.Debug("Could not follow the jobs.", "error", err)
			d.pause(ctx, pauseAfterError)
		}
	}
}

// takeChanges gives the cell jobs and wishes to cancel that were written. The row of a job may be read again after the
// job has ended; such a job does not run again.
func (d *Driver) takeChanges(changes []fold.RowChange) {
	if len(changes) == 0 {
		return
	}
	d.update(func(c *core.Cell) {
		for _, change := range changes {
			if change.Deleted {
				continue
			}
			if id, wish := jobOf(change.Row); !wish && d.hasEnded(id) {
				d.rows = append(d.rows, change.Key)
				continue
			}
			if job, ok := d.decodeJob(change.Row, nil); ok {
				c.AddJob(job, change.Version)
				d.cancelEarly(c, job.ID)
			}
		}
		for _, change := range changes {
			if !change.Deleted {
				d.takeCancel(c, change.Row)
			}
		}
	})
}
