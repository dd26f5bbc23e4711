package launch

import (
	"errors"
	"io"

	"github.com/jessevdk/go-flags"
)

// Command is a command of a program.
type Command struct {
	Name, Short string
	Run         flags.Commander
}

// RunCommands parses the arguments of a program with commands, runs the one that they name and returns the exit code.
func RunCommands(program, long string, args []string, stdout, stderr io.Writer, commands ...Command) int {
	parser := flags.NewNamedParser(program, flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = long
	for _, c := range commands {
		if _, err := parser.AddCommand(c.Name, c.Short, c.Short, c.Run); err != nil {
			panic("launch: " + err.Error())
		}
	}
	_, err := parser.ParseArgs(args)
	if _, usage := errors.AsType[*flags.Error](err); usage {
		return ShowUsage(err, stdout, stderr)
	}
	return ReportError(program, err, stderr)
}
