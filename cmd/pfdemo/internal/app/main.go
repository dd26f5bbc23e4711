package app

import (
	"io"
	"time"

	"plantainfold.example/fold"
	"plantainfold.example/fold/cell"
	"plantainfold.example/fold/launch"
)

// options holds the command-line options.
type options struct {
	Entries int  `long:"entries" default:"3" description:"entries to run"`
	Racks   int  `long:"racks" default:"1" description:"racks in each of three failure domains"`
	Workers int  `long:"workers" default:"4" description:"workers in each rack"`
	Verbose bool `long:"verbose" description:"show the logs of the entries"`
}

// Main runs the program and returns the exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	var opts options
	if code, ok := launch.ParseOptions(&opts, args, stdout, stderr); !ok {
		return code
	}
	logs := io.Discard
	if opts.Verbose {
		logs = stderr
	}
	return launch.ReportError("pfdemo", runDemo(opts, stdout, logs), stderr)
}

func runDemo(opts options, stdout, logs io.Writer) error {
	c, err := cell.New(cell.Shape{
		Region:      "lima",
		Domains:     []string{"lima-a", "lima-b", "lima-c"},
		Entries:     opts.Entries,
		Racks:       opts.Racks,
		Workers:     opts.Workers,
		Capacity:    fold.Resources{CPU: 64_000, Memory: 131_072, Accel: 2},
		Service:     "planning",
		Slots:       8,
		ServiceTime: 20 * time.Millisecond,
	}, logs)
	if err != nil {
		return err
	}
	d := &demo{out: stdout, entryURLs: c.Addresses()}
	err = d.run()
	if closeErr := c.Close(); err == nil {
		err = closeErr
	}
	return err
}
