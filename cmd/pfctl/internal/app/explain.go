package app

import (
	"context"
	"io"

	"github.com/jessevdk/go-flags"
)

// explainCommand implements "pfctl explain", which shows why a job is in its state.
type explainCommand struct {
	Args jobArg `positional-args:"yes" required:"yes"`

	session *session
}

var _ flags.Commander = &explainCommand{}

// Execute prints the state of the job with its reason, remedy and evidence.
func (c *explainCommand) Execute([]string) error {
	client, id, err := c.Args.resolve(c.session)
	if err != nil {
		return err
	}
	e, err := client.Explain(context.Background(), id)
	if err != nil {
		return err
	}
	return c.session.print(e, func(w io.Writer) {
		printRow(w, "job", e.Job)
		printRow(w, "state", e.State)
		printRow(w, "reason", e.Reason)
		printRow(w, "remedy", orDash(e.Remedy))
		for _, text := range e.Evidence {
			printRow(w, "evidence", text)
		}
	})
}
