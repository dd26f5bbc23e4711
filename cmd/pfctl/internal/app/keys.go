package app

import (
	"context"
	"io"
	"strings"

	"github.com/jessevdk/go-flags"
)

// keysCommand implements "pfctl keys list", which lists the keys.
type keysCommand struct {
	session *session
}

var _ flags.Commander = &keysCommand{}

// Execute prints a line for each key, without its secret.
func (c *keysCommand) Execute([]string) error {
	client, err := c.session.client()
	if err != nil {
		return err
	}
	grants, err := client.Keys(context.Background())
	if err != nil {
		return err
	}
	return c.session.print(grants, func(w io.Writer) {
		printRow(w, "id", "team", "account", "queues", "operator", "expires", "withdrawn", "by")
		for _, g := range grants {
			printRow(w, g.ID, orDash(g.Team), orDash(g.Account), orDash(strings.Join(g.Queues, ",")), g.Operator, formatTime(g.Expiry), g.Withdrawn, orDash(g.Who))
		}
	})
}
