package relay_test

import (
	"testing"
	"testing/synctest"
	"time"

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
