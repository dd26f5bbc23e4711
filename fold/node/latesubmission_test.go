package node_test

import (
	"strings"
	"testing"
	"time"

	"github.com/joomcode/errorx"

	"plantainfold.example/fold"
	"plantainfold.example/fold/drive"
	"plantainfold.example/fold/flow"
)

// Guards against a job that runs although its cancellation was acknowledged: the table performs its submission, which got no answer,
// after the cancellation found no job.
func TestCancelBeforeLateSubmission(t *testing.T) {
	cases := []struct {
		name string
		// takeover is true if the owner stops in between.
		takeover bool
	}{
		{"same owner", false},
		{"next owner", true},
	}
	for _, k := range cases {
		t.Run(k.name, func(t *testing.T) {
			c := newCell(t, 2)
			c.submit(c.fronts[0], 1)
			const id = "00000000000000bb"
			job := flow.Job{ID: id, Team: "crews", Queue: initialRules.Queues[0], Spec: "s", Accepted: time.Now().UnixMilli(), Steps: []flow.Step{{Count: 3, Size: fold.Resources{CPU: 100}, Estimate: 100}}}
			value, err := drive.EncodeJob(job, 1<<16)
			if err != nil {
				t.Fatal(err)
			}
			submission := fold.Txn{
				Checks: []fold.Check{{Key: drive.InboxPrefix + id}, {Key: drive.JobPrefix + id}, {Key: drive.StatePrefix + id}},
				Puts:   []fold.Put{{Key: drive.InboxPrefix + id, Value: value}},
			}
			if err := c.fronts[1].Cancel(t.Context(), c.caller("/p/"+id)); !errorx.IsOfType(err, fold.Gone) {
				t.Fatalf("error %v, want that no job has the id", err)
			}
			if _, _, err := c.fronts[1].Read(t.Context(), c.caller("/p/"+id)); !errorx.IsOfType(err, fold.Gone) {
				t.Errorf("error %v; a job that nobody submitted is shown", err)
			}
			if k.takeover {
				c.stops[0]()
			}
			if _, err := c.table.Table.Commit(t.Context(), submission); err != nil {
				t.Fatal(err)
			}
			var state flow.State
			c.eventually("the job has ended", func() bool {
				state, _, err = c.fronts[1].Read(t.Context(), c.caller("/p/"+id))
				return err == nil && state.Final()
			})
			c.hosts.mu.Lock()
			defer c.hosts.mu.Unlock()
			starts := 0
			for task, n := range c.hosts.startCounts {
				if strings.HasPrefix(task, id) {
					starts += n
				}
			}
			if state != flow.Cancelled || starts > 0 {
				t.Errorf("the job has state %s after %d starts, want cancelled without any", state, starts)
			}
		})
	}
}
