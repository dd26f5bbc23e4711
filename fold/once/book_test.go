package once_test

import (
	"testing"
	"time"

	"plantainfold.example/fold/once"
)

// Guards against a claim that is granted twice after a hand-over or takeover of the range, or after a clock is set back.
func TestClaimIsGrantedOnce(t *testing.T) {
	noon := time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)
	type claim struct {
		now    time.Duration
		id     string
		issued time.Duration
		want   once.Verdict
	}
	same := func(b *once.Book) *once.Book { return b }
	for _, c := range []struct {
		name   string
		first  []claim
		change func(*once.Book) *once.Book
		then   []claim
	}{
		{"retry", []claim{{0, "a", 0, once.Granted}}, same, []claim{{time.Second, "a", 0, once.AlreadyGranted}}},
		{
			"hand-over",
			[]claim{{0, "a", 0, once.Granted}},
			func(b *once.Book) *once.Book { return once.Restore(b.Record()) },
			[]claim{{time.Second, "a", 0, once.AlreadyGranted}, {time.Second, "b", 0, once.Granted}},
		},
		{
			"takeover",
			[]claim{{0, "a", 0, once.Granted}},
			func(*once.Book) *once.Book { return once.New(noon.Add(10 * time.Second)) },
			[]claim{
				{12 * time.Second, "a", 0, once.Uncertain},
				{12 * time.Second, "b", 14999 * time.Millisecond, once.Uncertain},
				{12 * time.Second, "c", 15 * time.Second, once.Granted},
			},
		},
		{
			"clock set back after the claim was deleted",
			[]claim{{0, "a", 0, once.Granted}, {80 * time.Second, "b", 80 * time.Second, once.Granted}},
			same,
			[]claim{{10 * time.Second, "a", 0, once.Expired}, {10 * time.Second, "c", 10 * time.Second, once.Granted}},
		},
		{
			"clock set back after a hand-over",
			[]claim{{0, "a", 0, once.Granted}, {80 * time.Second, "b", 80 * time.Second, once.Granted}},
			func(b *once.Book) *once.Book { return once.Restore(b.Record()) },
			[]claim{{10 * time.Second, "a", 0, once.Expired}},
		},
		{"old request", nil, same, []claim{{61 * time.Second, "a", 0, once.Expired}}},
		{"request from the future", nil, same, []claim{{0, "a", 6 * time.Second, once.Expired}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := once.New(noon.Add(-time.Hour))
			check := func(claims []claim) {
				for _, k := range claims {
					if got := b.Claim(noon.Add(k.now), k.id, noon.Add(k.issued)); got != k.want {
						t.Errorf("claim of %s at %v, issued at %v: verdict %s, want %s", k.id, k.now, k.issued, got, k.want)
					}
				}
			}
			check(c.first)
			b = c.change(b)
			check(c.then)
		})
	}
}
