package app_test

import (
	"context"
	"io"
	"os"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"github.com/rogpeppe/go-internal/testscript"

	"plantainfold.example/fold"
	"plantainfold.example/fold/cell"
	"plantainfold.example/fold/remote"
	"plantainfold.example/pfctl/internal/app"
)

// commands are the commands that scripts may use in addition to pfctl.
var commands = map[string]func(*testscript.TestScript, bool, []string){"pools": awaitPools}

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"pfctl": func() { os.Exit(app.Main(os.Args[1:], os.Stdout, os.Stderr)) },
	})
}

// Guards against a command that does not do what its help text says. The scripts run the command line of pfctl against a
// cell in this process.
func TestCommandLine(t *testing.T) {
	testscript.Run(t, testscript.Params{Dir: "testdata/script", Setup: startCell, Cmds: commands})
}

// startCell starts a cell for one script and sets its address and the operator key in the environment.
func startCell(env *testscript.Env) error {
	c, err := cell.New(cell.Shape{
		Region: "lima", Domains: []string{"a", "b", "c"}, Entries: 2, Racks: 1, Workers: 2,
		Capacity: fold.Resources{CPU: 16_000, Memory: 32_768}, Service: "planning", Slots: 8, ServiceTime: 5 * time.Millisecond,
	}, io.Discard)
	if err != nil {
		return err
	}
	env.Defer(func() { _ = c.Close() })
	url := c.Addresses()["entry-0"]
	env.Setenv("PLANTAINFOLD_ENTRY", url)
	env.Setenv("PLANTAINFOLD_KEY", cell.RootKey())
	return awaitReady(url)
}

// awaitPools waits until the owners of the pools have adopted all workers. The pools exist once a manifest is in force.
func awaitPools(ts *testscript.TestScript, _ bool, _ []string) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	client := remote.New(ts.Getenv("PLANTAINFOLD_ENTRY"), cell.RootKey())
	for adopted(ctx, client) < 6 {
		if ctx.Err() != nil {
			ts.Fatalf("%d of 6 workers are adopted", adopted(context.Background(), client))
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// awaitReady waits until the entry accepts changes of the configuration.
func awaitReady(url string) error {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	client := remote.New(url, cell.RootKey())
	for ctx.Err() == nil {
		// No such revision exists, so an entry that accepts changes answers with an Outdated error.
		_, err := client.ApplyManifest(ctx, 1_000_000, []byte(`{"teams": [], "queues": []}`))
		if errorx.IsOfType(err, fold.Outdated) {
			return nil
		}
		time.Sleep(20 * time.Millisecond)
	}
	return ctx.Err()
}

// adopted returns the number of workers that the owners of pools have adopted.
func adopted(ctx context.Context, client *remote.Client) int {
	entries, err := client.Cell(ctx)
	if err != nil {
		return 0
	}
	n := 0
	for _, e := range entries {
		for _, p := range e.Pools {
			n += p.Adopted
		}
	}
	return n
}
