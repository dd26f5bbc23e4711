package app

import (
	"testing"

	"github.com/joomcode/errorx"

	"plantainfold.example/fold"
)

// Guards against a simulated store that never turns calls away, so that no soak shows what follows from it.
func TestStoreTurnsCallsAway(t *testing.T) {
	rates := storeRates{writes: 3200, reads: 50, txnTime: largeStoreRates.txnTime}
	cases := []struct {
		name    string
		write   bool
		prepare func(s *storeState)
		// calls is the number of calls, at one moment, and most is how many of them may be served.
		calls, most int
	}{
		{"a second of waiting transactions", true, func(*storeState) {}, 400, 302},
		{"slow partition", true, func(s *storeState) { s.setSlowFactor(60) }, 40, 7},
		{"reads beyond the rate of two seconds", false, func(*storeState) {}, 300, 100},
		{"entry that is turned away", false, func(s *storeState) {
			s.setTurnedAway([]*entry{testEntry("a")}, errOverload())
		}, 1, 0},
		{"another entry", false, func(s *storeState) {
			s.setTurnedAway([]*entry{testEntry("b")}, errOverload())
		}, 1, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newStoreState(rates, 1)
			c.prepare(s)
			served := 0
			for range c.calls {
				a := s.admit("a", c.write)
				if a.err == nil {
					served++
				} else if !errorx.IsOfType(a.err, fold.Overload) {
					t.Fatalf("error %v, want Overload", a.err)
				}
			}
			if served > c.most || c.most > 0 && served == 0 {
				t.Errorf("%d of %d calls were served, want at most %d", served, c.calls, c.most)
			}
		})
	}
}

func testEntry(name string) *entry {
	e := &entry{}
	e.settings.Name = name
	return e
}

// Guards against a trouble on the command line that injects nothing.
func TestTroublesAreKnownByName(t *testing.T) {
	r := &testRun{entries: []*entry{testEntry("a"), testEntry("b")}, env: &environment{}}
	for _, tr := range troubles {
		faults, err := r.namedTroubles([]string{tr.name}, 1, troubleStart)
		if err != nil || len(faults) != 1 || faults[0].inject == nil || faults[0].revert == nil {
			t.Errorf("%s: %d faults, error %v, want one that is injected and reverted", tr.name, len(faults), err)
		}
	}
	if _, err := r.namedTroubles([]string{"none"}, 1, troubleStart); err == nil {
		t.Error("an unknown name is accepted")
	}
}
