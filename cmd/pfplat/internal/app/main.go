package app

import (
	"context"
	"fmt"
	"io"

	"plantainfold.example/fold"
	"plantainfold.example/fold/httpd"
	"plantainfold.example/fold/launch"
	"plantainfold.example/fold/plat"
)

// options are the flags of the program.
type options struct {
	Listen string `long:"listen" default:"127.0.0.1:7000" description:"IP address and port"`
}

// Main serves the platform until SIGTERM or an interrupt and returns the exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	ctx, stop := launch.Context()
	defer stop()
	var opts options
	if code, ok := launch.ParseOptions(&opts, args, stdout, stderr); !ok {
		return code
	}
	return launch.ReportError("pfplat", serve(ctx, opts, stdout), stderr)
}

func serve(ctx context.Context, opts options, stdout io.Writer) error {
	listener, err := httpd.Listen(ctx, opts.Listen)
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintf(stdout, "platform on %s\n", listener.Addr())
	return httpd.Serve(ctx, listener, plat.New(fold.BootClock{}).Handler())
}
