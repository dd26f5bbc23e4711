package front_test

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"plantainfold.example/fold"
	"plantainfold.example/fold/front"
)

// brokenFeed is a source that can be read once; its feed returns next, or fails if there is none.
type brokenFeed struct {
	rules
	first fold.Declared
	next  *fold.Declared
	calls int
}

func (b *brokenFeed) Read(context.Context) (fold.Declared, error) { return b.first, nil }

func (b *brokenFeed) Next(_ context.Context, known fold.Declared, wait time.Duration) (fold.Declared, bool, error) {
	b.calls++
	if b.next == nil {
		return known, false, fold.Unavailable.New("the table is away")
	}
	if known.Position < b.next.Position {
		time.Sleep(time.Millisecond)
		return *b.next, true, nil
	}
	time.Sleep(wait)
	return known, false, nil
}

// follow runs a follower of the source for a while.
func follow(t *testing.T, source fold.RulesSource, askOther front.AskOther, length time.Duration) *front.Rules {
	t.Helper()
	r := front.NewRules(source, virtualClock{}, hclog.NewNullLogger(), func(fold.Rules) {})
	r.SetFallback(askOther)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.Run(ctx)
	}()
	time.Sleep(length)
	cancel()
	<-done
	return r
}

// Guards against an entry without the table that takes the owner's configuration for an older one, and refuses all requests,
// because the two read the same configuration at different times; and against an evacuation that it does not learn of.
func TestConfigurationFromOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := &brokenFeed{first: fold.Declared{Rules: fold.Rules{Revision: 1}, Version: 5, Position: 100}}
		asked := 0
		r := follow(t, source, func(_ context.Context, version int64) (fold.Declared, time.Duration, error) {
			if version != 5 {
				t.Errorf("asked with version %d, want 5", version)
			}
			asked++
			return fold.Declared{Rules: fold.Rules{Evacuated: []string{"north"}}, Version: 5, Position: 120}, 300 * time.Millisecond, nil
		}, 10*time.Second)
		if _, _, age := r.Current(); age > time.Second || asked == 0 {
			t.Errorf("the configuration was confirmed %s ago, asked %d times", age, asked)
		}
		if got := r.Declared().Rules; got.Revision != 1 || !slices.Equal(got.Evacuated, []string{"north"}) {
			t.Errorf("rules %+v, want revision 1 and the evacuation", got)
		}
	})
}

// Guards against a configuration of a lower revision that makes the follower call the table without a pause and ignore the
// evacuations that come with it.
func TestLowerRevisionInTheFeed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := &brokenFeed{
			first: fold.Declared{Rules: fold.Rules{Revision: 9}, Version: 5, Position: 100},
			next:  &fold.Declared{Rules: fold.Rules{Revision: 3, Evacuated: []string{"north"}}, Version: 110, Position: 110},
		}
		r := follow(t, source, nil, 3*time.Second)
		if got := r.Declared(); got.Rules.Revision != 9 || got.Version != 110 || !slices.Equal(got.Rules.Evacuated, []string{"north"}) {
			t.Errorf("state %+v, want revision 9, version 110 and the evacuation", got)
		}
		if _, _, age := r.Current(); age > time.Second || source.calls > 10 {
			t.Errorf("confirmed %s ago with %d calls", age, source.calls)
		}
	})
}
