package app

import (
	"fmt"
	"io"

	"github.com/jessevdk/go-flags"

	"plantainfold.example/fold/entry"
)

// checkCommand checks a settings file.
type checkCommand struct {
	Settings string `long:"settings" required:"true" description:"settings file, JSON with comments"`

	stdout io.Writer
}

var _ flags.Commander = &checkCommand{}

// Execute loads the settings and prints the entry's name and failure domain, or returns the error in the settings.
func (c *checkCommand) Execute([]string) error {
	settings, err := entry.LoadSettings(c.Settings)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(c.stdout, "%s: entry %s in failure domain %s\n", c.Settings, settings.Name, settings.Domain)
	return err
}
