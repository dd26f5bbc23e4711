package app

import (
	"context"
	"fmt"
	"io"
	"sort"
	"time"

	"plantainfold.example/fold"
	"plantainfold.example/fold/cell"
	"plantainfold.example/fold/remote"
)

const (
	// demoTimeout bounds the whole demonstration.
	demoTimeout  = 90 * time.Second
	pollInterval = 100 * time.Millisecond
)

const manifest = `{
	// One team for each kind of work.
	"teams": [
		{"name": "crews", "share": 3, "limit": {"cpu": 400000, "memory": 800000, "accel": 0}},
		{"name": "routes", "share": 1, "limit": {"cpu": 200000, "memory": 400000, "accel": 8}},
	],
	"queues": [
		{"name": "planning", "teams": ["crews"], "service": "planning"},
		{"name": "nightly", "teams": ["crews", "routes"]},
	],
	"pool": {"racks": 1},
}`

// demo runs the demonstration: it submits each kind of work to a running cell and prints the result.
type demo struct {
	out io.Writer
	// entryURLs holds the URLs of the entries by name.
	entryURLs map[string]string
}

func (d *demo) run() error {
	ctx, cancel := context.WithTimeout(context.Background(), demoTimeout)
	defer cancel()
	operator := remote.New(d.entryURL(0), cell.RootKey())
	d.printf("Entries are joining: %v", d.entryNames())
	if err := d.retry(ctx, func() error { return operator.Ready(ctx) }); err != nil {
		return err
	}
	var crews, routes *remote.Client
	err := d.retry(ctx, func() error {
		_, err := operator.ApplyManifest(ctx, 0, []byte(manifest))
		return err
	})
	if err != nil {
		return err
	}
	d.printf("Manifest applied.")
	if crews, err = d.teamClient(ctx, operator, "crews", 1); err != nil {
		return err
	}
	if routes, err = d.teamClient(ctx, operator, "routes", 2); err != nil {
		return err
	}
	if err := d.sendRequest(ctx, crews); err != nil {
		return err
	}
	if err := d.runJob(ctx, crews, "nightly batch job", fold.Job{ID: "visits", Queue: "nightly", Kind: fold.Batch, Count: 6, Resources: fold.Resources{CPU: 8000, Memory: 16_384}, Duration: 400, Retries: 2, Idempotent: true}); err != nil {
		return err
	}
	return d.runJob(ctx, routes, "all-at-once job", fold.Job{ID: "training", Queue: "nightly", Kind: fold.Gang, Count: 4, Resources: fold.Resources{CPU: 16_000, Memory: 32_768, Accel: 1}, Duration: 400, Idempotent: true})
}

// teamClient issues a key for a team and returns a client that calls the n-th entry with it.
func (d *demo) teamClient(ctx context.Context, operator *remote.Client, team string, n int) (*remote.Client, error) {
	issued, err := operator.IssueKey(ctx, fold.KeyGrant{Team: team})
	if err != nil {
		return nil, err
	}
	d.printf("Granted key %s to team %s.", issued.Grant.ID, team)
	return remote.New(d.entryURL(n), issued.Key), nil
}

func (d *demo) sendRequest(ctx context.Context, c *remote.Client) error {
	return d.retry(ctx, func() error {
		sentAt := time.Now()
		reply, err := c.Serve(ctx, "planning", fold.Request{ID: fmt.Sprintf("route-%d", sentAt.UnixNano()), Issued: sentAt, Timeout: 2 * time.Second, Body: []byte("route to Calle 7")})
		if err != nil {
			return err
		}
		d.printf("Service request: answered %q in %d ms.", reply.Body, time.Since(sentAt).Milliseconds())
		return nil
	})
}

// runJob submits a job, waits for its end and prints where and why each task was placed.
func (d *demo) runJob(ctx context.Context, c *remote.Client, description string, j fold.Job) error {
	var status fold.JobStatus
	err := d.retry(ctx, func() error {
		accepted, err := c.Submit(ctx, j)
		status = accepted
		return err
	})
	if err != nil {
		return err
	}
	d.printf("Submitted the %s as job %s in pool %s.", description, status.Job.ID, status.Pool)
	err = d.retry(ctx, func() error {
		current, err := c.Job(ctx, status.Job.ID)
		if err != nil {
			return err
		}
		status = current
		if !status.State.Ended() {
			return fold.Refuse(fold.Unavailable, "wait", "the job has not ended; its state is %s", status.State)
		}
		return nil
	})
	if err != nil {
		return err
	}
	for _, p := range status.Placements {
		d.printf("  task %d ran on %s in %s, %d ms after accept, because: %s", p.Task.Index, p.Worker, p.Domain, p.Waited, p.Reason)
	}
	d.printf("  %s: %d done, %d failed", status.State, status.Done, status.Failed)
	if status.State != fold.Done {
		return fold.Refuse(fold.Unknown, "run with --verbose", "the %s ended in state %s", description, status.State)
	}
	return nil
}

// retry calls fn until it succeeds, fails with an error after which the work may have run, or the context ends.
func (d *demo) retry(ctx context.Context, fn func() error) error {
	for {
		err := fn()
		if err == nil || ctx.Err() != nil || !fold.DidNotRun(err) {
			return err
		}
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
		}
	}
}

func (d *demo) entryNames() []string {
	names := make([]string, 0, len(d.entryURLs))
	for name := range d.entryURLs {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// entryURL returns the URL of the n-th entry in the order of the names, modulo the number of entries.
func (d *demo) entryURL(n int) string {
	names := d.entryNames()
	return d.entryURLs[names[n%len(names)]]
}

func (d *demo) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(d.out, format+"\n", args...)
}
