package entry

import (
	"context"
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/joomcode/errorx"

	"plantainfold.example/fold"
	"plantainfold.example/fold/owner"
	"plantainfold.example/fold/plat"
	"plantainfold.example/fold/store"
)

// startEntries starts entries that share one platform in memory.
func startEntries(t *testing.T, names ...string) (map[string]*Entry, *plat.Table) {
	t.Helper()
	table, fleet := plat.NewTable(), plat.NewFleet()
	entries := make(map[string]*Entry)
	for _, name := range names {
		server := httptest.NewUnstartedServer(nil)
		address := server.Listener.Addr().String()
		settings := Settings{
			Name: name, Region: "lima", Domain: "a", Listen: address,
			Cellkey: "cell-key-for-one-process", Rootkey: "root-key-for-one-process",
		}.WithDefaults()
		e := New(settings, Platform{Table: table, Objects: plat.NewObjects(), Fleet: fleet}, fold.BootClock{}, hclog.NewNullLogger())
		server.Config.Handler = e.PeerHandler()
		server.Start()
		t.Cleanup(server.Close)
		fleet.Set(fold.Instance{Name: name, Role: fold.RoleEntry, Address: address, State: fold.Live})
		e.Start(context.Background())
		entries[name] = e
	}
	return entries, table
}

// claimUntil claims an id. It retries for up to a minute while the range has no owner.
func claimUntil(t *testing.T, e *Entry, id string, issued time.Time) error {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	for {
		err := e.claim(ctx, "crews", id, issued)
		if !errorx.IsOfType(err, fold.Unavailable) || ctx.Err() != nil {
			return err
		}
	}
}

// Guards against ids that are granted twice or answered as unsure after a planned stop of the owner of their range, and
// against ranges that have no owner after the stop.
func TestClaimsSurvivePlannedStop(t *testing.T) {
	entries, table := startEntries(t, "e0", "e1", "e2")
	issued := time.Now()
	const ids = 300
	for n := range ids {
		if err := claimUntil(t, entries[fmt.Sprintf("e%d", n%3)], fmt.Sprintf("r%d", n), issued); err != nil {
			t.Fatalf("claim %d: %v", n, err)
		}
	}
	var stopped owner.Entry
	entries["e0"].withMachine(func(m *owner.Machine) { stopped, _ = m.OwnerOf(claimUnit(0)) })
	begin := time.Now()
	if err := entries[stopped.ID].Close(); err != nil {
		t.Fatal(err)
	}
	t.Logf("the planned stop of %s took %v", stopped.ID, time.Since(begin))
	delete(entries, stopped.ID)
	rows, err := store.Scan[owner.Unit](context.Background(), table, store.OncePrefix)
	if err != nil {
		t.Fatal(err)
	}
	for _, row := range rows {
		if row.Value.Owner == stopped.ID {
			t.Fatalf("%s still belongs to the stopped entry", row.Key)
		}
	}
	for name, e := range entries {
		for n := range ids {
			err := claimUntil(t, e, fmt.Sprintf("r%d", n), issued)
			if err == nil || !strings.Contains(err.Error(), "was sent before") {
				t.Fatalf("claim %d again: %v, want that it was sent before", n, err)
			}
			if err := claimUntil(t, e, fmt.Sprintf("%s-%d", name, n), time.Now()); err != nil {
				t.Fatalf("new claim %d after the stop: %v", n, err)
			}
		}
	}
	for _, e := range entries {
		if err := e.Close(); err != nil {
			t.Error(err)
		}
	}
}
