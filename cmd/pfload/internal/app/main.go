package app

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"

	"plantainfold.example/fold"
)

const (
	exitOK      = 0
	exitFailure = 1
	exitUsage   = 2
	// exitViolation means that the load ran and a response or run broke a guarantee; see report.hasViolations.
	exitViolation = 3
)

const description = `Sends service requests at a given rate to entries on loopback, without waiting for earlier responses.
Latency is measured from the time at which a request was due, so a slow entry cannot hide its delays.

Exit codes: 0 the load ran; 1 it could not run; 2 wrong usage; 3 it found a wrong answer, a non-idempotent request that
ran twice, a request that ran although it was refused as not run, or an answered request that did not run.

Example: pfload --entry http://127.0.0.1:7001 --account crews:1:KEY --queue planning --phase 100:10s`

// Main runs the command with the given arguments and returns its exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	var opts options
	parser := flags.NewNamedParser("pfload", flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = description
	if _, err := parser.AddGroup("Options", "", &opts); err != nil {
		panic("app: " + err.Error())
	}
	extraArgs, err := parser.ParseArgs(args)
	if err == nil && len(extraArgs) > 0 {
		err = fmt.Errorf("unexpected argument %q", extraArgs[0])
	}
	if usage, ok := errors.AsType[*flags.Error](err); ok && usage.Type == flags.ErrHelp {
		_, _ = fmt.Fprintln(stdout, usage.Message)
		return exitOK
	}
	var p plan
	if err == nil {
		p, err = opts.plan()
	}
	if err != nil {
		_, _ = fmt.Fprintf(stderr, "pfload: %v\n", err)
		return exitUsage
	}
	return run(ctx, p, opts.JSON, stdout, stderr)
}

func run(ctx context.Context, p plan, asJSON bool, stdout, stderr io.Writer) int {
	report, err := newGenerator(p).run(ctx)
	if err != nil {
		_, _ = fmt.Fprintf(stderr, "pfload: %v\n", err)
		if remedy := fold.Remedy(err); remedy != "" {
			_, _ = fmt.Fprintf(stderr, "remedy: %s\n", remedy)
		}
		return exitFailure
	}
	write := report.writeTable
	if asJSON {
		write = report.writeJSON
	}
	if err := write(stdout); err != nil {
		_, _ = fmt.Fprintf(stderr, "pfload: %v\n", err)
		return exitFailure
	}
	if report.hasViolations() {
		return exitViolation
	}
	return exitOK
}
