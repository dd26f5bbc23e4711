package app

import (
	"io"

	"github.com/jessevdk/go-flags"
)

// checkCommand checks a manifest.
type checkCommand struct {
	Args struct {
		File flags.Filename `positional-arg-name:"FILE" description:"manifest, JSON with comments"`
	} `positional-args:"yes" required:"yes"`

	session *session
}

var _ flags.Commander = &checkCommand{}

// Execute reports whether the manifest is usable.
func (c *checkCommand) Execute([]string) error {
	_, m, err := readManifest(string(c.Args.File))
	if err != nil {
		return err
	}
	return c.session.print(m, func(w io.Writer) {
		line(w, "teams", len(m.Teams))
		line(w, "queues", len(m.Queues))
		line(w, "services", len(m.Services))
		line(w, "jobs", len(m.Jobs))
	})
}
