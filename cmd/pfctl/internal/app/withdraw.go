package app

import (
	"context"
	"time"

	"github.com/jessevdk/go-flags"

	"plantainfold.example/fold/keys"
)

// withdrawCommand implements "pfctl keys withdraw", which ends a key.
type withdrawCommand struct {
	Wait time.Duration `long:"wait" default:"10s" description:"how long to wait until it is refused everywhere"`
	Args struct {
		Key string `positional-arg-name:"KEY" description:"id of the key, the key itself, or @FILE that grant --out wrote"`
	} `positional-args:"yes" required:"yes"`

	session *session
}

var _ flags.Commander = &withdrawCommand{}

// Execute withdraws the key and waits until all entries refuse it. It sends only the id of the key.
func (c *withdrawCommand) Execute([]string) error {
	id, err := readArg(c.Args.Key)
	if err != nil {
		return err
	}
	if part, _, err := keys.Split(id); err == nil {
		id = part
	}
	client, err := c.session.client()
	if err != nil {
		return err
	}
	ctx := context.Background()
	r, err := client.RevokeKey(ctx, id)
	if err == nil {
		r, err = awaitInForce(ctx, c.session, client, r, c.Wait)
	}
	if err != nil {
		return err
	}
	return printRevision(c.session, r)
}
