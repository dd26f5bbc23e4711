package relay_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/joomcode/errorx"

	"plantainfold.example/fold"
	"plantainfold.example/fold/relay"
)

// Guards against a host that is silent for ever without the owner's knowledge: it has started again and answered before the
// relay got the new incarnation from the owner, which ignores the silence of an earlier one. A silence is reported once.
func TestSilenceOfNextIncarnation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newFakeHost()
		r := relay.New(parts(h))
		defer func() { _ = r.Close() }()
		r.Apply(relay.Orders{Contacts: []relay.Contact{contact}})
		time.Sleep(time.Second)
		h.update(func(h *fakeHost) { h.incarnation = 2 })
		time.Sleep(time.Second)
		events := r.Events(t.Context(), 0)
		if len(events.Reports) != 1 || events.Reports[0].Reply.Incarnation != 2 {
			t.Fatalf("reports %+v, want one of the next incarnation", events.Reports)
		}
		h.update(func(h *fakeHost) { h.silent = true })
		time.Sleep(2 * time.Second)
		known := contact
		known.Incarnation = 2
		r.Apply(relay.Orders{Contacts: []relay.Contact{known}})
		time.Sleep(2 * time.Second)
		silences := r.Events(t.Context(), 0).Silences
		if len(silences) != 1 || silences[0].Incarnation != 2 {
			t.Errorf("silences %+v, want one of incarnation 2, which answered last", silences)
		}
	})
}

// Guards against two runs of a task: a start that was ordered for an earlier incarnation is sent to one that the owner does not know
// yet. A start for that one does not wait until the relay gets the incarnation from the owner.
func TestStartIsSentToItsIncarnationOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newFakeHost()
		r := relay.New(parts(h))
		defer func() { _ = r.Close() }()
		r.Apply(relay.Orders{Contacts: []relay.Contact{contact}})
		time.Sleep(time.Second)
		h.update(func(h *fakeHost) { h.incarnation = 2 })
		time.Sleep(time.Second)
		r.Apply(startOrder(1))
		next := startOrder(2)
		next.Starts[0].Run = 2
		next.AddIncarnation(2, 2)
		r.Apply(next)
		time.Sleep(time.Second)
		failed := make(map[uint64]error)
		for _, result := range r.Events(t.Context(), 0).Results {
			failed[result.Number] = result.Failed.Err()
		}
		h.update(func(h *fakeHost) {
			if len(h.starts) != 1 || h.starts[0].Run != 2 || !errorx.IsOfType(failed[1], fold.HostRestarted) || failed[2] != nil {
				t.Errorf("starts %+v, results %v; want the second start only", h.starts, failed)
			}
		})
	})
}
