package entry_test

import (
	"context"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/joomcode/errorx"

	"plantainfold.example/fold"
	"plantainfold.example/fold/cell"
	"plantainfold.example/fold/remote"
)

// drainer starts and checks the drains of one cell.
type drainer struct {
	cell   *cell.Cell
	op     *remote.Client
	caller *remote.Client
}

// Guards against a drain under which the drained part gets new work, running work is cut off or tasks are lost, and
// against a drain that does not report what it waits for.
func TestDrainsEmptyWhatTheyName(t *testing.T) {
	t.Parallel()
	c := newCell(t, 3, io.Discard)
	d := &drainer{cell: c, op: operators(c)[0]}
	apply(t, d.op, manifest)
	issued, err := d.op.IssueKey(context.Background(), fold.KeyGrant{Team: "crews"})
	if err != nil {
		t.Fatal(err)
	}
	d.caller = remote.New(c.Addresses()["entry-0"], issued.Key)
	t.Run("worker", d.checkWorkerDrain)
	t.Run("endpoint", d.checkEndpointDrain)
	t.Run("queue", d.checkQueueDrain)
	t.Run("entry", d.checkEntryDrain)
}

func (d *drainer) submit(t *testing.T, id string, count int, duration time.Duration) fold.JobStatus {
	t.Helper()
	var out fold.JobStatus
	eventually(t, func(ctx context.Context) error {
		s, err := d.caller.Submit(ctx, fold.Job{
			ID: id, Queue: "nightly", Kind: fold.Batch, Count: count,
			Resources: fold.Resources{CPU: 4000, Memory: 4096}, Duration: duration.Milliseconds(),
		})
		out = s
		return err
	})
	return out
}

// awaitDone waits until the drain is done.
func (d *drainer) awaitDone(t *testing.T, id string) {
	t.Helper()
	eventually(t, func(ctx context.Context) error {
		s, err := d.status(ctx, id)
		if err == nil && !s.Done {
			err = notYet("%s: %d left, held by %v", id, s.Remaining, s.Details)
		}
		return err
	})
}

func (d *drainer) status(ctx context.Context, id string) (fold.DrainStatus, error) {
	list, err := d.op.Drains(ctx)
	for _, s := range list {
		if s.Drain.ID() == id {
			return s, nil
		}
	}
	if err == nil {
		err = notYet("no drain %s", id)
	}
	return fold.DrainStatus{}, err
}

func (d *drainer) startDrain(t *testing.T, drain fold.Drain) {
	t.Helper()
	if _, err := d.op.Drain(context.Background(), drain); err != nil {
		t.Fatal(err)
	}
}

func (d *drainer) awaitRunning(t *testing.T, job string, want int) fold.JobStatus {
	t.Helper()
	var out fold.JobStatus
	eventually(t, func(ctx context.Context) error {
		s, err := d.caller.Job(ctx, job)
		out = s
		if err == nil && s.Running != want {
			err = notYet("%d tasks run, want %d", s.Running, want)
		}
		return err
	})
	return out
}

