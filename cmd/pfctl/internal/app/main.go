package app

import (
	"errors"
	"fmt"
	"io"

	"github.com/jessevdk/go-flags"

	"plantainfold.example/fold"
	"plantainfold.example/fold/remote"
)

// Exit codes.
const (
	exitOK    = 0
	exitFail  = 1
	exitUsage = 2
)

// options are the flags of every command.
type options struct {
	Entry string `long:"entry" env:"PLANTAINFOLD_ENTRY" default:"http://127.0.0.1:7001" description:"base URL of an entry or of the balancer"`
	Key   string `long:"key" env:"PLANTAINFOLD_KEY" description:"key of a team or operator"`
	JSON  bool   `long:"json" description:"print JSON"`
}

// session is what commands share.
type session struct {
	options *options
	out     io.Writer
}

func (s session) client() *remote.Client {
	return remote.New(s.options.Entry, s.options.Key)
}

// Main runs the command line and returns the exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	opts := &options{}
	parser := flags.NewParser(opts, flags.HelpFlag|flags.PassDoubleDash)
	parser.Name = "pfctl"
	s := session{options: opts, out: stdout}
	add(parser, "status", "Show an entry and what it sees of the cell", &statusCommand{session: s})
	_, err := parser.ParseArgs(args)
	if err == nil {
		return exitOK
	}
	if usage, ok := errors.AsType[*flags.Error](err); ok {
		return printUsage(usage, stdout, stderr)
	}
	_, _ = fmt.Fprintf(stderr, "pfctl: %v\n", err)
	if remedy := fold.Remedy(err); remedy != "" {
		_, _ = fmt.Fprintf(stderr, "remedy: %s\n", remedy)
	}
	return exitFail
}

func add(parser *flags.Parser, name, short string, command flags.Commander) {
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
