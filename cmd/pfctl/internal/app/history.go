package app

import (
	"context"
	"io"

	"github.com/jessevdk/go-flags"
)

// historyCommand lists changes of the configuration.
type historyCommand struct {
	Last int `long:"last" default:"20" description:"how many to list"`

	session *session
}

var _ flags.Commander = &historyCommand{}

// Execute prints the newest changes last.
func (c *historyCommand) Execute([]string) error {
	client, err := c.session.client()
	if err != nil {
		return err
	}
	changes, err := client.History(context.Background())
	if err != nil {
		return err
	}
	changes = changes[max(0, len(changes)-c.Last):]
	return c.session.print(changes, func(w io.Writer) {
		line(w, "revision", "time", "who", "change")
		for _, change := range changes {
			line(w, change.Revision, stamp(change.Time), change.Who, change.Summary)
		}
	})
}
