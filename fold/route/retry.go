package route

import (
	"container/heap"

	"plantainfold.example/fold"
)

// retry is the time at which a paused endpoint is checked again.
type retry struct {
	at     fold.Instant
	target *target
}

// retryHeap is a heap of retries with the earliest first.
type retryHeap []retry

var _ heap.Interface = &retryHeap{}

func (p retryHeap) Len() int           { return len(p) }
func (p retryHeap) Less(i, j int) bool { return p[i].at < p[j].at }
func (p retryHeap) Swap(i, j int)      { p[i], p[j] = p[j], p[i] }

// Push appends x. Only package heap calls it.
func (p *retryHeap) Push(x any) {
	r, _ := x.(retry)
	*p = append(*p, r)
}

// Pop removes the last element. Only package heap calls it.
func (p *retryHeap) Pop() any {
	last := (*p)[len(*p)-1]
	*p = (*p)[:len(*p)-1]
	return last
}
