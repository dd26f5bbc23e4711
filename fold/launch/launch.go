package launch

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"
	"github.com/joomcode/errorx"

	"plantainfold.example/fold"
)

// Exit codes of the programs that use this package.
const (
	OK     = 0
	Failed = 1
	Usage  = 2
)

// Context returns a context that is cancelled when the process receives SIGTERM or an interrupt.
func Context() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
}

// ParseOptions parses the arguments of a program without subcommands into opts. It returns false and the exit code if the
// program should exit, because help was requested or the arguments are wrong.
func ParseOptions(opts any, args []string, stdout, stderr io.Writer) (int, bool) {
	_, err := flags.NewParser(opts, flags.HelpFlag|flags.PassDoubleDash).ParseArgs(args)
	if err == nil {
		return OK, true
	}
	return ShowUsage(err, stdout, stderr), false
}

// ShowUsage prints a usage error or help and returns the exit code.
func ShowUsage(err error, stdout, stderr io.Writer) int {
	usage, ok := errors.AsType[*flags.Error](err)
	if ok && usage.Type == flags.ErrHelp {
		_, _ = fmt.Fprintln(stdout, usage.Message)
		return OK
	}
	_, _ = fmt.Fprintln(stderr, err)
	return Usage
}

// ReportError prints the error of a program with its remedy and returns the exit code.
func ReportError(program string, err error, stderr io.Writer) int {
	if err == nil {
		return OK
	}
	_, _ = fmt.Fprintf(stderr, "%s: %s\n", program, messageOf(err))
	if remedy := fold.Remedy(err); remedy != "" {
		_, _ = fmt.Fprintf(stderr, "remedy: %s\n", remedy)
	}
	return Failed
}

// messageOf returns the text of err without its remedy, because the remedy is printed on its own line.
func messageOf(err error) string {
	if e := errorx.Cast(err); e != nil && e.Message() != "" {
		return e.Message()
	}
	return err.Error()
}
