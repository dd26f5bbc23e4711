package model

import (
	"slices"
	"time"

	"plantainfold.example/fold"
)

// evacuateTime is how long after the store has accepted the row of an evacuation a task is still permitted to start in the
// failure domain.
const evacuateTime = 5 * time.Second

// SetEvacuated records that the store has accepted the evacuation of hosts, or that their evacuation is about to end.
func (l *Live) SetEvacuated(ids []string, evacuated bool) {
	l.update(func(w *World) {
		for _, h := range w.hosts {
			if !slices.Contains(ids, h.info.ID) {
				continue
			}
			h.evacuatedAt = 0
			if evacuated {
				h.evacuatedAt, h.closedFrom = w.now, max(w.now, w.contactFrom).Add(evacuateTime)
			}
		}
	})
}

// ExcuseEvacuations excuses starts in evacuated failure domains for d, in which the store is away or an entry or a host has
// lost contact. Afterwards, the time within which the domains must be closed begins again, unless it had passed before.
func (l *Live) ExcuseEvacuations(d time.Duration) {
	l.update(func(w *World) {
		w.contactFrom = max(w.contactFrom, w.now.Add(d))
		for _, h := range w.hosts {
			if w.now <= h.closedFrom {
				h.closedFrom = max(h.closedFrom, w.contactFrom.Add(evacuateTime))
			}
		}
	})
}

// checkEvacuated checks that the host of a start is not in an evacuated failure domain. Exempt are starts that are carried out
// late, because the order may have been sent before the evacuation. While contact is lost, entries go on with the last state
// that they know. Starts are therefore also exempt until evacuateTime has passed once, since the evacuation or a loss of contact
// that began meanwhile. Later losses of contact excuse nothing, nor do other faults and changes of the owner.
func (w *World) checkEvacuated(h *host, t *taskTruth, s fold.StartRequest) {
	if h.evacuatedAt == 0 || w.lateOrder || w.now <= h.closedFrom {
		return
	}
	w.addViolation("EVAC", "run %d of %s starts on %s, %s after the evacuation of its failure domain", s.Run, t.id, h.info.ID, w.now.Sub(h.evacuatedAt))
}
