package app

import (
	"fmt"
	"io"
	"os"

	"github.com/jessevdk/go-flags"

	"plantainfold.example/fold"
	"plantainfold.example/fold/node"
)

// settingsVariable names the settings file where the flag does not.
const settingsVariable = "PLANTAINFOLD_BOOT"

// settingsFlag is shared by the commands.
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

// checkCommand checks a settings file.
type checkCommand struct {
	settingsFlag

	stdout io.Writer
}

var _ flags.Commander = &checkCommand{}

// Execute reports whether the settings are usable.
func (c *checkCommand) Execute([]string) error {
	s, err := c.load()
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(c.stdout, "entry %s in failure domain %s: settings are usable\n", s.Name, s.Domain)
	return err
}
