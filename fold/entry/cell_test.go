package entry_test

import (
	"context"
	"io"
	"sort"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/joomcode/errorx"

	"plantainfold.example/fold"
	"plantainfold.example/fold/cell"
	"plantainfold.example/fold/remote"
)

const manifest = `{
	"teams": [{"name": "crews", "share": 1, "limit": {"cpu": 64000, "memory": 65536}}],
	"queues": [
		{"name": "planning", "teams": ["crews"], "service": "planning"},
		{"name": "nightly", "teams": ["crews"]},
	],
}`

// newCell starts a cell whose logs go to out, and waits until every entry has standing.
func newCell(t *testing.T, entries int, out io.Writer) *cell.Cell {
	t.Helper()
	c, err := cell.New(cell.Shape{
		Region: "lima", Domains: []string{"a", "b", "c"}, Entries: entries, Racks: 1, Workers: 2,
		Capacity: fold.Resources{CPU: 16_000, Memory: 32_768}, Service: "planning", Slots: 8, ServiceTime: 20 * time.Millisecond,
	}, out)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := c.Close(); err != nil {
			t.Error(err)
		}
	})
	for _, url := range c.Addresses() {
		eventually(t, remote.New(url, "").Ready)
	}
	return c
}

// operators returns a client with the operator key for each entry, in order of name.
func operators(c *cell.Cell) []*remote.Client {
	urls := c.Addresses()
	names := make([]string, 0, len(urls))
	for name := range urls {
		names = append(names, name)
	}
	sort.Strings(names)
	clients := make([]*remote.Client, 0, len(names))
	for _, name := range names {
		clients = append(clients, remote.New(urls[name], cell.RootKey()))
	}
	return clients
}

// apply replaces the manifest whatever its current revision is and returns the new revision.
func apply(t *testing.T, at *remote.Client, text string) fold.Revision {
	t.Helper()
	var out fold.Revision
	eventually(t, func(ctx context.Context) error {
		revision, _, err := at.Manifest(ctx)
		if err != nil {
			return err
		}
		out, err = at.ApplyManifest(ctx, revision, []byte(text))
		return err
	})
	return out
}

// eventually repeats fn until it succeeds or a minute has passed.
func eventually(t *testing.T, fn func(ctx context.Context) error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	for {
		err := fn(ctx)
		if err == nil {
			return
		}
		if errorx.IsOfType(err, fold.Invalid) {
			t.Fatal(err)
		}
		if ctx.Err() != nil {
			t.Fatalf("not reached within a minute: %v", err)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// notYet returns the error of a function passed to eventually whose condition does not hold yet.
func notYet(format string, args ...any) error {
	return fold.Refuse(fold.Unavailable, "wait", format, args...)
}

// transcript collects the output of concurrent writers.
type transcript struct {
	mu   sync.Mutex
	text strings.Builder
}

func (t *transcript) Write(b []byte) (int, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.text.Write(b)
}

func (t *transcript) String() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.text.String()
}
