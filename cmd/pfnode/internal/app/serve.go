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
	"plantainfold.example/fold/conns"
	"plantainfold.example/fold/front"
	"plantainfold.example/fold/node"
	"plantainfold.example/fold/telem"
	"plantainfold.example/platform"
)

// serveCommand is the command that runs the daemon.
type serveCommand struct {
	settingsFlag

	ctx    context.Context
	stdout io.Writer
}

var _ flags.Commander = &serveCommand{}

// memoryShare is the share of the instance's memory that is set as the soft memory limit of the Go runtime. The rest is left
// for memory outside that limit, such as buffers of the operating system.
const memoryShare = 0.6

// Execute serves until the context of the command ends, on a signal to stop.
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
	runner := conns.New(platform.NewHostDialer(client), log)
	defer func() { _ = runner.Close() }()
	n, err := node.New(s, node.Parts{
		Table:     store,
		Log:       store,
		Rules:     platform.NewRulesSource(store, log),
		Roster:    platform.NewRoster(store, log),
		Runner:    runner,
		HostConns: client.HostConns,
		Adviser:   platform.NewAdviser(client, s.Adviser),
		Callers: func(f *front.Front, bodies fold.BodyDecoder, log hclog.Logger, seen func(string, int, time.Duration)) http.Handler {
			return platform.NewClientHandler(f, bodies, log, seen)
		},
	}, fold.BootClock{}, log)
	if err != nil {
		return err
	}
	client.ObserveCalls(n.Traffic)
	stop := c.reloadOnHangup(log)
	defer stop()
	return n.Run(c.ctx)
}

// reloadOnHangup reads and checks the settings file on each SIGHUP. Only the log level takes effect at once; all other
// settings of a running entry change at its next start. The returned function stops handling the signal.
func (c *serveCommand) reloadOnHangup(log hclog.Logger) func() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	go func() {
		for range signals {
			s, err := c.load()
			if err != nil {
				log.Error("Reading the settings again failed; the current settings stay in use.", "error", err)
				continue
			}
			log.SetLevel(hclog.LevelFromString(s.Level))
			log.Info("Read the settings again; only the log level takes effect before a restart.", "level", s.Level)
		}
	}()
	return func() {
		signal.Stop(signals)
		close(signals)
	}
}
