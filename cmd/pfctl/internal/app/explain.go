package app

import (
	"context"
	"io"

	"github.com/jessevdk/go-flags"
)

// explainCommand says why a job is in its state.
type explainCommand struct {
	Args jobArg `positional-args:"yes" required:"yes"`

	session *session
}

var _ flags.Commander = &explainCommand{}

// Execute prints reason, evidence and remedy.
func (c *explainCommand) Execute([]string) error {
	client, id, err := c.Args.find(c.session)
	if err != nil {
		return err
	}
	e, err := client.Explain(context.Background(), id)
	if err != nil {
		return err
	}
	return c.session.print(e, func(w io.Writer) {
		line(w, "job", e.Job)
		line(w, "state", e.State)
		line(w, "reason", e.Reason)
		line(w, "remedy", orDash(e.Remedy))
		for _, text := range e.Evidence {
			line(w, "evidence", text)
		}
	})
}
