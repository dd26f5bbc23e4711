package app_test

import (
	"context"
	"io"
	"os"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"plantainfold.example/fold"
	"plantainfold.example/fold/cell"
	"plantainfold.example/fold/remote"
	"plantainfold.example/pfctl/internal/app"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"pfctl": func() { os.Exit(app.Main(os.Args[1:], os.Stdout, os.Stderr)) },
	})
}

// Guards against a command that does not do what its help says, through the real command line against a cell.
func TestCommandLine(t *testing.T) {
	testscript.Run(t, testscript.Params{Dir: "testdata/script", Setup: startCell})
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

// ready waits until the entry takes changes of the configuration.
func ready(url string) error {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	at := remote.New(url, cell.RootKey())
	for {
		_, err := at.Apply(ctx, 1_000_000, []byte(`{"teams": [], "queues": []}`))
		if err != nil && (fold.Remedy(err) == "read the manifest again and repeat the change" || ctx.Err() != nil) {
			return ctx.Err()
		}
		time.Sleep(20 * time.Millisecond)
	}
}
