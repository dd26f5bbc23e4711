package model

import (
	"container/heap"
	"time"

	"plantainfold.example/fold"
)

// event is a function to call at an instant of virtual time.
type event struct {
	at       fold.Instant
	sequence int
	fn       func()
}

// eventHeap is a heap of events, ordered by time and then by the order in which they were added.
type eventHeap []event

var _ heap.Interface = &eventHeap{}

// Len returns the number of events.
func (a eventHeap) Len() int { return len(a) }

// Less reports whether event i comes before event j.
func (a eventHeap) Less(i, j int) bool {
	return a[i].at < a[j].at || a[i].at == a[j].at && a[i].sequence < a[j].sequence
}

// Swap exchanges two events.
func (a eventHeap) Swap(i, j int) { a[i], a[j] = a[j], a[i] }

// Push adds an event.
func (a *eventHeap) Push(x any) {
	e, _ := x.(event)
	*a = append(*a, e)
}

// Pop removes and returns the last event.
func (a *eventHeap) Pop() any {
	last := (*a)[len(*a)-1]
	(*a)[len(*a)-1] = event{}
	*a = (*a)[:len(*a)-1]
	return last
}

// after calls fn once d has passed.
func (w *World) after(d time.Duration, fn func()) {
	w.lastSequence++
	heap.Push(&w.events, event{at: w.now.Add(max(0, d)), sequence: w.lastSequence, fn: fn})
}

// at calls fn at an offset from the start of the day.
func (w *World) at(t time.Duration, fn func()) {
	w.after(w.start.Add(t).Sub(w.now), fn)
}

// runUntil runs all events up to an offset from the start of the day.
func (w *World) runUntil(until time.Duration) {
	end := w.start.Add(until)
	for len(w.events) > 0 && w.events[0].at <= end {
		e, _ := heap.Pop(&w.events).(event)
		w.now = e.at
		e.fn()
	}
	w.now = end
}

// wallMillis returns the virtual wall-clock time in milliseconds.
func (w *World) wallMillis() int64 {
	return int64(w.now) / int64(time.Millisecond)
}
