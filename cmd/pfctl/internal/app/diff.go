package app

import (
	"context"
	"io"

	"github.com/jessevdk/go-flags"
)

// diffCommand implements "pfctl diff", which lists the changes that applying a manifest would make.
type diffCommand struct {
	Args struct {
		File flags.Filename `positional-arg-name:"FILE" description:"manifest, JSON with comments"`
	} `positional-args:"yes" required:"yes"`

	session *session
}

var _ flags.Commander = &diffCommand{}

// Execute prints a line for each change from the current manifest.
func (c *diffCommand) Execute([]string) error {
	_, next, err := readManifest(string(c.Args.File))
	if err != nil {
		return err
	}
	client, err := c.session.client()
	if err != nil {
		return err
	}
	revision, changes, err := changesTo(context.Background(), client, next)
	if err != nil {
		return err
	}
	return c.session.print(changes, func(w io.Writer) {
		if len(changes) == 0 {
			printRow(w, "no difference from revision", revision)
		}
		for _, change := range changes {
			printRow(w, change)
		}
	})
}
