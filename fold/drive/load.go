package drive

import (
	"context"
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

// load reads all jobs and their progress, and returns the version of the jobs that was read at least.
func (d *Driver) load(ctx context.Context) (int64, error) {
	began := d.parts.Clock.Now()
	jobs, version, err := d.snapshot(ctx, JobTable)
	if err != nil {
		return 0, err
	}
	states, _, err := d.snapshot(ctx, StateTable)
	if err != nil {
		return 0, err
	}
	records := make(map[string]flow.Record, len(states))
	old := time.Now().Add(-keepEnded).UnixMilli()
	for _, row := range states {
		rec, err := codec.Decode[flow.Record](row.Value)
		if err != nil {
			d.log.Error("Ignored a record that cannot be read.", "key", row.Key, "error", err)
			continue
		}
		records[strings.TrimPrefix(row.Key, StateTable)] = rec
		if !rec.State.Final() || len(rec.Parts) > 0 {
			continue
		}
		if rec.Ended != 0 && rec.Ended < old {
			d.rows = append(d.rows, row.Key)
			continue
		}
		d.ended[strings.TrimPrefix(row.Key, StateTable)] = ended{state: rec.State, team: rec.Team, at: began}
	}
	var hosts []fold.Host
	if d.parts.Await {
		if hosts, err = d.usedBefore(ctx); err != nil {
			return 0, err
		}
	}
	d.with(func(c *core.Cell) {
		c.Await(hosts)
		for _, row := range jobs {
			d.takeJob(c, row, records)
		}
		for _, row := range jobs {
			d.takeCancel(c, row)
		}
	})
	d.log.Info("Took over the pool.", "jobs", len(jobs), "records", len(records), "took", d.parts.Clock.Now().Sub(began).String())
	return version, nil
}

// usedBefore reads the hosts that an earlier owner used.
func (d *Driver) usedBefore(ctx context.Context) ([]fold.Host, error) {
	for {
		call, cancel := context.WithTimeout(ctx, tableTime)
		row, err := d.parts.Table.Get(call, hostsKey)
		cancel()
		if errorx.IsOfType(err, fold.NotFound) {
			return nil, nil
		}
		if err == nil {
			used, err := codec.Decode[[]usedHost](row.Value)
			if err != nil {
				return nil, err
			}
			hosts := make([]fold.Host, 0, len(used))
			for _, u := range used {
				hosts = append(hosts, fold.Host{ID: u.ID, Address: u.Address, Born: u.Born})
			}
			return hosts, nil
		}
		d.log.Warn("Could not read the hosts of the earlier owner.", "error", err)
		if !d.pause(ctx, pauseAfterError) {
			return nil, err
		}
	}
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

// takeJob gives the cell a job with its progress; rows of ended jobs are removed later.
func (d *Driver) takeJob(c *core.Cell, row fold.Row, records map[string]flow.Record) {
	id := strings.TrimPrefix(row.Key, JobTable)
	if strings.HasSuffix(id, CancelMark) {
		return
	}
	rec := records[id]
	if rec.State.Final() && len(rec.Parts) == 0 {
		d.rows = append(d.rows, row.Key)
		return
	}
	job, err := codec.Decode[flow.Job](row.Value)
	if err != nil {
		d.log.Error("Ignored a job that cannot be read.", "key", row.Key, "error", err)
		return
	}
	d.add(c, job, rec)
}

func (d *Driver) takeCancel(c *core.Cell, row fold.Row) {
	id, ok := strings.CutSuffix(strings.TrimPrefix(row.Key, JobTable), CancelMark)
	if !ok {
		return
	}
	d.cancel(c, id)
}

// cancel ends a job at its caller's wish. The wish may come before the job, when different entries recorded them.
func (d *Driver) cancel(c *core.Cell, id string) {
	if c.Cancel(id) {
		return
	}
	if _, ended := d.ended[id]; ended {
		d.rows = append(d.rows, JobTable+id+CancelMark)
		return
	}
	if len(d.early) >= maxEarly {
		d.log.Warn("Forgot wishes to cancel jobs that never came.", "wishes", len(d.early))
		clear(d.early)
	}
	d.early[id] = true
}

// add gives the cell a job and carries out a wish to cancel it that came first.
func (d *Driver) add(c *core.Cell, job flow.Job, rec flow.Record) {
	c.AddJob(job, rec)
	if d.early[job.ID] {
		delete(d.early, job.ID)
		c.Cancel(job.ID)
	}
}

// follow takes new jobs and wishes to cancel from the feed.
func (d *Driver) follow(ctx context.Context, version int64) {
	for ctx.Err() == nil {
		call, cancel := context.WithTimeout(ctx, feedWait+feedTime)
		changes, next, err := d.parts.Log.Changes(call, JobTable, version, feedWait)
		cancel()
		switch {
		case err == nil:
			version = next
			d.takeChanges(changes)
		case errorx.IsOfType(err, fold.Outdated):
			rows, next, err := d.snapshot(ctx, JobTable)
			if err != nil {
				return
			}
			d.log.Info("Read all jobs again, the history was gone.", "jobs", len(rows))
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
			if _, ended := d.ended[strings.TrimPrefix(change.Key, JobTable)]; !change.Deleted && !ended {
				d.takeJob(c, change.Row, nil)
			}
		}
		for _, change := range changes {
			if !change.Deleted {
				d.takeCancel(c, change.Row)
			}
		}
	})
}

// readRoster reads the roster again and again and starts a loop for each new host.
func (d *Driver) readRoster(ctx context.Context) {
	failed := false
	for ctx.Err() == nil {
		call, cancel := context.WithTimeout(ctx, rosterEvery)
		hosts, err := d.parts.Roster.Hosts(call)
		cancel()
		if err != nil {
			if !failed && ctx.Err() == nil {
				d.log.Warn("Could not read the roster.", "error", err)
			}
			failed = true
			d.pause(ctx, pauseAfterError)
			continue
		}
		if failed {
			d.log.Info("Read the roster again.", "hosts", len(hosts))
			failed = false
		}
		d.update(func(c *core.Cell) {
			c.SetHosts(hosts)
			for _, h := range hosts {
				if !d.holders[h.ID] {
					d.holders[h.ID] = true
					d.spawn(func() { d.hold(ctx, h.ID) })
				}
			}
		})
		d.pause(ctx, rosterEvery)
	}
}
