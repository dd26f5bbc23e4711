package relay_test

import (
	"testing"
	"testing/synctest"
	"time"

	"plantainfold.example/fold/plat"
)

// Guards against two runs of a task: the machine of the owner is suspended after a call that renewed a lease, and the owner
// assigns the host again to the same relay, which then finds it silent and knows nothing of the call.
func TestLeasesOfAHostAssignedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newLeasedPool("a", "b")
		table := plat.NewTable()
		driver, _, stop := startOwner(t, p, table, table, 10)
		defer stop()
		time.Sleep(time.Second)
		silent := submitTask(t, p, driver)
		p.setLink("owner", silent, linkMute)
		called := p.renewedAt()
		for p.renewedAt() == called {
			time.Sleep(10 * time.Millisecond)
		}
		p.setLink("owner", silent, linkCut)
		p.clock.suspend(5200 * time.Millisecond)
		p.expectOneRun(t)
	})
}
