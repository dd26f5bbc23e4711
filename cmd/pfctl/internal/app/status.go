package app

import (
	"context"
	"encoding/json"
	"fmt"
	"text/tabwriter"

	"github.com/jessevdk/go-flags"
)

// statusCommand shows an entry.
type statusCommand struct {
	session session
}

var _ flags.Commander = &statusCommand{}

// Execute prints the status.
func (c *statusCommand) Execute([]string) error {
	status, err := c.session.client().Status(context.Background())
	if err != nil {
		return err
	}
	if c.session.options.JSON {
		return json.NewEncoder(c.session.out).Encode(status)
	}
	table := tabwriter.NewWriter(c.session.out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintf(table, "entry\t%s\ndomain\t%s\nstanding\t%s\nrevision\t%d\nentries\t%v\n",
		status.Entry, status.Domain, status.Mode, status.Revision, status.Entries)
	_, _ = fmt.Fprintln(table, "pool\tepoch\tworkers\tadopted\tused\twaiting\trunning")
	for _, p := range status.Pools {
		_, _ = fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%s\t%d\t%d\n", p.Pool, p.Epoch, p.Workers, p.Adopted, p.Used, p.Waiting, p.Running)
	}
	return table.Flush()
}
