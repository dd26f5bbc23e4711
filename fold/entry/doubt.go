package entry

import (
	"context"
	"sync"

	"github.com/joomcode/errorx"

	"plantainfold.example/fold"
	"plantainfold.example/fold/store"
)

// maxDoubts bounds the accepts without a certain outcome that an entry remembers.
const maxDoubts = 4096

// doubts remembers the jobs whose accept had no certain outcome. Such a job may be in the table service although the
// scheduler of the pool was never told of it.
type doubts struct {
	mu   sync.Mutex
	jobs map[string]*doubt
}

// doubt is one accept without a certain outcome, in a pool at an epoch.
type doubt struct {
	pool  string
	epoch int64
	busy  bool
}

func newDoubts() *doubts {
	return &doubts{jobs: make(map[string]*doubt)}
}

// full reports whether no further accept may be sent, because its outcome could not be remembered.
func (d *doubts) full() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.jobs) >= maxDoubts
}

// note remembers an accept that ended with err, or forgets it if the outcome is certain.
func (d *doubts) note(p *pool, id string, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if errorx.IsOfType(err, fold.Unknown) {
		d.jobs[id] = &doubt{pool: p.id, epoch: p.epoch}
		return
	}
	if err == nil {
		delete(d.jobs, id)
	}
}

// claim returns whether the caller is to settle the doubt about a job; done must follow.
func (d *doubts) claim(p *pool, id string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	found, ok := d.jobs[id]
	if !ok || found.busy || found.pool != p.id {
		return false
	}
	if found.epoch != p.epoch {
		// The pool was loaded from the table service since then.
		delete(d.jobs, id)
		return false
	}
	found.busy = true
	return true
}

func (d *doubts) done(id string, settled bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if settled {
		delete(d.jobs, id)
		return
	}
	if found, ok := d.jobs[id]; ok {
		found.busy = false
	}
}

// settleDoubt schedules a job whose accept took effect although its outcome was not known at the time.
func (e *Entry) settleDoubt(p *pool, id string) {
	if !e.doubts.claim(p, id) {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), peerTime)
	defer cancel()
	row, err := store.Get[store.JobPart](ctx, e.table, store.JobKey(p.id, id))
	if err == nil {
		p.mu.Lock()
		p.sched.Submit(e.clock.Now(), row.Value.Job)
		p.mu.Unlock()
		p.poke()
	}
	e.doubts.done(id, err == nil)
}
