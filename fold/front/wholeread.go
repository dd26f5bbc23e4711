package front

import (
	"context"
	"time"

	"plantainfold.example/fold"
)

const (
	// wholeReadTimeout bounds a read of the whole configuration. One with some thousand queues takes a small entry about a second.
	wholeReadTimeout = 2500 * time.Millisecond
	// maxWholeReads is the maximum number of reads of the whole configuration at the same time. The second one is for a table
	// that answers again but has lost the request of the first.
	maxWholeReads = 2
)

// wholeRead is a read of the whole configuration that several callers wait for.
type wholeRead struct {
	began fold.Instant
	// done is closed when err is set and the configuration is in force.
	done chan struct{}
	err  error
}

// Refresh reads the newest configuration from the source and waits up to readTimeout for it. Callers at the same time share a
// read, which goes on if none of them waits any more: a read for each request would use up the link of a small entry, so that
// none of them would end.
func (r *Rules) Refresh(ctx context.Context) error {
	wait, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	read, earlier := r.shareRead(ctx)
	var earlierDone <-chan struct{}
	if earlier != nil {
		earlierDone = earlier.done
	}
	for {
		select {
		case <-read.done:
			return read.err
		case <-earlierDone:
			if earlier.err == nil {
				return nil
			}
			earlierDone = nil
		case <-wait.Done():
			return fold.Unavailable.Wrap(wait.Err(), "the configuration is still being read")
		}
	}
}

// shareRead returns the read that is under way and the one before it, if any. It starts one if there is none, or if the last one
// has gone on for longer than readTimeout.
func (r *Rules) shareRead(ctx context.Context) (read, earlier *wholeRead) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	if r.reading != nil && (r.wholeReads >= maxWholeReads || now.Sub(r.reading.began) < readTimeout) {
		return r.reading, r.earlierRead
	}
	read = &wholeRead{began: now, done: make(chan struct{})}
	if r.ended.Err() != nil {
		read.err = fold.Refuse(fold.Unavailable, "use another entry", "this entry is stopping")
		close(read.done)
		return read, nil
	}
	r.reading, r.earlierRead = read, r.reading
	r.wholeReads++
	r.calls.Go(func() {
		read.err = r.readWhole(context.WithoutCancel(ctx))
		r.mu.Lock()
		r.wholeReads--
		if r.reading == read {
			r.reading, r.earlierRead = nil, nil
		}
		r.mu.Unlock()
		close(read.done)
	})
	return read, r.earlierRead
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
