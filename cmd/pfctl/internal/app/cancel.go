package app

import (
	"context"

	"github.com/jessevdk/go-flags"
)

// cancelCommand stops a job.
type cancelCommand struct {
	Args jobArg `positional-args:"yes" required:"yes"`

	session *session
}

var _ flags.Commander = &cancelCommand{}

// Execute cancels and prints the job.
func (c *cancelCommand) Execute([]string) error {
	client, id, err := c.Args.find(c.session)
	if err != nil {
		return err
	}
	status, err := client.Cancel(context.Background(), id)
	if err != nil {
		return err
	}
	return printJob(c.session, status)
}
