package app

import (
	"context"
	"io"

	"github.com/jessevdk/go-flags"

	"plantainfold.example/fold"
)

// statusCommand implements "pfctl status", which shows the status of an entry.
type statusCommand struct {
	session *session
}

var _ flags.Commander = &statusCommand{}

// Execute prints the status of the entry and a row for each of its pools.
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
		printRow(w, "entry", status.Entry)
		printRow(w, "domain", status.Domain)
		printRow(w, "standing", status.Mode)
		printRow(w, "leaving", status.Leaving)
		printRow(w, "revision", status.Revision)
		printRow(w, "entries", status.Entries)
		printPools(w, status.Pools)
	})
}

func printPools(w io.Writer, pools []fold.PoolStatus) {
	printRow(w, "pool", "epoch", "workers", "adopted", "used", "waiting", "running")
	for _, p := range pools {
		printRow(w, p.Pool, p.Epoch, p.Workers, p.Adopted, p.Used, p.Waiting, p.Running)
	}
}
