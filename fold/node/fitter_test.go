package node

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"plantainfold.example/fold/peer"
)

// Guards against an owner that keeps the pool although a stronger entry can take it over: one that the table serves, also
// beside a stronger one without the table, or one of an earlier version, which does not know the call. It must not hand over
// to entries without the table, and to one of its own strength only if that is nearer to the table. Guards also against an
// entry far from the table, each of whose commits waits for the way there and back, that owns the pool beside a nearer one.
func TestAskFitter(t *testing.T) {
	// An entry with the version earlier does not know the call.
	const healthy, unhealthy, earlier = "healthy", "unhealthy", "earlier"
	type other struct {
		strength float64
		version  string
		// tableTime is how long the table takes to answer the entry.
		tableTime time.Duration
	}
	// The owner has the strength 1.
	const near, alike, far, unknown = 4 * time.Millisecond, 12 * time.Millisecond, 14 * time.Millisecond, time.Duration(0)
	stronger, nearer, neither := fitterEntries{stronger: true}, fitterEntries{nearer: true}, fitterEntries{}
	cases := []struct {
		name   string
		others []other
		want   fitterEntries
	}{
		{"none", nil, neither},
		{"table healthy", []other{{2, healthy, far}}, stronger},
		{"no table", []other{{2, unhealthy, far}}, neither},
		{"earlier version", []other{{2, earlier, unknown}}, stronger},
		{"strongest without table", []other{{4, unhealthy, far}, {2, healthy, far}}, stronger},
		{"same strength", []other{{4, unhealthy, far}, {1, healthy, far}}, neither},
		{"same strength, nearer", []other{{1, healthy, near}}, nearer},
		{"same strength, little nearer", []other{{1, healthy, alike}}, neither},
		{"same strength, nearer, no table", []other{{1, unhealthy, near}}, neither},
		{"same strength, time not known", []other{{1, healthy, unknown}}, neither},
		{"weaker, nearer", []other{{0.5, healthy, near}}, neither},
		{"a little weaker, nearer", []other{{0.9, healthy, near}, {1, healthy, far}}, neither},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				pipes := &pipeNetwork{listeners: make(map[string]*pipeListener)}
				client := http.DefaultClient.Transport
				http.DefaultClient.Transport = &http.Transport{DialContext: pipes.dial, DisableKeepAlives: true}
				defer func() { http.DefaultClient.Transport = client }()
				key := []byte("secret")
				owner := peer.New("owner", "owner-1", key, hclog.NewNullLogger())
				defer func() { _ = owner.Close() }()
				p := &peers{near: 5 * time.Millisecond, self: registration{Strength: 1, TableTime: far}, transport: owner, responding: make(map[string]registration)}
				for i, o := range c.others {
					name := string(rune('a' + i))
					entry := peer.New(name, name+"-1", key, hclog.NewNullLogger())
					if o.version != earlier {
						peer.Handle(entry, tableHealthyCall, func(context.Context, string, struct{}) (bool, error) {
							return o.version == healthy, nil
						})
					}
					mux := http.NewServeMux()
					mux.Handle(peer.Path, entry)
					server := &http.Server{Handler: mux}
					listener := pipes.listen(name + ":1")
					go func() { _ = server.Serve(listener) }()
					defer func() {
						_ = entry.Close()
						_ = server.Close()
					}()
					p.responding[name] = registration{Address: name + ":1", Incarnation: name + "-1", Strength: o.strength, TableTime: o.tableTime}
				}
				if got := p.askFitter(t.Context()); got != c.want {
					t.Errorf("fitter entries that the table serves: %+v, want %+v", got, c.want)
				}
			})
		})
	}
}

// Guards against a successor that is far from the table although an equally strong entry is near it.
func TestSuccessorsNearTheTableComeFirst(t *testing.T) {
	p := &peers{near: 5 * time.Millisecond, responding: make(map[string]registration)}
	for _, entry := range []registration{
		{Incarnation: "a", Strength: 1, TableTime: 14 * time.Millisecond},
		{Incarnation: "b", Strength: 1},
		{Incarnation: "c", Strength: 1, TableTime: 4 * time.Millisecond},
		{Incarnation: "d", Strength: 1, TableTime: 6 * time.Millisecond},
		{Incarnation: "e", Strength: 2, TableTime: 14 * time.Millisecond},
		{Incarnation: "f", Strength: 0.5, TableTime: 4 * time.Millisecond},
	} {
		p.responding[entry.Incarnation] = entry
	}
	entries, fitCount := p.entries()
	if got, want := strings.Join(entries, " "), "e b c d a f"; got != want || fitCount != 1 {
		t.Errorf("order %s, %d fit; want %s, 1 fit", got, fitCount, want)
	}
	p.near = 0
	if entries, _ = p.entries(); strings.Join(entries, " ") != "e a b c d f" {
		t.Errorf("order %v without the setting, want that of the incarnations", entries)
	}
}

// Guards against a hand-over for a small advantage while jobs wait for the owner.
func TestBusyPoolStaysWithFarOwner(t *testing.T) {
	cases := []struct {
		fitter     fitterEntries
		idle, want bool
	}{
		{fitterEntries{}, true, false},
		{fitterEntries{nearer: true}, true, true},
		{fitterEntries{nearer: true}, false, false},
		{fitterEntries{stronger: true}, false, true},
	}
	for _, c := range cases {
		p := &peers{fitter: c.fitter}
		if got := p.fitterExists(c.idle); got != c.want {
			t.Errorf("%+v, idle %v: hand over %v, want %v", c.fitter, c.idle, got, c.want)
		}
	}
}
