package sched

import (
	"container/heap"
	"time"

	"github.com/cespare/xxhash/v2"

	"plantainfold.example/fold"
)

const (
	// firstBackoff is the wait before a task that failed once starts again; each failure doubles it.
	firstBackoff = 500 * time.Millisecond
	// maxBackoff bounds the wait of a task that failed often.
	maxBackoff = time.Minute
	// refusedBackoff is the wait before a task that a worker refused is sent again.
	refusedBackoff = 250 * time.Millisecond
)

// delay is a task that waits for the end of its backoff.
type delay struct {
	task *task
	at   fold.Instant
}

// delays orders tasks by the end of their backoff.
type delays []delay

var _ heap.Interface = &delays{}

func (d delays) Len() int           { return len(d) }
func (d delays) Less(i, k int) bool { return d[i].at < d[k].at }
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

// await makes a waiting task ready after a backoff.
func (p *Pool) await(t *task, backoff time.Duration) {
	if backoff > 0 {
		heap.Push(&p.delayed, delay{task: t, at: p.now.Add(backoff)})
		return
	}
	t.job.setReady(t, true)
	p.enqueue(t.job)
}

// endDelays makes the tasks ready whose backoff is over.
func (p *Pool) endDelays() {
	for len(p.delayed) > 0 && p.delayed[0].at <= p.now {
		d, ok := heap.Pop(&p.delayed).(delay)
		if ok && d.task.phase == phaseWaiting && !d.task.ready {
			d.task.job.setReady(d.task, true)
			p.enqueue(d.task.job)
		}
	}
}

// backoff returns the wait after the failures of a task so far. The jitter comes from the task id, so that a run can
// be repeated.
func backoff(t *task) time.Duration {
	limit := maxBackoff
	if t.job.spec.Kind == fold.Gang {
		// The other tasks of the gang hold their capacity meanwhile.
		limit = gangPatience
	}
	wait := limit
	if t.fails < 8 {
		wait = min(limit, firstBackoff<<max(t.fails-1, 0))
	}
	jitter := xxhash.Sum64String(t.id().String()) % 256
	return wait - wait/4 + wait/2*time.Duration(jitter)/256
}
