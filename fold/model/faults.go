package model

import (
	"hash/fnv"
	"math"
	"time"

	"plantainfold.example/fold/core"
)

// approves reports whether the adviser approves a host for a step. A hash decides, so the answer never changes.
func approves(step, host string, share float64) bool {
	h := fnv.New64a()
	// Write of a hash never returns an error.
	_, _ = h.Write([]byte(step + "/" + host))
	x := h.Sum64()
	x ^= x >> 29
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 32
	return float64(x)/math.MaxUint64 < share
}

// submit stores a job and adds it to the owner. For some jobs it also schedules a cancellation.
func (w *World) submit(j *jobTruth) {
	if !w.tableUp {
		// The caller retries while the table is unavailable.
		w.after(300*time.Millisecond, func() { w.submit(j) })
		return
	}
	w.after(commitTime, func() {
		w.store.jobs[j.spec.ID] = j.spec
		w.store.version++
		version := w.store.version
		w.store.jobVersions[j.spec.ID] = version
		if o := w.owner; w.day.Entries == 0 && !o.dead && !o.cut {
			o.update(func(c *core.Cell) {
				c.AddJob(j.spec, version)
				if w.store.cancels[j.spec.ID] {
					c.Cancel(j.spec.ID)
				}
			})
		}
	})
	switch {
	case j.class.LongRunning:
		w.after(time.Duration(w.logNormal(float64(j.class.CancelAfter), 0.7)), func() { w.cancel(j) })
	case w.chance(j.class.CancelShare):
		w.after(time.Duration(w.random.Int64N(int64(j.objective))), func() { w.cancel(j) })
	}
}

// cancel stores a cancellation request and passes it to the owner.
func (w *World) cancel(j *jobTruth) {
	if !w.tableUp {
		w.after(300*time.Millisecond, func() { w.cancel(j) })
		return
	}
	w.store.cancels[j.spec.ID] = true
	j.cancelled = w.now
	if o := w.owner; w.day.Entries == 0 && !o.dead && !o.cut {
		o.update(func(c *core.Cell) { c.Cancel(j.spec.ID) })
	}
}

// takeOverTime is how long the other entries wait for a silent owner before one of them takes over.
const takeOverTime = 1700 * time.Millisecond

// inject injects a fault.
func (w *World) inject(f Fault) {
	w.log.Debug("Injecting a fault.", "kind", int(f.Kind), "for", f.Duration.String())
	switch f.Kind {
	case OwnerDies:
		if w.owner.dead {
			return
		}
		w.owner.dead = true
		w.after(f.Duration, w.takeOver)
	case OwnerDisconnected:
		o := w.owner
		o.cut = true
		w.after(takeOverTime, func() {
			if w.owner == o {
				w.takeOver()
			}
		})
	case TableDown:
		w.tableUp = false
		w.after(f.Duration, func() { w.tableUp = true })
	case OrdersLate:
		w.lateShare = f.Factor
		w.after(f.Duration, func() { w.lateShare = 0 })
	default:
		for _, h := range w.hosts {
			if w.chance(f.Share) && h.up {
				w.injectAtHost(h, f)
			}
		}
	}
}

func (w *World) injectAtHost(h *host, f Fault) {
	w.log.Debug("Injecting a fault at a host.", "kind", int(f.Kind), "host", h.info.ID, "for", f.Duration.String())
	switch f.Kind {
	case HostCrash:
		h.crash()
		w.after(f.Duration, h.restart)
	case HostLost:
		h.crash()
	case HostDisconnected:
		h.cut = true
		w.after(f.Duration, func() { h.cut = false })
	case HostSlow:
		h.changeSpeed(func() { h.slowdown = f.Factor })
		w.after(f.Duration, func() { h.changeSpeed(func() { h.slowdown = 1 }) })
	case HostFails:
		h.fails = true
		w.after(f.Duration, func() { h.fails = false })
	case HostHangs:
		h.changeSpeed(func() { h.hangs = true })
		w.after(f.Duration, func() { h.changeSpeed(func() { h.hangs = false }) })
	case HostLeaves:
		h.info.Draining, h.info.Remaining = true, f.Duration
		incarnation := h.incarnation
		w.after(f.Duration, func() {
			if h.incarnation == incarnation {
				h.crash()
			}
		})
	default:
	}
}
