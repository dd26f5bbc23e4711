package cell_test

import (
	"context"
	"io"
	"strconv"
	"testing"
	"time"

	"plantainfold.example/fold"
	"plantainfold.example/fold/cell"
	"plantainfold.example/fold/remote"
)

const manifest = `{
	"teams": [{"name": "crews", "share": 1, "limit": {"cpu": 64000, "memory": 65536}}],
	"queues": [
		{"name": "planning", "teams": ["crews"], "service": "planning"},
		{"name": "nightly", "teams": ["crews"]},
	],
}`

func newCell(t *testing.T) *cell.Cell {
	t.Helper()
	c, err := cell.New(cell.Shape{
		Region:      "lima",
		Domains:     []string{"a", "b", "c"},
		Entries:     3,
		Racks:       1,
		Workers:     2,
		Capacity:    fold.Resources{CPU: 16_000, Memory: 32_768},
		Service:     "planning",
		Slots:       8,
		ServiceTime: time.Millisecond,
	}, io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := c.Close(); err != nil {
			t.Error(err)
		}
	})
	return c
}

// eventually repeats fn until it succeeds or a minute has passed.
func eventually(t *testing.T, fn func(ctx context.Context) error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	for {
		err := fn(ctx)
		if err == nil {
			return
		}
		if ctx.Err() != nil {
			t.Fatalf("no success within a minute: %v", err)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// Guards against a failure of any step between a caller with an API key and a worker, and against jobs that are lost or
// run twice when the entry that owns their pool stops.
func TestWorkSurvivesStopOfAnEntry(t *testing.T) {
	c := newCell(t)
	urls := c.Addresses()
	operator := remote.New(urls["entry-0"], cell.RootKey())
	eventually(t, func(ctx context.Context) error {
		_, err := operator.ApplyManifest(ctx, 0, []byte(manifest))
		return err
	})
	issued, err := operator.IssueKey(context.Background(), fold.KeyGrant{Team: "crews"})
	if err != nil {
		t.Fatal(err)
	}
	var jobs []string
	for n := range 6 {
		at := remote.New(urls["entry-"+strconv.Itoa(n%3)], issued.Key)
		eventually(t, func(ctx context.Context) error {
			s, err := at.Submit(ctx, fold.Job{
				ID: strconv.Itoa(n), Queue: "nightly", Kind: fold.Batch, Count: 8,
				Resources: fold.Resources{CPU: 4000, Memory: 4096}, Duration: 200,
			})
			if err == nil {
				jobs = append(jobs, s.Job.ID)
			}
			return err
		})
	}
	if err := c.StopEntry("entry-1"); err != nil {
		t.Fatal(err)
	}
	reader := remote.New(urls["entry-2"], issued.Key)
	for _, id := range jobs {
		eventually(t, func(ctx context.Context) error {
			s, err := reader.Job(ctx, id)
			if err == nil && s.State != fold.Done {
				err = fold.Unavailable.New("job %s is %s", id, s.State)
			}
			return err
		})
	}
	ran := make(map[fold.TaskID]int)
	for _, w := range c.Workers {
		for _, run := range w.Runs() {
			ran[run.Task]++
		}
	}
	if len(ran) != 48 {
		t.Errorf("%d tasks ran, want 48", len(ran))
	}
	for id, n := range ran {
		if n != 1 {
			t.Errorf("task %s ran %d times", id, n)
		}
	}
}
