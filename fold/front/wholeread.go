package front

import (
	"context"
	"time"

	"plantainfold.example/fold"
)

// wholeReadTimeout bounds a read of the whole configuration. One with some thousand queues takes a small entry about a second.
const wholeReadTimeout = 5 * time.Second

// wholeRead is a read of the whole configuration that several callers wait for.
type wholeRead struct {
	// done is closed when err is set and the configuration is in force.
	done chan struct{}
	err  error
}

// Refresh reads the newest configuration from the source and waits up to readTimeout for it. Callers at the same time share one
// read, which goes on if none of them waits any more: a read for each request would use up the link of a small entry, so that
// none of them would end.
func (r *Rules) Refresh(ctx context.Context) error {
	wait, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	read := r.shareRead(ctx)
	select {
	case <-read.done:
		return read.err
	case <-wait.Done():
		return fold.Unavailable.Wrap(wait.Err(), "the configuration is still being read")
	}
}

// shareRead returns the read that is under way, and starts one if there is none.
func (r *Rules) shareRead(ctx context.Context) *wholeRead {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.reading != nil {
		return r.reading
	}
	read := &wholeRead{done: make(chan struct{})}
	if r.ended.Err() != nil {
		read.err = fold.Refuse(fold.Unavailable, "use another entry", "this entry is stopping")
		close(read.done)
		return read
	}
	r.reading = read
	r.calls.Go(func() {
		read.err = r.readWhole(context.WithoutCancel(ctx))
		r.mu.Lock()
		r.reading = nil
		r.mu.Unlock()
		close(read.done)
	})
	return read
}

// readWhole reads the whole configuration and applies it.
func (r *Rules) readWhole(ctx context.Context) error {
	sent := r.clock.Now()
	call, cancel := context.WithTimeout(ctx, wholeReadTimeout)
	defer cancel()
	defer context.AfterFunc(r.ended, cancel)()
	declared, err := r.source.Read(call)
	if err != nil {
		return err
	}
	r.apply(declared, sent)
	return nil
}

// close ends the reads of the whole configuration and waits for all calls.
func (r *Rules) close() {
	r.mu.Lock()
	r.end()
	r.mu.Unlock()
	r.calls.Wait()
}
