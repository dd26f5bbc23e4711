package app

import (
	"io"

	"github.com/jessevdk/go-flags"
)

// checkCommand implements "pfctl check", which checks a manifest without calling an entry.
type checkCommand struct {
	Args struct {
		File flags.Filename `positional-arg-name:"FILE" description:"manifest, JSON with comments"`
	} `positional-args:"yes" required:"yes"`

	session *session
}

var _ flags.Commander = &checkCommand{}

// Execute prints how much the manifest declares, or returns its faults.
func (c *checkCommand) Execute([]string) error {
	_, m, err := readManifest(string(c.Args.File))
	if err != nil {
		return err
	}
	return c.session.print(m, func(w io.Writer) {
		printRow(w, "teams", len(m.Teams))
		printRow(w, "queues", len(m.Queues))
		printRow(w, "services", len(m.Services))
		printRow(w, "jobs", len(m.Jobs))
	})
}
