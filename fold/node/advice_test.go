package node

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"plantainfold.example/fold"
	"plantainfold.example/fold/peer"
)

// silentAdviser never answers. It counts the calls that have not ended.
type silentAdviser struct {
	running chan struct{}
}

func (a silentAdviser) Advise(ctx context.Context, _ string, _ []string) (fold.Advice, error) {
	a.running <- struct{}{}
	<-ctx.Done()
	<-a.running
	return fold.Advice{}, ctx.Err()
}

// Guards against an entry whose call to the adviser goes on after the owner has given it up: the adviser serves the calls of
// an entry in turn, so later calls through this entry wait behind it.
func TestAdviceCallEndsWithTheOwnersTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pipes := &pipeNetwork{listeners: make(map[string]*pipeListener)}
		client := http.DefaultClient.Transport
		http.DefaultClient.Transport = &http.Transport{DialContext: pipes.dial, DisableKeepAlives: true}
		defer func() { http.DefaultClient.Transport = client }()
		key := []byte("secret")
		adviser := silentAdviser{running: make(chan struct{}, 8)}
		entry := peer.New("entry", "entry-1", key, hclog.NewNullLogger())
		(&Node{parts: Parts{Adviser: adviser}}).registerAdviceCalls(entry)
		mux := http.NewServeMux()
		mux.Handle(peer.Path, entry)
		server := &http.Server{Handler: mux}
		listener := pipes.listen("entry:1")
		go func() { _ = server.Serve(listener) }()
		owner := peer.New("owner", "owner-1", key, hclog.NewNullLogger())
		defer func() {
			_ = owner.Close()
			_ = entry.Close()
			_ = server.Close()
		}()
		const patience = 3 * time.Second
		ctx, cancel := context.WithTimeout(t.Context(), patience)
		defer cancel()
		begin := time.Now()
		if _, err := (remoteAdviceCaller{name: "entry", address: "entry:1", transport: owner}).Advise(ctx, "step", []string{"host"}); err == nil {
			t.Error("the adviser never answers, but the call succeeded")
		}
		if took := time.Since(begin); took > patience+100*time.Millisecond {
			t.Errorf("the call took %s", took)
		}
		time.Sleep(100 * time.Millisecond)
		if running := len(adviser.running); running != 0 {
			t.Errorf("%d calls to the adviser go on after the owner has given them up", running)
		}
	})
}
