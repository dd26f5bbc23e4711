package app

import (
	"errors"
	"fmt"
	"io"

	"github.com/jessevdk/go-flags"

	"plantainfold.example/fold"
)

const (
	// exitOK is the exit code of a command that succeeded.
	exitOK = 0
	// exitRefused is the exit code of a refused command, which changed and ran nothing.
	exitRefused = 1
	// exitUsage is the exit code after wrong flags or arguments.
	exitUsage = 2
	// exitUnknown is the exit code if the outcome is not known; check the state before repeating the command.
	exitUnknown = 3
	// exitNotReached is the exit code if the call succeeded but the state that pfctl waited for was not reached.
	exitNotReached = 4
)

const description = `Command line for operators and callers of plantainfold.

Exit codes: 0 done; 1 refused, nothing was changed or run; 2 wrong usage; 3 the outcome is not known;
4 done, but what was waited for did not come (a job that failed, a drain that is stuck).`

// command is a command of pfctl.
type command struct {
	name string
	// short is a one-line description for the help text.
	short string
	// example is a command line for the help text.
	example string
	run     flags.Commander
}

// Main runs pfctl with the arguments and returns its exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	s := &session{out: stdout, progress: stderr}
	parser := newParser(s)
	_, err := parser.ParseArgs(args)
	if err == nil || s.dry.skipped() {
		return exitOK
	}
	if usage, ok := errors.AsType[*flags.Error](err); ok {
		return printUsage(usage, stdout, stderr)
	}
	_, _ = fmt.Fprintf(stderr, "pfctl: %s\n", messageOf(err))
	if remedy := fold.Remedy(err); remedy != "" {
		_, _ = fmt.Fprintf(stderr, "remedy: %s\n", remedy)
	}
	return exitCode(err)
}

func newParser(s *session) *flags.Parser {
	parser := flags.NewParser(&s.options, flags.HelpFlag|flags.PassDoubleDash)
	parser.Name = "pfctl"
	parser.LongDescription = description
	for _, c := range commands(s) {
		addCommand(parser.Command, c)
	}
	keys, err := parser.AddCommand("keys", "Grant, list and withdraw keys", "Grant, list and withdraw keys.", &struct{}{})
	if err != nil {
		panic("app: " + err.Error())
	}
	for _, c := range keyCommands(s) {
		addCommand(keys, c)
	}
	return parser
}

func commands(s *session) []command {
	return []command{
		{"apply", "Replace the manifest and wait until it is in force", "pfctl apply manifest.json", &applyCommand{session: s}},
		{"diff", "List what applying a manifest would change", "pfctl diff manifest.json", &diffCommand{session: s}},
		{"check", "Check a manifest without an entry", "pfctl check manifest.json", &checkCommand{session: s}},
		{"history", "List who changed the configuration and how", "pfctl history", &historyCommand{session: s}},
		{"status", "Show an entry and what it sees of the cell", "pfctl status --json", &statusCommand{session: s}},
		{"top", "Show all entries and pools, refreshed", "pfctl top --once", &topCommand{session: s}},
		{"events", "List what the system did by itself and why", "pfctl events --last 20", &eventsCommand{session: s}},
		{"drain", "Empty a worker, endpoint, service, queue, team or entry", "pfctl drain worker w-17 --grace 10m --wait 15m", &drainCommand{session: s}},
		{"submit", "Submit a job", "pfctl submit --id visits-1 --queue nightly --count 6 --cpu 2 --memory 4096 --duration 20m --out visits.job", &submitCommand{session: s}},
		{"job", "Show a job and where its tasks ran", "pfctl job @visits.job", &jobCommand{session: s}},
		{"watch", "Follow a job until it ends", "pfctl watch @visits.job", &watchCommand{session: s}},
		{"explain", "Say why a job is in its state", "pfctl explain @visits.job", &explainCommand{session: s}},
		{"cancel", "Stop a job gracefully", "pfctl cancel @visits.job", &cancelCommand{session: s}},
	}
}

func keyCommands(s *session) []command {
	return []command{
		{"grant", "Issue a key; it is shown once", "pfctl keys grant --team crews --queue nightly --expires 720h --out crews.key", &grantCommand{session: s}},
		{"list", "List keys without their secrets", "pfctl keys list", &keysCommand{session: s}},
		{"withdraw", "End a key", "pfctl keys withdraw @crews.key", &withdrawCommand{session: s}},
	}
}

// addCommand adds a command and its help text to a parent command.
func addCommand(parent *flags.Command, c command) {
	if _, err := parent.AddCommand(c.name, c.short, c.short+".\n\nExample: "+c.example, c.run); err != nil {
		panic("app: " + err.Error())
	}
}

// printUsage prints a help text that was asked for, or a usage error, and returns the exit code.
func printUsage(usage *flags.Error, stdout, stderr io.Writer) int {
	if usage.Type == flags.ErrHelp {
		_, _ = fmt.Fprintln(stdout, usage.Message)
		return exitOK
	}
	_, _ = fmt.Fprintln(stderr, usage.Message)
	return exitUsage
}
