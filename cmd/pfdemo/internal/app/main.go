package app

import (
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/jessevdk/go-flags"

	"plantainfold.example/fold"
	"plantainfold.example/fold/cell"
)

// Exit codes.
const (
	exitOK    = 0
	exitFail  = 1
	exitUsage = 2
)

// options are the flags of the demonstration.
type options struct {
	Entries int  `long:"entries" default:"3" description:"entries to run"`
	Racks   int  `long:"racks" default:"1" description:"racks in each of three failure domains"`
	Workers int  `long:"workers" default:"4" description:"workers in each rack"`
	Verbose bool `long:"verbose" description:"show the logs of the entries"`
}

// Main runs the demonstration and returns the exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	var opts options
	if _, err := flags.NewParser(&opts, flags.HelpFlag|flags.PassDoubleDash).ParseArgs(args); err != nil {
		if usage, ok := errors.AsType[*flags.Error](err); ok && usage.Type == flags.ErrHelp {
			_, _ = fmt.Fprintln(stdout, usage.Message)
			return exitOK
		}
		_, _ = fmt.Fprintln(stderr, err)
		return exitUsage
	}
	logs := io.Discard
	if opts.Verbose {
		logs = stderr
	}
	if err := demonstrate(opts, stdout, logs); err != nil {
		_, _ = fmt.Fprintf(stderr, "pfdemo: %v\n", err)
		return exitFail
	}
	return exitOK
}

func demonstrate(opts options, stdout, logs io.Writer) error {
	c, err := cell.New(cell.Shape{
		Region:   "lima",
		Domains:  []string{"lima-a", "lima-b", "lima-c"},
		Entries:  opts.Entries,
		Racks:    opts.Racks,
		Workers:  opts.Workers,
		Capacity: fold.Resources{CPU: 64_000, Memory: 131_072, Accel: 2},
		Service:  "planning",
		Slots:    8,
		Time:     20 * time.Millisecond,
	}, logs)
	if err != nil {
		return err
	}
	show := &show{out: stdout, urls: c.Addresses()}
	err = show.run()
	if closeErr := c.Close(); err == nil {
		err = closeErr
	}
	return err
}
