package entry_test

import (
	"context"
	"fmt"
	"io"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/joomcode/errorx"

	"plantainfold.example/fold"
	"plantainfold.example/fold/cell"
	"plantainfold.example/fold/remote"
)

const forceChanges = 100

// Guards against an accepted configuration or key withdrawal that is not in force at some entry or is reverted later. It
// checks the revisions that the entries report; the times it prints are not checked.
func TestChangesComeIntoForceEverywhereAndStay(t *testing.T) {
	c := newCell(t, 8, io.Discard)
	ops := operators(c)
	last := apply(t, ops[0], manifest)
	var issued []fold.IssuedKey
	for n := range forceChanges {
		eventually(t, func(ctx context.Context) error {
			key, err := ops[n%len(ops)].IssueKey(ctx, fold.KeyGrant{Team: "crews"})
			if err == nil {
				issued = append(issued, key)
			}
			return err
		})
	}
	stop := watchRevisions(t, ops)
	var applied, withdrawn []time.Duration
	for n := range forceChanges {
		at := ops[n%len(ops)]
		began := time.Now()
		last = apply(t, at, strings.Replace(manifest, `"share": 1`, fmt.Sprintf(`"share": %d`, n+2), 1))
		awaitRevision(t, ops, last.Revision)
		applied = append(applied, time.Since(began))

		began = time.Now()
		eventually(t, func(ctx context.Context) error {
			revision, err := at.RevokeKey(ctx, issued[n].Grant.ID)
			last = revision
			return err
		})
		awaitRevision(t, ops, last.Revision)
		withdrawn = append(withdrawn, time.Since(began))
		refusedEverywhere(t, c, issued[n:n+1])
	}
	refusedEverywhere(t, c, issued)
	stop()
	t.Logf("configuration, %d changes, 8 entries: %s", len(applied), percentiles(applied))
	t.Logf("key withdrawal, %d changes, 8 entries: %s", len(withdrawn), percentiles(withdrawn))
}

// awaitRevision waits until every entry reports the revision.
func awaitRevision(t *testing.T, ops []*remote.Client, revision int64) {
	t.Helper()
	for _, at := range ops {
		eventually(t, func(ctx context.Context) error {
			s, err := at.Status(ctx)
			if err == nil && s.Revision < revision {
				err = notYet("entry %s is at revision %d, not %d", s.Entry, s.Revision, revision)
			}
			return err
		})
	}
}

// watchRevisions fails the test if an entry reports a lower revision than before.
func watchRevisions(t *testing.T, ops []*remote.Client) func() {
	ctx, cancel := context.WithCancel(context.Background())
	var watching sync.WaitGroup
	for _, at := range ops {
		watching.Go(func() {
			var highest int64
			for ctx.Err() == nil {
				if s, err := at.Status(ctx); err == nil {
					if s.Revision < highest {
						t.Errorf("entry %s went from revision %d to %d", s.Entry, highest, s.Revision)
					}
					highest = max(highest, s.Revision)
				}
				time.Sleep(5 * time.Millisecond)
			}
		})
	}
	return func() {
		cancel()
		watching.Wait()
	}
}

// refusedEverywhere checks that no entry accepts any of the keys.
func refusedEverywhere(t *testing.T, c *cell.Cell, issued []fold.IssuedKey) {
	t.Helper()
	for name, url := range c.Addresses() {
		for _, key := range issued {
			_, err := remote.New(url, key.Key).Job(context.Background(), "none")
			if !errorx.IsOfType(err, fold.Unauthorized) {
				t.Errorf("entry %s answers withdrawn key %s with %v", name, key.Grant.ID, err)
			}
		}
	}
}

func percentiles(times []time.Duration) string {
	slices.Sort(times)
	at := func(q float64) time.Duration { return times[int(q*float64(len(times)-1))].Round(time.Millisecond) }
	return fmt.Sprintf("p50 %s, p99 %s, max %s", at(0.5), at(0.99), at(1))
}
