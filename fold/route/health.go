package route

import (
	"time"

	"plantainfold.example/fold"
)

const (
	// failuresToEject is the number of consecutive failures that ejects an endpoint.
	failuresToEject = 5
	// successesToRecover is the number of consecutive answers that ends a probation.
	successesToRecover = 3
	// endpointsPerEjection bounds the ejected endpoints to one in this many, because the others must carry their load.
	endpointsPerEjection = 5
	// firstEjection is the duration of the first ejection of an endpoint. Each further ejection doubles it.
	firstEjection = time.Second
	// maxEjection bounds the duration of an ejection.
	maxEjection = time.Minute
	// ejectionMemory is how long an endpoint must stay healthy before its next ejection has the duration firstEjection
	// again.
	ejectionMemory = time.Minute
)

// stage is the ejection state of an endpoint.
type stage int

const (
	healthy stage = iota
	ejected
	probation
)

// health is the state that the outcomes of requests give to an endpoint.
type health struct {
	stage       stage
	failures    int
	successes   int
	ejections   int
	recoveredAt fold.Instant
}

// maxInflight returns how many requests may be in flight at an endpoint with this health and the given limit.
func (h health) maxInflight(limit int) int {
	switch h.stage {
	case ejected:
		return 0
	case probation:
		return 1
	default:
		return limit
	}
}

// afterAnswer returns the health after the endpoint answered a request.
func (h health) afterAnswer(now fold.Instant) health {
	h.failures = 0
	if h.stage == probation {
		h.successes++
		if h.successes >= successesToRecover {
			h.stage, h.successes, h.recoveredAt = healthy, 0, now
		}
	}
	return h
}

// afterFailure returns the health after a failed request and reports whether the endpoint should be ejected.
func (h health) afterFailure() (health, bool) {
	h.failures++
	h.successes = 0
	return h, h.stage == probation || (h.stage == healthy && h.failures >= failuresToEject)
}

// afterEjection returns the health of a newly ejected endpoint and the duration of the ejection.
func (h health) afterEjection(now fold.Instant) (health, time.Duration) {
	if h.stage == healthy && now.Sub(h.recoveredAt) > ejectionMemory {
		h.ejections = 0
	}
	h.stage, h.failures, h.successes = ejected, 0, 0
	pause := min(firstEjection<<min(h.ejections, 6), maxEjection)
	h.ejections++
	return h, pause
}
