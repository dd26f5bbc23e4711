package route

import (
	"container/heap"

	"plantainfold.example/fold"
)

// pause says when to look at an endpoint again.
type pause struct {
	until  fold.Instant
	target *target
}

// pauses is a heap of pauses, the earliest first.
type pauses []pause

var _ heap.Interface = &pauses{}

func (p pauses) Len() int           { return len(p) }
func (p pauses) Less(i, j int) bool { return p[i].until < p[j].until }
func (p pauses) Swap(i, j int)      { p[i], p[j] = p[j], p[i] }

// Push appends x, for package heap.
func (p *pauses) Push(x any) {
	one, _ := x.(pause)
	*p = append(*p, one)
}

// Pop removes the last element, for package heap.
func (p *pauses) Pop() any {
	last := (*p)[len(*p)-1]
	*p = (*p)[:len(*p)-1]
	return last
}
