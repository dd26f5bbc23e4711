package quota_test

import (
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"plantainfold.example/fold"
	"plantainfold.example/fold/quota"
)

func drawResources(t *rapid.T, most int64, label string) fold.Resources {
	n := rapid.Int64Range(0, most)
	return fold.Resources{CPU: n.Draw(t, label+" cpu"), Memory: n.Draw(t, label+" memory"), Accel: n.Draw(t, label+" accel")}
}

// Guards against allotments whose sum exceeds the limit, for random requests of pools and changes of the limit.
func TestSumNeverGrowsBeyondLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		split := quota.Split{Limit: drawResources(t, 1000, "limit")}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			before := split.Sum()
			if rapid.IntRange(0, 5).Draw(t, "kind") == 0 {
				split = split.WithLimit(drawResources(t, 1000, "limit"))
				continue
			}
			pool := strconv.Itoa(rapid.IntRange(0, 4).Draw(t, "pool"))
			split = split.WithRequest(pool, drawResources(t, 1000, "want"))
			if !split.Sum().Fits(split.Limit.Max(before)) {
				t.Fatalf("sum of the allotments is %s with a limit of %s; it was %s before", split.Sum(), split.Limit, before)
			}
			if !split.ProportionalShare(pool).Fits(split.Held[pool]) {
				t.Fatalf("pool %s may keep %s, which is more than its allotment %s", pool, split.ProportionalShare(pool), split.Held[pool])
			}
		}
	})
}

// Guards against allotments that still exceed a lowered limit after every pool has reduced its allotment to its part.
func TestPartsMeetLoweredLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		split := quota.Split{Limit: drawResources(t, 1000, "limit")}
		for pool := range 4 {
			split = split.WithRequest(strconv.Itoa(pool), drawResources(t, 400, "want"))
		}
		split = split.WithLimit(drawResources(t, 1000, "lowered"))
		var sum fold.Resources
		for pool := range split.Held {
			sum = sum.Add(split.ProportionalShare(pool))
		}
		if !sum.Fits(split.Limit) {
			t.Fatalf("the parts of all pools add up to %s, more than the limit %s", sum, split.Limit)
		}
	})
}

// Guards against a write to the table service for every start and end of a task.
func TestHolderWritesLittleUnderChurn(t *testing.T) {
	const (
		steps      = 10_000
		stepTime   = 10 * time.Millisecond
		mostWrites = steps / 100
	)
	h := quota.NewHolder(fold.Resources{})
	writes := 0
	for n := range steps {
		now := fold.Instant(0).Add(time.Duration(n) * stepTime)
		need := fold.Resources{CPU: int64(900 + n%100), Memory: 100}
		if want, due := h.Want(now, need, false); due {
			writes++
			h.RecordGrant(now, want, need)
		}
	}
	if writes == 0 || writes > mostWrites {
		t.Errorf("%d writes for %d changes of the needed resources, want 1 to %d", writes, steps, mostWrites)
	}
}

// Guards against an allotment that stays recorded for a pool because the write that returns it failed and is not retried.
func TestHolderRepeatsFailedReturn(t *testing.T) {
	now := fold.Instant(0)
	h := quota.NewHolder(fold.Resources{CPU: 1000})
	need := fold.Resources{CPU: 100}
	want, _ := h.Want(now, need, true)
	h.Lower(want)
	h.RecordFailure(now)
	if _, due := h.Want(now, need, false); due {
		t.Error("the failed return is retried without a delay")
	}
	later := now.Add(time.Second)
	again, due := h.Want(later, need, false)
	if !due || !again.Fits(h.Held()) {
		t.Errorf("after a failed return: want %s, due %v; should be due and want at most %s", again, due, h.Held())
	}
	h.RecordGrant(later, again, need)
	if _, due := h.Want(later.Add(time.Second), need, false); due {
		t.Error("the allotment is returned a second time")
	}
}

// Guards against a pool that keeps an unneeded allotment although another pool needs it.
func TestHolderReturnsWhatOthersLack(t *testing.T) {
	now := fold.Instant(0)
	h := quota.NewHolder(fold.Resources{CPU: 1000, Memory: 1000})
	need := fold.Resources{CPU: 100, Memory: 100}
	if _, due := h.Want(now, need, false); due {
		t.Error("unneeded allotment is returned at once without contention")
	}
	if want, due := h.Want(now, need, true); !due || want != need {
		t.Errorf("under contention: want %s, due %v; should return all but %s", want, due, need)
	}
	if _, due := h.Want(now.Add(quota.IdleTime), need, false); !due {
		t.Error("unneeded allotment is not returned after IdleTime")
	}
}

// Guards against a pool that never gets an allotment because other pools with long queues keep the whole limit.
func TestPoolsWithQueuesShareTheLimit(t *testing.T) {
	const (
		pools    = 4
		steps    = 2000
		stepTime = 100 * time.Millisecond
	)
	split := quota.Split{Limit: fold.Resources{CPU: 40, Memory: 40}}
	task := fold.Resources{CPU: 1, Memory: 1}
	holders := make([]*quota.Holder, pools)
	used := make([]fold.Resources, pools)
	started := make([]int, pools)
	for i := range holders {
		holders[i] = quota.NewHolder(fold.Resources{})
	}
	for step := range steps {
		now := fold.Instant(0).Add(time.Duration(step) * stepTime)
		for i, h := range holders {
			// The last pool joins after the other pools hold the whole limit.
			if i == pools-1 && step < 100 {
				continue
			}
			if step%7 == i && used[i].CPU > 0 {
				used[i] = used[i].Sub(task)
			}
			contended := false
			for k, other := range holders {
				contended = contended || (k != i && other.Short())
			}
			need := used[i].Add(task.Times(100))
			if contended {
				need = need.Min(split.FairShare().Max(used[i]))
			}
			if want, due := h.Want(now, need, contended); due {
				h.Lower(want.Max(used[i]))
				split = split.WithRequest(strconv.Itoa(i), want.Max(used[i]))
				h.RecordGrant(now, split.Held[strconv.Itoa(i)], used[i].Add(task.Times(100)))
			}
			for used[i].Add(task).Fits(h.Held()) {
				used[i] = used[i].Add(task)
				started[i]++
			}
		}
	}
	for i, n := range started {
		if n < steps/7/pools {
			t.Errorf("pool %d started only %d tasks; started tasks of all pools: %v", i, n, started)
		}
	}
}
