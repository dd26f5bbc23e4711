package app

import (
	"fmt"
	"io"
	"os"

	"github.com/jessevdk/go-flags"

	"plantainfold.example/fold"
	"plantainfold.example/fold/node"
)

// settingsVariable is the environment variable with the path of the settings file; it is used if the flag is absent.
const settingsVariable = "PLANTAINFOLD_BOOT"

// settingsFlag is the flag that names the settings file. All commands have it.
type settingsFlag struct {
	Settings string `long:"settings" description:"settings file, JSON with comments; without it, the file that PLANTAINFOLD_BOOT names"`
}

func (f settingsFlag) load() (node.Settings, error) {
	path := f.Settings
	if path == "" {
		path = os.Getenv(settingsVariable)
	}
	if path == "" {
		return node.Settings{}, fold.Refuse(fold.Invalid, "give --settings or set "+settingsVariable, "no settings file is named")
	}
	return node.LoadSettings(path)
}

// checkCommand is the command that checks a settings file.
type checkCommand struct {
	settingsFlag

	stdout io.Writer
}

var _ flags.Commander = &checkCommand{}

// Execute loads the settings and prints that they are usable, or returns an error.
func (c *checkCommand) Execute([]string) error {
	s, err := c.load()
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(c.stdout, "entry %s in failure domain %s: settings are usable\n", s.Name, s.Domain)
	return err
}
