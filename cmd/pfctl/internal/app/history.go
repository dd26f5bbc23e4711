package app

import (
	"context"
	"io"

	"github.com/jessevdk/go-flags"
)

// historyCommand implements "pfctl history", which lists the changes of the configuration.
type historyCommand struct {
	Last int `long:"last" default:"20" description:"how many to list"`

	session *session
}

var _ flags.Commander = &historyCommand{}

// Execute prints the latest changes in order of revision.
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
		printRow(w, "revision", "time", "who", "change")
		for _, change := range changes {
			printRow(w, change.Revision, formatTime(change.Time), change.Who, change.Summary)
		}
	})
}
