package app

import (
	"context"
	"os"
	"time"

	"github.com/jessevdk/go-flags"

	"plantainfold.example/fold"
)

// coreThousandths is the number of CPU units in one core.
const coreThousandths = 1000

// submitCommand implements "pfctl submit", which submits a job.
type submitCommand struct {
	ID         string        `long:"id" required:"yes" description:"id of the job; the same id names the same job, so a repeated submit is safe"`
	Queue      string        `long:"queue" required:"yes" description:"queue of the manifest"`
	Kind       string        `long:"kind" default:"batch" choice:"batch" choice:"gang" choice:"service" description:"kind of work"`
	Count      int           `long:"count" default:"1" description:"number of tasks"`
	CPU        float64       `long:"cpu" required:"yes" description:"cores for each task"`
	Memory     int64         `long:"memory" required:"yes" description:"MiB for each task"`
	Accel      int64         `long:"accel" description:"accelerators for each task"`
	Duration   time.Duration `long:"duration" description:"run time of a task; none for a service"`
	Deadline   time.Duration `long:"deadline" description:"time from now by which the job should have ended"`
	Priority   int           `long:"priority" description:"100 and above is urgent"`
	Retries    int           `long:"retries" description:"how often a failed task is started again"`
	Idempotent bool          `long:"idempotent" description:"a task of unknown fate may run again"`
	Out        string        `long:"out" description:"file for the job's name, for use as @FILE"`

	session *session
}

var _ flags.Commander = &submitCommand{}

// Execute submits the job, writes its name to the file of the flag out and prints its status.
func (c *submitCommand) Execute([]string) error {
	client, err := c.session.client()
	if err != nil {
		return err
	}
	j := fold.Job{
		ID: c.ID, Queue: c.Queue, Kind: fold.Kind(c.Kind), Count: c.Count,
		Resources: fold.Resources{CPU: int64(c.CPU * coreThousandths), Memory: c.Memory, Accel: c.Accel},
		Duration:  c.Duration.Milliseconds(), Priority: c.Priority, Retries: c.Retries, Idempotent: c.Idempotent,
	}
	if c.Deadline > 0 {
		j.Deadline = time.Now().Add(c.Deadline).UnixMilli()
	}
	status, err := client.Submit(context.Background(), j)
	if err != nil {
		return err
	}
	if c.Out != "" {
		if err := os.WriteFile(c.Out, []byte(status.Job.ID+"\n"), 0o600); err != nil {
			return fold.Unknown.Wrap(err, "job %s is accepted, but its name cannot be written", status.Job.ID)
		}
	}
	return printJob(c.session, status)
}
