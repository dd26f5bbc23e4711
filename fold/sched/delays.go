package sched

import (
	"container/heap"
	"time"

	"github.com/cespare/xxhash/v2"

	"plantainfold.example/fold"
)

const (
	// firstBackoff is the delay before a task that failed once starts again. Each further failure doubles it.
	firstBackoff = 500 * time.Millisecond
	// maxBackoff bounds the delay after repeated failures.
	maxBackoff = time.Minute
	// refusedBackoff is the delay before a start that a worker refused is tried again.
	refusedBackoff = 250 * time.Millisecond
)

// delay is a task in backoff until an instant.
type delay struct {
	task  *task
	until fold.Instant
}

// delays orders tasks by the end of their backoff.
type delays []delay

var _ heap.Interface = &delays{}

func (d delays) Len() int           { return len(d) }
func (d delays) Less(i, k int) bool { return d[i].until < d[k].until }
func (d delays) Swap(i, k int)      { d[i], d[k] = d[k], d[i] }

// Push adds a delay for container/heap.
func (d *delays) Push(v any) {
	if v, ok := v.(delay); ok {
		*d = append(*d, v)
	}
}

// Pop drops the last delay for container/heap.
func (d *delays) Pop() any {
	old := *d
	last := old[len(old)-1]
	*d = old[:len(old)-1]
	return last
}

// readyAfter makes a waiting task ready after a backoff, or at once if the backoff is 0.
func (p *Pool) readyAfter(t *task, backoff time.Duration) {
	if backoff > 0 {
		heap.Push(&p.delayed, delay{task: t, until: p.now.Add(backoff)})
		return
	}
	t.job.setReady(t, true)
	p.enqueue(t.job)
}

// endBackoffs makes each task ready whose backoff is over.
func (p *Pool) endBackoffs() {
	for len(p.delayed) > 0 && p.delayed[0].until <= p.now {
		d, ok := heap.Pop(&p.delayed).(delay)
		if ok && d.task.phase == phaseWaiting && !d.task.ready {
			d.task.job.setReady(d.task, true)
			p.enqueue(d.task.job)
		}
	}
}

// backoff returns the delay after the failures of a task so far. Its jitter is derived from the task id, so that a
// simulation can be repeated.
func backoff(t *task) time.Duration {
	limit := maxBackoff
	if t.job.spec.Kind == fold.Gang {
		// The other tasks of the gang hold their capacity during the backoff.
		limit = maxGangSplit
	}
	wait := limit
	if t.failures < 8 {
		wait = min(limit, firstBackoff<<max(t.failures-1, 0))
	}
	jitter := xxhash.Sum64String(t.id().String()) % 256
	return wait - wait/4 + wait/2*time.Duration(jitter)/256
}
