package app

import (
	"context"

	"github.com/jessevdk/go-flags"
)

// cancelCommand implements "pfctl cancel", which stops a job.
type cancelCommand struct {
	Args jobArg `positional-args:"yes" required:"yes"`

	session *session
}

var _ flags.Commander = &cancelCommand{}

// Execute cancels the job and prints its status.
func (c *cancelCommand) Execute([]string) error {
	client, id, err := c.Args.resolve(c.session)
	if err != nil {
		return err
	}
	status, err := client.Cancel(context.Background(), id)
	if err != nil {
		return err
	}
	return printJob(c.session, status)
}
