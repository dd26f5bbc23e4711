package node

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"

	"github.com/hashicorp/go-hclog"

	"plantainfold.example/fold/peer"
)

// Guards against an owner that keeps the pool although a stronger entry can take it over: one that the table serves, also
// beside a stronger one without the table, or one of an earlier version, which does not know the call. It must not hand over
// to entries without the table or of its own strength.
func TestAskStronger(t *testing.T) {
	// An entry with the version earlier does not know the call.
	const healthy, unhealthy, earlier = "healthy", "unhealthy", "earlier"
	type other struct {
		strength float64
		version  string
	}
	cases := []struct {
		name   string
		others []other
		want   bool
	}{
		{"none", nil, false},
		{"table healthy", []other{{2, healthy}}, true},
		{"no table", []other{{2, unhealthy}}, false},
		{"earlier version", []other{{2, earlier}}, true},
		{"strongest without table", []other{{4, unhealthy}, {2, healthy}}, true},
		{"same strength", []other{{4, unhealthy}, {1, healthy}}, false},
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
				p := &peers{self: registration{Strength: 1}, transport: owner, responding: make(map[string]registration)}
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
					p.responding[name] = registration{Address: name + ":1", Incarnation: name + "-1", Strength: o.strength}
				}
				if got := p.askStronger(t.Context()); got != c.want {
					t.Errorf("a stronger entry is served: %v, want %v", got, c.want)
				}
			})
		})
	}
}
