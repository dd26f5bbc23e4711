package core

import (
	"time"

	"plantainfold.example/fold"
)

const (
	// minStartWindow and maxStartWindow are the least and the greatest number of unconfirmed starts to which a host is limited.
	minStartWindow = 1
	maxStartWindow = 16
	// firstStartWindow is the limit after the first start that could not be sent in time.
	firstStartWindow = 2
	// startWindowTime is how long a host is limited after the last start that could not be sent in time.
	startWindowTime = 2 * time.Second
	// startPause is how long a host gets no starts after one that could not be sent. The limit is reduced once in this time, because
	// starts that were ordered together fail together.
	startPause = 250 * time.Millisecond
)

// startWindow limits the unconfirmed starts of a host that takes too long to accept them. Other runs are planned elsewhere or later, in
// place of starts that the relay refuses again and again. The zero value sets no limit.
type startWindow struct {
	limit int
	// carriedOut counts the starts that were carried out since the limit was last raised or reduced.
	carriedOut int
	// shrunkAt is when the limit was last reduced, and until is when it ends.
	shrunkAt, until fold.Instant
}

// shrink reduces the limit because a start could not be sent in time.
func (w *startWindow) shrink(now fold.Instant) {
	switch {
	case !w.active(now):
		w.limit, w.carriedOut, w.shrunkAt = firstStartWindow, 0, now
	case !w.paused(now):
		w.limit, w.carriedOut, w.shrunkAt = max(minStartWindow, w.limit/2), 0, now
	}
	w.until = now.Add(startWindowTime)
}

// grow raises the limit by one once as many starts as it permits were carried out.
func (w *startWindow) grow() {
	if w.carriedOut++; w.carriedOut >= w.limit {
		w.limit, w.carriedOut = min(w.limit+1, maxStartWindow), 0
	}
}

// paused reports whether the host gets no starts.
func (w *startWindow) paused(now fold.Instant) bool {
	return w.active(now) && now.Sub(w.shrunkAt) < startPause
}

// active reports whether there is a limit.
func (w *startWindow) active(now fold.Instant) bool {
	return now < w.until
}

// startsWait reports whether the host has as many unconfirmed starts as it may have, if the given number of further ones is planned.
func (h *host) startsWait(now fold.Instant, further int) bool {
	return h.starts.active(now) && (h.starts.paused(now) || h.unconfirmed+further >= h.starts.limit)
}

// countUnconfirmed adds a planned run to the unconfirmed starts of its host.
func (r *run) countUnconfirmed() {
	r.unconfirmed = true
	r.host.unconfirmed++
}

// confirm removes a run that has begun or was given up from the unconfirmed starts of its host.
func (r *run) confirm() {
	if r.unconfirmed {
		r.unconfirmed = false
		r.host.unconfirmed--
	}
}
