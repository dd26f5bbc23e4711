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

// Exit codes.
const (
	exitOK    = 0
	exitFail  = 1
	exitUsage = 2
)

// Main runs the command line and returns the exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	parser := flags.NewNamedParser("pfentry", flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = "Entry daemon of plantainfold. Example: pfentry serve --settings entry.json"
	add(parser, "serve", "Serve until SIGTERM, then stop gracefully", &serveCommand{ctx: ctx, stderr: stderr})
	add(parser, "check", "Check the settings without starting", &checkCommand{stdout: stdout})
	_, err := parser.ParseArgs(args)
	if err == nil {
		return exitOK
	}
	if usage, ok := errors.AsType[*flags.Error](err); ok {
		return printUsage(usage, stdout, stderr)
	}
	_, _ = fmt.Fprintf(stderr, "pfentry: %v\n", err)
	if remedy := fold.Remedy(err); remedy != "" {
		_, _ = fmt.Fprintf(stderr, "remedy: %s\n", remedy)
	}
	return exitFail
}

func add(parser *flags.Parser, name, short string, command any) {
	if _, err := parser.AddCommand(name, short, short, command); err != nil {
		panic("app: " + err.Error())
	}
}

func printUsage(usage *flags.Error, stdout, stderr io.Writer) int {
	if usage.Type == flags.ErrHelp {
		_, _ = fmt.Fprintln(stdout, usage.Message)
		return exitOK
	}
	_, _ = fmt.Fprintln(stderr, usage.Message)
	return exitUsage
}
