package app

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/hashicorp/go-hclog"

	"plantainfold.example/fold/launch"
)

// errBroken says that a promise was broken on a day.
var errBroken = errors.New("promises were broken; the seeds and the folders of their logs are above")

// Main plays the days and returns the exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	ctx, stop := launch.Context()
	defer stop()
	var o options
	if code, ok := launch.ParseOptions(&o, args, stdout, stderr); !ok {
		return code
	}
	return launch.ReportError("pfsoak", run(ctx, o, stdout, stderr), stderr)
}

// run plays the days one after the other.
func run(ctx context.Context, o options, stdout, stderr io.Writer) error {
	log := hclog.New(&hclog.LoggerOptions{Name: "pfsoak", Output: stderr})
	if o.Program == "" {
		dir, err := os.MkdirTemp("", "pfsoak-build-")
		if err != nil {
			return err
		}
		defer func() { _ = os.RemoveAll(dir) }()
		if o.Program, err = build(ctx, dir); err != nil {
			return err
		}
	}
	broken := 0
	for n := range uint64(o.Seeds) {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		seed := o.Seed + n
		dir, kept, err := o.folder(seed)
		if err != nil {
			return err
		}
		out, err := play(ctx, o, seed, dir, log)
		if err != nil {
			return err
		}
		_, _ = fmt.Fprintf(stdout, "seed %d: %d faults, %d jobs, %d accepted, %d ended, %d without a place, %d refusals, %d without an answer, %d starts, %d promises broken\n",
			seed, len(out.faults), out.jobs, out.accepted, out.final, out.unplaced, out.refusals, out.unsure, out.starts, len(out.broken))
		if len(out.broken) == 0 {
			if !kept {
				_ = os.RemoveAll(dir)
			}
			continue
		}
		broken++
		_, _ = fmt.Fprintf(stdout, "  logs in %s\n", dir)
		for _, line := range out.faults {
			_, _ = fmt.Fprintln(stdout, "  fault:", line)
		}
		for _, line := range out.broken {
			_, _ = fmt.Fprintln(stdout, "  broken:", line)
		}
	}
	if broken > 0 {
		return errBroken
	}
	return nil
}
