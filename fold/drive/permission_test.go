package drive_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"plantainfold.example/fold"
	"plantainfold.example/fold/drive"
)

// pausedTable answers its first commit, the takeover, after a pause, and no other one.
type pausedTable struct {
	*slowTable
	pause time.Duration
	taken atomic.Bool
}

func (p *pausedTable) Commit(ctx context.Context, txn fold.Txn) (int64, error) {
	if p.taken.Swap(true) {
		<-ctx.Done()
		return 0, fold.Unknown.Wrap(ctx.Err(), "no answer")
	}
	version, err := p.slowTable.Commit(ctx, txn)
	time.Sleep(p.pause)
	return version, err
}

// renewedHosts records when a lease was last renewed.
type renewedHosts struct {
	*fakeHosts
	// renewed is the time of the last renewal, in nanoseconds since the epoch.
	renewed atomic.Int64
}

func (p *renewedHosts) Hold(ctx context.Context, h fold.Host, q fold.HoldRequest) (fold.HoldReply, error) {
	if q.LeaseEnd != 0 {
		p.renewed.Store(time.Now().UnixNano())
	}
	return p.fakeHosts.Hold(ctx, h, q)
}

// Guards against an owner that was paused during its takeover and then renews leases for longer than the next owner expects,
// which has taken over meanwhile.
func TestPermissionCountsFromTakeover(t *testing.T) {
	const pause, keepTime = 3 * time.Second, 4 * time.Second
	synctest.Test(t, func(t *testing.T) {
		hosts := &renewedHosts{fakeHosts: newFakeHosts(2, time.Second)}
		table := &pausedTable{slowTable: newSlowTable(3 * time.Millisecond), pause: pause}
		sent := time.Now()
		startDriver(t, table, table.Table, hosts.fakeHosts, func(p *drive.Parts) { p.Runner = hosts })
		time.Sleep(2 * keepTime)
		renewed := time.Unix(0, hosts.renewed.Load()).Sub(sent)
		if renewed < pause || renewed > keepTime {
			t.Errorf("leases were last renewed %s after the takeover was sent, want between %s and %s", renewed, pause, keepTime)
		}
	})
}
