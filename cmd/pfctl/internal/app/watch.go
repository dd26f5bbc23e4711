package app

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/jessevdk/go-flags"

	"plantainfold.example/fold"
	"plantainfold.example/fold/remote"
)

// watchCommand implements "pfctl watch", which follows a job until it ends.
type watchCommand struct {
	Wait time.Duration `long:"wait" default:"24h" description:"how long to follow"`
	Args jobArg        `positional-args:"yes" required:"yes"`

	session *session
}

var _ flags.Commander = &watchCommand{}

// Execute prints each change of the job until it ends. It returns an error of type errNotReached unless all tasks are done.
func (c *watchCommand) Execute([]string) error {
	client, id, err := c.Args.resolve(c.session)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), c.Wait)
	defer cancel()
	last, err := c.follow(ctx, client, id)
	if err != nil {
		return err
	}
	if last.State != fold.Done {
		return fold.Refuse(errNotReached, "ask pfctl explain for the reason", "job %s is %s", id, last.State)
	}
	return nil
}

// follow polls the job, prints each change and returns the last status. It retries calls that certainly did not run, for
// example because the entry is leaving.
func (c *watchCommand) follow(ctx context.Context, client *remote.Client, id string) (fold.JobStatus, error) {
	var last fold.JobStatus
	seen := ""
	for {
		next, err := client.Job(ctx, id)
		if err == nil {
			last = next
			if now := statusText(next); now != seen {
				seen = now
				c.printStatus(next, now)
			}
		}
		if last.State.Ended() || (err != nil && ctx.Err() == nil && !fold.DidNotRun(err)) {
			return last, err
		}
		if err != nil && last.Job.ID == "" {
			return last, err
		}
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
			return last, nil
		}
	}
}

func (c *watchCommand) printStatus(s fold.JobStatus, text string) {
	if c.session.options.JSON {
		_ = json.NewEncoder(c.session.out).Encode(s)
		return
	}
	printRow(c.session.out, formatTime(time.Now().UnixMilli()), text)
}

func statusText(s fold.JobStatus) string {
	return fmt.Sprintf("%s: %d waiting, %d running, %d done, %d failed, %d unknown", s.State, s.Waiting, s.Running, s.Done, s.Failed, s.Unknown)
}
