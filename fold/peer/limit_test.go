package peer_test

import (
	"context"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"plantainfold.example/fold/peer"
)

// Guards against calls of one kind, such as those for requests of callers, that make the peer refuse the calls of other kinds,
// such as those of a relay.
func TestCallsOfOneKindDoNotExhaustOthers(t *testing.T) {
	const maxCalls = 256
	key := []byte("secret")
	arrived := make(chan struct{}, maxCalls+1)
	server := peer.New("a", "a-1", key, hclog.NewNullLogger())
	peer.Handle(server, "submit", func(ctx context.Context, _ string, _ int) (int, error) {
		arrived <- struct{}{}
		<-ctx.Done()
		return 0, nil
	})
	peer.Handle(server, "events", func(_ context.Context, _ string, n int) (int, error) { return n, nil })
	listener := httptest.NewServer(server)
	defer listener.Close()
	client := peer.New("b", "b-1", key, hclog.NewNullLogger())
	address := strings.TrimPrefix(listener.URL, "http://")
	var calls sync.WaitGroup
	for range maxCalls {
		calls.Go(func() { _, _ = peer.Call[int, int](t.Context(), client, address, "submit", 1) })
	}
	for range maxCalls {
		<-arrived
	}
	if got, err := peer.Call[int, int](t.Context(), client, address, "events", 7); got != 7 || err != nil {
		t.Errorf("a call of another kind returns %d, %v", got, err)
	}
	limited, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	if _, err := peer.Call[int, int](limited, client, address, "submit", 1); err == nil || limited.Err() != nil {
		t.Errorf("call %d of one kind returns %v, want a refusal", maxCalls+1, err)
	}
	_ = client.Close()
	_ = server.Close()
	calls.Wait()
}
