package peer_test

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/hashicorp/go-hclog"

	"plantainfold.example/fold"
	"plantainfold.example/fold/peer"
)

// Guards against a panic in the handler of one call that ends the whole process, and against an error that tells the caller
// that the call was not executed.
func TestPanicHarmsItsCallOnly(t *testing.T) {
	key := []byte("secret")
	server := peer.New("a", "a-1", key, hclog.NewNullLogger())
	peer.Handle(server, "ask", func(_ context.Context, _ string, list []int) (int, error) { return list[3], nil })
	listener := httptest.NewServer(server)
	defer listener.Close()
	client := peer.New("b", "b-1", key, hclog.NewNullLogger())
	defer func() { _ = client.Close() }()
	address := strings.TrimPrefix(listener.URL, "http://")
	if _, err := peer.Call[[]int, int](t.Context(), client, address, "ask", []int{1}); err == nil || fold.DidNotRun(err) {
		t.Errorf("error %v, want an unknown outcome", err)
	}
	if got, err := peer.Call[[]int, int](t.Context(), client, address, "ask", []int{0, 1, 2, 3}); got != 3 || err != nil {
		t.Errorf("the next call returns %d, %v", got, err)
	}
	_ = server.Close()
}
