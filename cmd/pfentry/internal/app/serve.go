package app

import (
	"context"
	"io"

	"github.com/jessevdk/go-flags"

	"plantainfold.example/fold/daemon"
	"plantainfold.example/fold/entry"
)

// serveCommand runs the entry daemon.
type serveCommand struct {
	Settings string `long:"settings" required:"true" description:"settings file, JSON with comments"`
	Traces   bool   `long:"traces" description:"write trace spans to standard error"`

	ctx    context.Context
	stderr io.Writer
}

var _ flags.Commander = &serveCommand{}

// Execute serves until the context ends, which is when the process receives a stop signal.
func (c *serveCommand) Execute([]string) error {
	settings, err := entry.LoadSettings(c.Settings)
	if err != nil {
		return err
	}
	out := daemon.Outputs{Logs: c.stderr}
	if c.Traces {
		out.Traces = c.stderr
	}
	d, err := daemon.New(settings, out)
	if err != nil {
		return err
	}
	listener, err := d.Listen(c.ctx)
	if err != nil {
		return err
	}
	return d.Run(c.ctx, listener)
}
