package app

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"time"

	"github.com/jessevdk/go-flags"

	"plantainfold.example/fold"
)

// clearScreen is the terminal sequence that moves the cursor to the top left and clears the screen.
const clearScreen = "\x1b[H\x1b[2J"

// topCommand implements "pfctl top", which shows all entries and pools.
type topCommand struct {
	Once  bool          `long:"once" description:"print once instead of refreshing"`
	Every time.Duration `long:"every" default:"2s" description:"time between refreshes"`

	session *session
}

var _ flags.Commander = &topCommand{}

// Execute prints the entries and pools once, or refreshes them until it is interrupted.
func (c *topCommand) Execute([]string) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	client, err := c.session.client()
	if err != nil {
		return err
	}
	for {
		cell, err := client.Cell(ctx)
		if err != nil && (c.Once || !fold.DidNotRun(err)) {
			return err
		}
		if !c.Once && !c.session.options.JSON {
			_, _ = fmt.Fprint(c.session.out, clearScreen)
		}
		if err := c.session.print(cell, func(w io.Writer) { printCell(w, cell) }); err != nil || c.Once {
			return err
		}
		select {
		case <-time.After(max(c.Every, pollInterval)):
		case <-ctx.Done():
			return nil
		}
	}
}

func printCell(w io.Writer, cell []fold.Status) {
	printRow(w, "entry", "domain", "standing", "revision", "pools", "wait p99", "packing", "cpu")
	var pools []fold.PoolStatus
	for _, s := range cell {
		printRow(w, s.Entry, s.Domain, s.Mode, s.Revision, len(s.Pools),
			fmt.Sprintf("%d ms", s.Measures.Waiting.P99), formatPercent(s.Measures.Packing), formatPercent(s.Measures.Control.CPU))
		pools = append(pools, s.Pools...)
	}
	printRow(w)
	printPools(w, pools)
}

func formatPercent(fraction float64) string {
	return fmt.Sprintf("%.1f%%", 100*fraction)
}
