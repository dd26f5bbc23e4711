package app

import (
	"context"
	"io"

	"github.com/jessevdk/go-flags"
)

// eventsCommand implements "pfctl events", which lists what the system did by itself.
type eventsCommand struct {
	Last int `long:"last" default:"50" description:"how many to list"`

	session *session
}

var _ flags.Commander = &eventsCommand{}

// Execute prints the latest events in order of time.
func (c *eventsCommand) Execute([]string) error {
	client, err := c.session.client()
	if err != nil {
		return err
	}
	events, err := client.Events(context.Background())
	if err != nil {
		return err
	}
	events = events[max(0, len(events)-c.Last):]
	return c.session.print(events, func(w io.Writer) {
		printRow(w, "time", "entry", "part", "what and why")
		for _, e := range events {
			printRow(w, formatTime(e.Time), e.Entry, e.Kind, e.Reason)
		}
	})
}