func (d *drainer) checkWorkerDrain(t *testing.T) {
	short := d.submit(t, "short", 2, 1500*time.Millisecond)
	d.awaitRunning(t, short.Job.ID, 2)
	long := d.submit(t, "long", 1, 30*time.Second)
	name := d.awaitRunning(t, long.Job.ID, 1).Placements[0].Worker
	d.startDrain(t, fold.Drain{Kind: fold.DrainWorker, Name: name, Grace: 6000})
	eventually(t, func(ctx context.Context) error {
		s, err := d.status(ctx, "worker/"+name)
		if err == nil && !strings.Contains(strings.Join(s.Details, " "), long.Job.ID) {
			err = notYet("the drain does not name task of job %s: %v", long.Job.ID, s.Details)
		}
		return err
	})
	spread, err := d.op.Spread(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	awaitRevision(t, operators(d.cell), spread.Revision)
	closed := fold.BootClock{}.Now()
	more := d.submit(t, "more", 6, 100*time.Millisecond)
	d.awaitDone(t, "worker/"+name)
	for _, run := range d.cell.Workers[name].Runs() {
		switch {
		case run.Begin > closed:
			t.Errorf("task %s began on the drained worker", run.Task)
		case run.Task.Job == short.Job.ID && run.State != fold.Done:
			t.Errorf("task %s, which ends within the grace period, is %s", run.Task, run.State)
		case run.Task.Job == long.Job.ID && run.State != fold.Stopped:
			t.Errorf("task %s, which outlasts the grace period, is %s", run.Task, run.State)
		}
	}
	d.awaitRunning(t, long.Job.ID, 1)
	eventually(t, func(ctx context.Context) error {
		s, err := d.caller.Job(ctx, more.Job.ID)
		if err == nil && s.State != fold.Done {
			err = notYet("job is %s", s.State)
		}
		return err
	})
	if _, err := d.caller.Cancel(context.Background(), long.Job.ID); err != nil {
		t.Error(err)
	}
	if _, err := d.op.Undrain(context.Background(), fold.DrainWorker, name); err != nil {
		t.Error(err)
	}
}

func (d *drainer) checkEndpointDrain(t *testing.T) {
	name := "a-r0-w0"
	d.startDrain(t, fold.Drain{Kind: fold.DrainEndpoint, Name: name + "-endpoint", Grace: 1000})
	d.awaitDone(t, "endpoint/"+name+"-endpoint")
	before := len(d.cell.Endpoints[name].Served())
	for n := range 50 {
		id := "after-" + string(rune('a'+n%26)) + string(rune('a'+n/26))
		if _, err := d.caller.Serve(context.Background(), "planning", fold.Request{ID: id, Idempotent: true, Timeout: 5 * time.Second}); err != nil {
			t.Errorf("request after the drain of one endpoint: %v", err)
		}
	}
	if after := len(d.cell.Endpoints[name].Served()); after != before {
		t.Errorf("the drained endpoint served %d more requests", after-before)
	}
}

func (d *drainer) checkQueueDrain(t *testing.T) {
	held := d.submit(t, "held", 1, 20*time.Second)
	d.awaitRunning(t, held.Job.ID, 1)
	d.startDrain(t, fold.Drain{Kind: fold.DrainQueue, Name: "nightly", Grace: 3000})
	_, err := d.caller.Submit(context.Background(), fold.Job{ID: "refused", Queue: "nightly", Kind: fold.Batch, Count: 1, Resources: fold.Resources{CPU: 1, Memory: 1}, Duration: 1})
	if !errorx.IsOfType(err, fold.Forbidden) || !strings.Contains(err.Error(), "is being retired") {
		t.Errorf("work for a drained queue: %v", err)
	}
	d.awaitDone(t, "queue/nightly")
	eventually(t, func(ctx context.Context) error {
		s, err := d.caller.Job(ctx, held.Job.ID)
		if err == nil && s.State != fold.Cancelled {
			err = notYet("job is %s", s.State)
		}
		return err
	})
}

func (d *drainer) checkEntryDrain(t *testing.T) {
	if _, err := d.op.Drain(context.Background(), fold.Drain{Kind: fold.DrainEntry, Name: "entry-9"}); !errorx.IsOfType(err, fold.NotFound) {
		t.Errorf("drain of an unknown entry: %v", err)
	}
	d.startDrain(t, fold.Drain{Kind: fold.DrainEntry, Name: "entry-2", Grace: 1000})
	d.awaitDone(t, "entry/entry-2")
	at := remote.New(d.cell.Addresses()["entry-2"], cell.RootKey())
	if err := at.Ready(context.Background()); !errorx.IsOfType(err, fold.Unavailable) {
		t.Errorf("a drained entry is ready: %v", err)
	}
	s, err := at.Status(context.Background())
	if err != nil || len(s.Pools) > 0 || !s.Leaving {
		t.Errorf("a drained entry has %d pools, leaving %v, %v", len(s.Pools), s.Leaving, err)
	}
}
