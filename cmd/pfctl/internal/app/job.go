package app

import (
	"context"
	"io"

	"github.com/jessevdk/go-flags"

	"plantainfold.example/fold"
	"plantainfold.example/fold/remote"
)

// jobArg is the argument of commands that concern one job.
type jobArg struct {
	Job string `positional-arg-name:"JOB" description:"job, or @FILE that submit --out wrote"`
}

// resolve returns a client and the id of the job.
func (a jobArg) resolve(s *session) (*remote.Client, string, error) {
	id, err := readArg(a.Job)
	if err != nil {
		return nil, "", err
	}
	client, err := s.client()
	return client, id, err
}

// jobCommand implements "pfctl job", which shows a job and the workers of its tasks.
type jobCommand struct {
	Args jobArg `positional-args:"yes" required:"yes"`

	session *session
}

var _ flags.Commander = &jobCommand{}

// Execute prints the status of the job.
func (c *jobCommand) Execute([]string) error {
	client, id, err := c.Args.resolve(c.session)
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
		printRow(w, "job", j.Job.ID)
		printRow(w, "team", j.Job.Team)
		printRow(w, "queue", j.Job.Queue)
		printRow(w, "pool", j.Pool)
		printRow(w, "state", j.State)
		printRow(w, "waiting", j.Waiting)
		printRow(w, "running", j.Running)
		printRow(w, "done", j.Done)
		printRow(w, "failed", j.Failed)
		printRow(w, "unknown", j.Unknown)
		if len(j.Placements) == 0 {
			return
		}
		printRow(w, "task", "attempt", "worker", "domain", "waited", "reason")
		for _, p := range j.Placements {
			printRow(w, p.Task, p.Attempt, p.Worker, p.Domain, p.Waited, p.Reason)
		}
	})
}
