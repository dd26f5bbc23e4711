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

// errViolations is returned if any test run found a violation.
var errViolations = errors.New("violations were found; the seeds and the log folders are listed above")

// Main performs the test runs and returns the exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	ctx, stop := launch.Context()
	defer stop()
	var o options
	if code, ok := launch.ParseOptions(&o, args, stdout, stderr); !ok {
		return code
	}
	return launch.ReportError("pfsoak", run(ctx, o, stdout, stderr), stderr)
}

// run performs the test runs one after the other and prints their results.
func run(ctx context.Context, o options, stdout, stderr io.Writer) error {
	log := hclog.New(&hclog.LoggerOptions{Name: "pfsoak", Output: stderr})
	if o.Program == "" {
		dir, err := os.MkdirTemp("", "pfsoak-build-")
		if err != nil {
			return err
		}
		defer func() { _ = os.RemoveAll(dir) }()
		if o.Program, err = buildDaemon(ctx, dir); err != nil {
			return err
		}
	}
	failedRuns := 0
	for n := range uint64(o.Seeds) {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		seed := o.Seed + n
		dir, kept, err := o.logFolder(seed)
		if err != nil {
			return err
		}
		out, err := runSeed(ctx, o, seed, dir, log)
		if err != nil {
			return err
		}
		_, _ = fmt.Fprintf(stdout, "seed %d: %d faults, %d jobs, %d accepted, %d ended, %d without a place, %d refusals, %d without an answer, %d starts, %d violations\n",
			seed, len(out.faults), out.jobs, out.accepted, out.ended, out.unplaced, out.refusals, out.unanswered, out.starts, len(out.violations))
		if len(out.violations) == 0 && !kept {
			_ = os.RemoveAll(dir)
			continue
		}
		if len(out.violations) > 0 {
			failedRuns++
		}
		_, _ = fmt.Fprintf(stdout, "  logs in %s\n", dir)
		for _, line := range out.faults {
			_, _ = fmt.Fprintln(stdout, "  fault:", line)
		}
		for _, line := range out.violations {
			_, _ = fmt.Fprintln(stdout, "  violation:", line)
		}
	}
	if failedRuns > 0 {
		return errViolations
	}
	return nil
}
