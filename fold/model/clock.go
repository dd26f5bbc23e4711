package model

import (
	"container/heap"
	"time"

	"plantainfold.example/fold"
)

// event is something that happens at an instant.
type event struct {
	at    fold.Instant
	order int
	fn    func()
}

// agenda is a heap of events by time, and by order of entry at one time.
type agenda []event

var _ heap.Interface = &agenda{}

// Len returns the number of events.
func (a agenda) Len() int { return len(a) }

// Less orders events.
func (a agenda) Less(i, j int) bool {
	return a[i].at < a[j].at || a[i].at == a[j].at && a[i].order < a[j].order
}

// Swap exchanges two events.
func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }

// Push adds an event.
func (a *agenda) Push(x any) {
	e, _ := x.(event)
	*a = append(*a, e)
}

// Pop removes the last event.
func (a *agenda) Pop() any {
	last := (*a)[len(*a)-1]
	(*a)[len(*a)-1] = event{}
	*a = (*a)[:len(*a)-1]
	return last
}

// after calls fn once d has passed.
func (w *World) after(d time.Duration, fn func()) {
	w.entered++
	heap.Push(&w.agenda, event{at: w.now.Add(max(0, d)), order: w.entered, fn: fn})
}

// at calls fn at a time from the start of the day.
func (w *World) at(t time.Duration, fn func()) {
	w.after(w.start.Add(t).Sub(w.now), fn)
}

// play handles events until the given time of the day.
func (w *World) play(until time.Duration) {
	end := w.start.Add(until)
	for len(w.agenda) > 0 && w.agenda[0].at <= end {
		e, _ := heap.Pop(&w.agenda).(event)
		w.now = e.at
		e.fn()
	}
	w.now = end
}

// wall is the time of day in milliseconds.
func (w *World) wall() int64 {
	return int64(w.now) / int64(time.Millisecond)
}
