package drive

import (
	"context"
	"errors"
	"time"

	"plantainfold.example/fold"
	"plantainfold.example/fold/codec"
	"plantainfold.example/fold/core"
	"plantainfold.example/fold/flow"
	"plantainfold.example/fold/lead"
)

// Tables of the jobs.
const (
	// JobTable holds the accepted jobs that have not ended and the wishes to cancel them.
	JobTable = "job/"
	// StateTable holds the progress of jobs, for a while after their end, too.
	StateTable = "state/"
	// CancelMark follows the id of a job in the key of a wish to cancel it.
	CancelMark = "~cancel"
)

const (
	// maxRows and maxBytes keep a commit below what the platform takes in a call, 100 rows and 1 MB.
	maxRows  = 80
	maxBytes = 500 << 10
	// sweepEvery is how often rows of ended jobs are removed, sweepRows how many at a time.
	sweepEvery = 2 * time.Second
	sweepRows  = 60
	// finishTime bounds how long a commit goes on after the driver was told to stop.
	finishTime = time.Second
	// gather is how long a commit waits for more decisions of the same moment.
	gather = 4 * time.Millisecond
)

// commit writes the records of the cell, one commit at a time, and renews the ownership in between.
func (d *Driver) commit(ctx context.Context) {
	swept := d.parts.Clock.Now()
	// A commit under way is finished after the end of ctx, so that its outcome is known when the pool is handed over.
	call, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	defer context.AfterFunc(ctx, func() { time.AfterFunc(finishTime, cancel) })()
	for {
		renew := d.parts.Clock.After(lead.Renew)
		select {
		case <-ctx.Done():
			return
		case <-renew:
		case <-d.record:
			if !d.pause(ctx, gather) {
				return
			}
		}
		due := d.parts.Clock.Now().Sub(d.committed) >= lead.Renew
		sweep := d.parts.Clock.Now().Sub(swept) >= sweepEvery
		if sweep {
			swept = d.parts.Clock.Now()
		}
		if err := d.commitOnce(call, due, sweep); err != nil {
			if ctx.Err() == nil {
				d.depose(err)
			}
			return
		}
	}
}

// commitOnce writes what has changed, or only renews when that is due.
func (d *Driver) commitOnce(ctx context.Context, due, sweep bool) error {
	var writes []core.Write
	var waiting map[string]int
	var planned bool
	var deletes []string
	d.with(func(c *core.Cell) {
		writes = c.Snapshot()
		planned = c.Pending()
		waiting = c.Waiting()
		if sweep {
			n := min(len(d.rows), sweepRows)
			deletes = d.rows[:n]
		}
	})
	if len(writes) == 0 && !due && !planned && len(deletes) == 0 {
		return nil
	}
	if err := d.write(ctx, writes, deletes, waiting); err != nil {
		return err
	}
	var orders core.Orders
	d.with(func(c *core.Cell) {
		c.Recorded(writes)
		orders = c.Orders()
		d.rows = d.rows[len(deletes):]
		close(d.recorded)
		d.recorded = make(chan struct{})
		for _, w := range writes {
			if w.Record.State.Final() && len(w.Record.Parts) == 0 {
				d.rows = append(d.rows, JobTable+w.Job, JobTable+w.Job+CancelMark)
			}
		}
	})
	d.send(ctx, orders)
	return nil
}

// write commits the records in as many commits as they need.
func (d *Driver) write(ctx context.Context, writes []core.Write, deletes []string, waiting map[string]int) error {
	for first := true; first || len(writes) > 0; first = false {
		var puts []fold.Put
		size := 0
		for len(writes) > 0 && len(puts) < maxRows-len(deletes) && size < maxBytes {
			value, err := codec.Encode[flow.Record](writes[0].Record)
			if err != nil {
				return err
			}
			size += len(value)
			puts = append(puts, fold.Put{Key: StateTable + writes[0].Job, Value: value})
			writes = writes[1:]
		}
		sent := d.parts.Clock.Now()
		err := d.term.Commit(ctx, puts, deletes, waiting)
		took := d.parts.Clock.Now().Sub(sent)
		d.parts.Meter.Commit(took, len(puts)+len(deletes))
		if err != nil {
			if !errors.Is(err, context.Canceled) {
				d.log.Warn("Commit failed.", "rows", len(puts), "took", took.String(), "error", err)
			}
			return err
		}
		if took > lead.Renew {
			d.log.Warn("Commit was slow.", "rows", len(puts), "took", took.String())
		}
		d.mu.Lock()
		d.committed = sent
		d.mu.Unlock()
		deletes = nil
	}
	return nil
}
