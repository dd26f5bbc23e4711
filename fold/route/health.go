package route

import (
	"time"

	"plantainfold.example/fold"
)

const (
	// failuresToEject is how many failures in a row eject an endpoint.
	failuresToEject = 5
	// provesToHeal is how many answers in a row end a probation.
	provesToHeal = 3
	// maxEjectedShare bounds the ejected endpoints: one of this many. The rest must carry their load.
	maxEjectedShare = 5
	firstEjection   = time.Second
	maxEjection     = time.Minute
	// forgetAfter is how long an endpoint must stay healthy until its next ejection is short again.
	forgetAfter = time.Minute
)

// stage is where an endpoint is on the way from healthy to ejected and back.
type stage int

const (
	healthy stage = iota
	ejected
	probation
)

// health is what the outcomes of requests tell of an endpoint.
type health struct {
	stage     stage
	failures  int
	proves    int
	ejections int
	healed    fold.Instant
}

// bound returns how many requests an endpoint in this health may have in flight, given its limit.
func (h health) bound(limit int) int {
	switch h.stage {
	case ejected:
		return 0
	case probation:
		return 1
	default:
		return limit
	}
}

// served returns the health after an answer.
func (h health) served(now fold.Instant) health {
	h.failures = 0
	if h.stage == probation {
		h.proves++
		if h.proves >= provesToHeal {
			h.stage, h.proves, h.healed = healthy, 0, now
		}
	}
	return h
}

// failed returns the health after a failure and whether the endpoint is to be ejected.
func (h health) failed() (health, bool) {
	h.failures++
	h.proves = 0
	return h, h.stage == probation || (h.stage == healthy && h.failures >= failuresToEject)
}

// eject returns the health of an ejected endpoint and for how long it is ejected.
func (h health) eject(now fold.Instant) (health, time.Duration) {
	if h.stage == healthy && now.Sub(h.healed) > forgetAfter {
		h.ejections = 0
	}
	h.stage, h.failures, h.proves = ejected, 0, 0
	pause := min(firstEjection<<min(h.ejections, 6), maxEjection)
	h.ejections++
	return h, pause
}
