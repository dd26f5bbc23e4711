package drive_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"plantainfold.example/fold/drive"
	"plantainfold.example/fold/plat"
)

// Guards against a pool that changes its owner about once a second while the table leaves commits of all entries without an answer: each
// new owner invites the next one.
func TestNewOwnerInvitesNobody(t *testing.T) {
	cases := []struct {
		name string
		// stalledFrom is the age of the term from which on commits get no answer.
		stalledFrom time.Duration
		invites     bool
	}{
		{"new owner", 500 * time.Millisecond, false},
		{"owner for some seconds", 4 * time.Second, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				began := time.Now()
				table := &stallingTable{Table: plat.NewTable()}
				table.stall = func() time.Duration {
					if time.Since(began) < c.stalledFrom {
						return 3 * time.Millisecond
					}
					return time.Minute
				}
				var invites atomic.Int64
				startDriver(t, table, table.Table, newFakeHosts(1, time.Second), func(p *drive.Parts) {
					p.Announce = func(context.Context, []string, int64, int64, bool) bool { return false }
					p.Invite = func(context.Context, int64) { invites.Add(1) }
				})
				time.Sleep(c.stalledFrom + 2*time.Second)
				if (invites.Load() > 0) != c.invites {
					t.Errorf("%d invitations, want some: %v", invites.Load(), c.invites)
				}
			})
		})
	}
}
