package app

import (
	"context"
	"io"
	"strings"

	"github.com/jessevdk/go-flags"
)

// keysCommand lists keys.
type keysCommand struct {
	session *session
}

var _ flags.Commander = &keysCommand{}

// Execute prints one line for each key.
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
		line(w, "id", "team", "account", "queues", "operator", "expires", "withdrawn", "by")
		for _, g := range grants {
			line(w, g.ID, orDash(g.Team), orDash(g.Account), orDash(strings.Join(g.Queues, ",")), g.Operator, stamp(g.Expiry), g.Withdrawn, orDash(g.Who))
		}
	})
}
