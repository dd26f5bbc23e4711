package core_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"plantainfold.example/fold"
	"plantainfold.example/fold/flow"
)

// allocated returns the bytes that fn allocates.
func allocated(fn func()) uint64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	fn()
	runtime.ReadMemStats(&after)
	return after.TotalAlloc - before.TotalAlloc
}

// Guards against an owner that exceeds its memory because it builds all tasks of all occurrences when it loads a schedule:
// twelve hourly jobs of 200 tasks with 1,000 occurrences have 2.4 million tasks.
func TestScheduleTakesLittleMemory(t *testing.T) {
	const limit = 16 << 20
	jobs := make([]flow.Job, 12)
	done := flow.Record{State: flow.Running}
	for i := range jobs {
		jobs[i] = job(queue(2), step(200))
		jobs[i].ID, jobs[i].Times, jobs[i].Start, jobs[i].Every = fmt.Sprintf("%016x", i), flow.MaxTimes, 1e9+3600_000, 3600_000
	}
	for occurrence := range flow.MaxTimes - 1 {
		done.Parts = append(done.Parts, flow.Part{Occurrence: occurrence, AllDone: true})
	}
	cases := []struct {
		name  string
		start int64
		rec   flow.Record
	}{
		{"not due", jobs[0].Start, flow.Record{}},
		{"all occurrences due", 1, flow.Record{}},
		{"almost all occurrences done", jobs[0].Start, done},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := newFixture(t, fold.Rules{}, host("a", 1000))
			bytes := allocated(func() {
				for _, j := range jobs {
					if j.Start = c.start; c.start == 1 {
						j.Every = 1
					}
					b.cell.RestoreJob(j, c.rec)
				}
				runtime.GC()
			})
			var held runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&held)
			b.cell.Decide()
			if c.rec.State == "" && bytes > limit || held.HeapAlloc > 4*limit {
				t.Errorf("loading the jobs takes %d MiB, the heap has %d MiB", bytes>>20, held.HeapAlloc>>20)
			}
		})
	}
}

// Guards against occurrences that never run, or run twice, because they are built when they are due: more tasks are due at a
// time than may be open, and a new owner takes over in between.
func TestOccurrencesRunOnce(t *testing.T) {
	const occurrences, tasks = 30, 400
	j := job(queue(2), step(tasks), flow.Step{Count: 1, Size: fold.Resources{CPU: 1000}, After: []int{0}})
	j.Times, j.Start, j.Every = occurrences, 1, 1
	b := newFixture(t, fold.Rules{}, host("a", 1000*tasks))
	b.cell.AddJob(j, 1)
	started := make(map[string]bool)
	var rec flow.Record
	number := int64(0)
	for round := range 4 * occurrences {
		b.advance(100 * time.Millisecond)
		b.cell.Decide()
		writes := b.cell.Snapshot()
		b.cell.SnapshotRecorded(writes)
		for _, w := range writes {
			rec = w.Record
		}
		var ends []fold.HostEnd
		for _, s := range b.cell.Orders().Starts {
			if started[s.Req.Task] {
				t.Fatalf("%s started twice", s.Req.Task)
			}
			started[s.Req.Task] = true
			b.cell.ApplyStart(s, nil)
			number++
			ends = append(ends, fold.HostEnd{Number: number, Task: s.Req.Task, Run: s.Req.Run, Kind: fold.EndDone})
		}
		if round == occurrences {
			// The runs of this round are reported to the next owner.
			number = 0
			for i := range ends {
				number++
				ends[i].Number = number
			}
			b = newOwner(t, b.hosts...)
			b.cell.RestoreJob(j, rec)
		}
		b.report(b.hosts[0], nil, ends)
	}
	b.decide()
	if want := occurrences * (tasks + 1); len(started) != want {
		t.Errorf("%d tasks started, want %d", len(started), want)
	}
	if state, _, ok := b.cell.RecordedState(id); ok && state != flow.Completed {
		t.Errorf("state %s, want completed", state)
	}
}
