package node

import (
	"testing"
	"testing/synctest"
	"time"

	"plantainfold.example/fold/lead"
)

// Guards against a pool that changes its owner all the time, because each owner hands over to a stronger entry that answers but
// cannot reach the table.
func TestStrongEntryWithoutTable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSimulation(t, 1)
		defer s.end()
		strong := s.start("strong", 2)
		time.Sleep(5 * time.Second)
		s.start("weak-0", 0.5)
		s.start("weak-1", 0.5)
		time.Sleep(10 * time.Second)
		s.cutOff(strong)
		time.Sleep(5 * time.Second)
		before, _, err := lead.Read(t.Context(), s.table)
		if err != nil {
			t.Fatal(err)
		}
		time.Sleep(30 * time.Second)
		after, _, err := lead.Read(t.Context(), s.table)
		if err != nil {
			t.Fatal(err)
		}
		if changes := after.Epoch - before.Epoch; changes > 1 {
			t.Errorf("the pool has changed its owner %d times in 30 s, although only one entry has lost the table", changes)
		}
	})
}
