package peer

import (
	"fmt"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"plantainfold.example/fold"
	"plantainfold.example/fold/owner"
	"plantainfold.example/fold/spread"
)

const (
	beatsPerSecond = 2
	// maskBytes is the size of the mask that a WebSocket frame of the dialling side contains in addition.
	maskBytes = 4
)

// frameBytes returns the size of a call or answer on the wire, including the header of its WebSocket frame.
func frameBytes(t *testing.T, kind string, body any, mask int) int {
	t.Helper()
	inner, err := cbor.Marshal(body)
	if err != nil {
		t.Fatal(err)
	}
	outer, err := cbor.Marshal(frame{ID: 1 << 20, Kind: kind, Body: inner})
	if err != nil {
		t.Fatal(err)
	}
	header := 2
	if len(outer) > 125 {
		header = 4
	}
	return len(outer) + header + mask
}

// exchange returns the sizes in bytes of a heartbeat call and of its answer, which lists the given number of pools.
func exchange(t *testing.T, pools int) (call, answer int) {
	t.Helper()
	beat := owner.Beat{
		ID: "entry-eu-west-17", Incarnation: "0f8fad5b-d9cb-469f-a165-70867728950e",
		Contact: 812, ContactVersion: 1 << 40, Revision: 1 << 20, KnownRevision: 1 << 20, Confirmed: 731, View: 1 << 20, CanVote: true, Eligible: true,
	}
	call = frameBytes(t, "beat", beat, maskBytes)
	for n := range pools {
		size := fold.Resources{CPU: 4_096_000, Memory: 8_388_608}
		beat.Pools = append(beat.Pools, spread.PoolCapacity{
			Pool: fmt.Sprintf("eu-west-a-%d", n), Domain: "eu-west-a", Free: size, Capacity: size, Largest: size, Waiting: 1000,
		})
	}
	beat.ShortTeams = []string{"planning", "nightly-photos"}
	return call, frameBytes(t, "", beat, 0)
}

// Guards against heartbeats that exceed the network budget of an entry.
func TestHeartbeatBytes(t *testing.T) {
	for _, c := range []struct {
		name  string
		peers int
		pools int
		bound int
	}{
		{"full mesh of 8", 7, 1, 16_000},
		{"full mesh of 108", 107, 3, 0},
		{"region of 14 with 2 links to each of 7 other regions", 13 + 14, 3, 0},
	} {
		call, answer := exchange(t, c.pools)
		// For each heartbeat an entry sends a call to each peer and answers the call of each peer.
		sent := c.peers * beatsPerSecond * (call + answer)
		t.Logf("%s: call %d B, answer %d B, %d B/s sent by each entry", c.name, call, answer, sent)
		if c.bound > 0 && sent > c.bound {
			t.Errorf("%s: %d B/s, want at most %d", c.name, sent, c.bound)
		}
	}
}
