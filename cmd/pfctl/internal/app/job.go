package app

import (
	"context"
	"io"

	"github.com/jessevdk/go-flags"

	"plantainfold.example/fold"
	"plantainfold.example/fold/remote"
)

// jobArg names a job.
type jobArg struct {
	Job string `positional-arg-name:"JOB" description:"job, or @FILE that submit --out wrote"`
}

// find returns a client and the id of the job.
func (a jobArg) find(s *session) (*remote.Client, string, error) {
	id, err := named(a.Job)
	if err != nil {
		return nil, "", err
	}
	client, err := s.client()
	return client, id, err
}

// jobCommand shows a job.
type jobCommand struct {
	Args jobArg `positional-args:"yes" required:"yes"`

	session *session
}

var _ flags.Commander = &jobCommand{}

// Execute prints the job.
func (c *jobCommand) Execute([]string) error {
	client, id, err := c.Args.find(c.session)
	if err != nil {
		return err
	}
	status, err := client.Job(context.Background(), id)
	if err != nil {
		return err
	}
	return printJob(c.session, status)
}

func printJob(s *session, j fold.JobStatus) error {
	return s.print(j, func(w io.Writer) {
		line(w, "job", j.Job.ID)
		line(w, "team", j.Job.Team)
		line(w, "queue", j.Job.Queue)
		line(w, "pool", j.Pool)
		line(w, "state", j.State)
		line(w, "waiting", j.Waiting)
		line(w, "running", j.Running)
		line(w, "done", j.Done)
		line(w, "failed", j.Failed)
		line(w, "unknown", j.Unknown)
		if len(j.Placements) == 0 {
			return
		}
		line(w, "task", "attempt", "worker", "domain", "waited", "reason")
		for _, p := range j.Placements {
			line(w, p.Task, p.Attempt, p.Worker, p.Domain, p.Waited, p.Reason)
		}
	})
}
