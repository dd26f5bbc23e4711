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
	"plantainfold.example/fold/httpd"
	"plantainfold.example/fold/plat"
)

// Exit codes.
const (
	exitOK    = 0
	exitFail  = 1
	exitUsage = 2
)

// options are the flags of the stand-in platform.
type options struct {
	Listen string `long:"listen" default:"127.0.0.1:7000" description:"IP address and port"`
}

// Main serves the platform until SIGTERM and returns the exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	var opts options
	if _, err := flags.NewParser(&opts, flags.HelpFlag|flags.PassDoubleDash).ParseArgs(args); err != nil {
		if usage, ok := errors.AsType[*flags.Error](err); ok && usage.Type == flags.ErrHelp {
			_, _ = fmt.Fprintln(stdout, usage.Message)
			return exitOK
		}
		_, _ = fmt.Fprintln(stderr, err)
		return exitUsage
	}
	if err := serve(ctx, opts, stdout); err != nil {
		_, _ = fmt.Fprintf(stderr, "pfplat: %v\n", err)
		return exitFail
	}
	return exitOK
}

func serve(ctx context.Context, opts options, stdout io.Writer) error {
	listener, err := httpd.Listen(ctx, opts.Listen)
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintf(stdout, "platform on %s\n", listener.Addr())
	return httpd.Serve(ctx, listener, plat.New(fold.BootClock{}).Handler())
}
