package app

import (
	"errors"
	"io"

	"github.com/jessevdk/go-flags"

	"plantainfold.example/fold/launch"
)

// Main runs the command line and returns the exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	ctx, stop := launch.Context()
	defer stop()
	parser := flags.NewNamedParser("pfnode", flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = "Entry daemon of plantainfold on the users' platform. Example: pfnode serve --settings node.json"
	add(parser, "serve", "Serve until SIGTERM, then stop gracefully", &serveCommand{ctx: ctx, stdout: stdout})
	add(parser, "check", "Check the settings without starting", &checkCommand{stdout: stdout})
	_, err := parser.ParseArgs(args)
	if _, usage := errors.AsType[*flags.Error](err); usage {
		return launch.ShowUsage(err, stdout, stderr)
	}
	return launch.Exit("pfnode", err, stderr)
}

func add(parser *flags.Parser, name, short string, command any) {
	if _, err := parser.AddCommand(name, short, short, command); err != nil {
		panic("app: " + err.Error())
	}
}
