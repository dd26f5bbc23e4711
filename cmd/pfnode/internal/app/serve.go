package app

import (
	"context"
	"io"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jessevdk/go-flags"

	"plantainfold.example/fold"
	"plantainfold.example/fold/front"
	"plantainfold.example/fold/node"
	"plantainfold.example/fold/telem"
	"plantainfold.example/platform"
)

// serveCommand runs the daemon.
type serveCommand struct {
	settingsFlag

	ctx    context.Context
	stdout io.Writer
}

var _ flags.Commander = &serveCommand{}

// memoryShare is the share of the instance's memory at which the collector works harder; the rest covers stacks and
// buffers of the system.
const memoryShare = 0.6

// Execute serves until the process is told to stop.
func (c *serveCommand) Execute([]string) error {
	s, err := c.load()
	if err != nil {
		return err
	}
	if s.Memory > 0 {
		debug.SetMemoryLimit(int64(s.Memory * memoryShare * (1 << 20)))
	}
	out := telem.NewWriter(c.stdout)
	defer func() { _ = out.Close() }()
	log := telem.NewJSONLogger(s.Name, s.Level, out)
	client := platform.NewClient()
	defer func() { _ = client.Close() }()
	store := platform.NewStore(client, s.Store)
	n, err := node.New(s, node.Parts{
		Table:   store,
		Log:     store,
		Rules:   platform.NewRulesSource(store),
		Roster:  platform.NewRoster(store, log),
		Runner:  platform.NewRunner(client),
		Adviser: platform.NewAdviser(client, s.Adviser),
		Callers: func(f *front.Front, log hclog.Logger, seen func(string, int, time.Duration)) http.Handler {
			return platform.NewClientHandler(f, log, seen)
		},
	}, fold.BootClock{}, log)
	if err != nil {
		return err
	}
	client.ObserveCalls(n.Traffic)
	stop := c.reload(log)
	defer stop()
	return n.Run(c.ctx)
}

// reload checks the settings again on each SIGHUP. Addresses and the name of a running entry do not change, so it
// reports what a restart would use.
func (c *serveCommand) reload(log hclog.Logger) func() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	go func() {
		for range signals {
			s, err := c.load()
			if err != nil {
				log.Error("Kept the settings, the new ones are not usable.", "error", err)
				continue
			}
			log.SetLevel(hclog.LevelFromString(s.Level))
			log.Info("Read the settings again.", "level", s.Level)
		}
	}()
	return func() {
		signal.Stop(signals)
		close(signals)
	}
}
