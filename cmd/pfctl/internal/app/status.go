package app

import (
	"context"
	"io"

	"github.com/jessevdk/go-flags"

	"plantainfold.example/fold"
)

// statusCommand shows an entry.
type statusCommand struct {
	session *session
}

var _ flags.Commander = &statusCommand{}

// Execute prints the status.
func (c *statusCommand) Execute([]string) error {
	client, err := c.session.client()
	if err != nil {
		return err
	}
	status, err := client.Status(context.Background())
	if err != nil {
		return err
	}
	return c.session.print(status, func(w io.Writer) {
		line(w, "entry", status.Entry)
		line(w, "domain", status.Domain)
		line(w, "standing", status.Mode)
		line(w, "leaving", status.Leaving)
		line(w, "revision", status.Revision)
		line(w, "entries", status.Entries)
		printPools(w, status.Pools)
	})
}

func printPools(w io.Writer, pools []fold.PoolStatus) {
	line(w, "pool", "epoch", "workers", "adopted", "used", "waiting", "running")
	for _, p := range pools {
		line(w, p.Pool, p.Epoch, p.Workers, p.Adopted, p.Used, p.Waiting, p.Running)
	}
}
