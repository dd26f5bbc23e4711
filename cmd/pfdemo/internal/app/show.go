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
	// showTime bounds the whole demonstration.
	showTime = 90 * time.Second
	pollTime = 100 * time.Millisecond
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

// show carries out the demonstration and prints what happened to each piece of work.
type show struct {
	out  io.Writer
	urls map[string]string
}

func (s *show) run() error {
	ctx, cancel := context.WithTimeout(context.Background(), showTime)
	defer cancel()
	operator := remote.New(s.entry(0), cell.RootKey())
	s.say("Entries are joining: %v", s.names())
	if err := s.until(ctx, func() error { return operator.Ready(ctx) }); err != nil {
		return err
	}
	var crews, routes *remote.Client
	err := s.until(ctx, func() error {
		_, err := operator.ApplyManifest(ctx, 0, []byte(manifest))
		return err
	})
	if err != nil {
		return err
	}
	s.say("Manifest applied.")
	if crews, err = s.caller(ctx, operator, "crews", 1); err != nil {
		return err
	}
	if routes, err = s.caller(ctx, operator, "routes", 2); err != nil {
		return err
	}
	if err := s.request(ctx, crews); err != nil {
		return err
	}
	if err := s.job(ctx, crews, "nightly batch job", fold.Job{ID: "visits", Queue: "nightly", Kind: fold.Batch, Count: 6, Resources: fold.Resources{CPU: 8000, Memory: 16_384}, Duration: 400, Retries: 2, Idempotent: true}); err != nil {
		return err
	}
	return s.job(ctx, routes, "all-at-once job", fold.Job{ID: "training", Queue: "nightly", Kind: fold.Gang, Count: 4, Resources: fold.Resources{CPU: 16_000, Memory: 32_768, Accel: 1}, Duration: 400, Idempotent: true})
}

// caller grants a key to a team and returns a client that uses it at one of the entries.
func (s *show) caller(ctx context.Context, operator *remote.Client, team string, at int) (*remote.Client, error) {
	issued, err := operator.IssueKey(ctx, fold.KeyGrant{Team: team})
	if err != nil {
		return nil, err
	}
	s.say("Granted key %s to team %s.", issued.Grant.ID, team)
	return remote.New(s.entry(at), issued.Key), nil
}

func (s *show) request(ctx context.Context, crews *remote.Client) error {
	return s.until(ctx, func() error {
		began := time.Now()
		reply, err := crews.Serve(ctx, "planning", fold.Request{ID: fmt.Sprintf("route-%d", began.UnixNano()), Issued: began, Timeout: 2 * time.Second, Body: []byte("route to Calle 7")})
		if err != nil {
			return err
		}
		s.say("Service request: answered %q in %d ms.", reply.Body, time.Since(began).Milliseconds())
		return nil
	})
}

func (s *show) job(ctx context.Context, c *remote.Client, what string, j fold.Job) error {
	var status fold.JobStatus
	err := s.until(ctx, func() error {
		accepted, err := c.Submit(ctx, j)
		status = accepted
		return err
	})
	if err != nil {
		return err
	}
	s.say("Submitted the %s as job %s in pool %s.", what, status.Job.ID, status.Pool)
	err = s.until(ctx, func() error {
		now, err := c.Job(ctx, status.Job.ID)
		if err != nil {
			return err
		}
		status = now
		if !status.State.Ended() {
			return fold.Refuse(fold.Unavailable, "wait", "job is %s", status.State)
		}
		return nil
	})
	if err != nil {
		return err
	}
	for _, p := range status.Placements {
		s.say("  task %d ran on %s in %s, %d ms after accept, because: %s", p.Task.Index, p.Worker, p.Domain, p.Waited, p.Reason)
	}
	s.say("  %s: %d done, %d failed", status.State, status.Done, status.Failed)
	if status.State != fold.Done {
		return fold.Refuse(fold.Unknown, "run with --verbose", "the %s ended as %s", what, status.State)
	}
	return nil
}

// until repeats fn until it succeeds, fails for good or the time is over.
func (s *show) until(ctx context.Context, fn func() error) error {
	for {
		err := fn()
		if err == nil || ctx.Err() != nil || !fold.DidNotRun(err) {
			return err
		}
		select {
		case <-time.After(pollTime):
		case <-ctx.Done():
		}
	}
}

func (s *show) names() []string {
	names := make([]string, 0, len(s.urls))
	for name := range s.urls {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// entry returns the URL of an entry, counting round.
func (s *show) entry(n int) string {
	names := s.names()
	return s.urls[names[n%len(names)]]
}

func (s *show) say(format string, args ...any) {
	_, _ = fmt.Fprintf(s.out, format+"\n", args...)
}
