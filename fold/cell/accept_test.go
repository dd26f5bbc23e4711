package cell_test

import (
	"context"
	"fmt"
	"io"
	"testing"
	"time"

	"plantainfold.example/fold"
	"plantainfold.example/fold/cell"
	"plantainfold.example/fold/plat"
	"plantainfold.example/fold/remote"
)

// Guards against a job that neither runs nor can be submitted again, because its acceptance was written after the caller
// got the error that the outcome is unknown.
func TestUnknownAcceptIsFoundAgain(t *testing.T) {
	c, err := cell.New(cell.Shape{
		Region: "lima", Domains: []string{"a"}, Entries: 1, Racks: 1, Workers: 1,
		Capacity: fold.Resources{CPU: 8000, Memory: 8192}, Service: "planning", Slots: 8, ServiceTime: time.Millisecond,
	}, io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	url := c.Addresses()["entry-0"]
	operator := remote.New(url, cell.RootKey())
	eventually(t, func(ctx context.Context) error {
		_, err := operator.ApplyManifest(ctx, 0, []byte(manifest))
		return err
	})
	issued, err := operator.IssueKey(context.Background(), fold.KeyGrant{Team: "crews"})
	if err != nil {
		t.Fatal(err)
	}
	caller := remote.New(url, issued.Key)
	job := fold.Job{
		ID: "1", Queue: "nightly", Kind: fold.Batch, Count: 1,
		Resources: fold.Resources{CPU: 1000, Memory: 1024}, Duration: 10, Idempotent: true,
	}
	eventually(t, func(ctx context.Context) error {
		first := job
		first.ID = "0"
		_, err := caller.Submit(ctx, first)
		return err
	})
	// Every call to the table takes effect 0.2 s after the entry has stopped waiting for it.
	c.TableFaults.Set(plat.Fault{Slow: 1.2})
	if _, err := caller.Submit(context.Background(), job); err == nil || fold.DidNotRun(err) {
		t.Fatalf("submit with late replies of the table: error %v, want one that leaves the outcome unknown", err)
	}
	c.TableFaults.Set(plat.Fault{})
	eventually(t, func(ctx context.Context) error {
		s, err := caller.Submit(ctx, job)
		if err == nil && s.State != fold.Done {
			err = fmt.Errorf("job is %s", s.State)
		}
		return err
	})
}
