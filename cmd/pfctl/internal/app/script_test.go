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

// commands are those of scripts beside pfctl.
var commands = map[string]func(*testscript.TestScript, bool, []string){"pools": pools}

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"pfctl": func() { os.Exit(app.Main(os.Args[1:], os.Stdout, os.Stderr)) },
	})
}

// Guards against a command that does not do what its help says, through the real command line against a cell.
func TestCommandLine(t *testing.T) {
	testscript.Run(t, testscript.Params{Dir: "testdata/script", Setup: startCell, Cmds: commands})
}

// startCell gives a script a cell of its own and the operator key.
func startCell(env *testscript.Env) error {
	c, err := cell.New(cell.Shape{
		Region: "lima", Domains: []string{"a", "b", "c"}, Entries: 2, Racks: 1, Workers: 2,
		Capacity: fold.Resources{CPU: 16_000, Memory: 32_768}, Service: "planning", Slots: 8, Time: 5 * time.Millisecond,
	}, io.Discard)
	if err != nil {
		return err
	}
	env.Defer(func() { _ = c.Close() })
	url := c.Addresses()["entry-0"]
	env.Setenv("PLANTAINFOLD_ENTRY", url)
	env.Setenv("PLANTAINFOLD_KEY", cell.RootKey())
	return ready(url)
}

// pools waits until every pool of the cell has its workers; pools are made once a manifest is in force.
func pools(ts *testscript.TestScript, _ bool, _ []string) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	at := remote.New(ts.Getenv("PLANTAINFOLD_ENTRY"), cell.RootKey())
	for adopted(ctx, at) < 6 {
		if ctx.Err() != nil {
			ts.Fatalf("%d of 6 workers are adopted", adopted(context.Background(), at))
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// ready waits until the entry takes changes of the configuration.
func ready(url string) error {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	at := remote.New(url, cell.RootKey())
	for ctx.Err() == nil {
		// A revision that cannot be: an entry that takes changes answers that it is outdated.
		_, err := at.Apply(ctx, 1_000_000, []byte(`{"teams": [], "queues": []}`))
		if errorx.IsOfType(err, fold.Outdated) {
			return nil
		}
		time.Sleep(20 * time.Millisecond)
	}
	return ctx.Err()
}

// adopted counts the workers that owners of pools have adopted.
func adopted(ctx context.Context, at *remote.Client) int {
	entries, err := at.Cell(ctx)
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
