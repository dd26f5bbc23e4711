package model

import (
	"hash/fnv"
	"math"
	"time"

	"plantainfold.example/fold/core"
)

// approves decides by a hash, so that the answer for a step and a host does not change.
func approves(step, host string, share float64) bool {
	h := fnv.New64a()
	// A hash never fails to take bytes.
	_, _ = h.Write([]byte(step + "/" + host))
	x := h.Sum64()
	x ^= x >> 29
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 32
	return float64(x)/math.MaxUint64 < share
}

// submit makes a job durable and tells the owner; its caller may cancel it.
func (w *World) submit(j *jobTruth) {
	if !w.table {
		// The caller tries again.
		w.after(300*time.Millisecond, func() { w.submit(j) })
		return
	}
	w.after(commitTime, func() {
		w.store.jobs[j.spec.ID] = j.spec
		w.store.version++
		version := w.store.version
		if o := w.owner; !o.dead && !o.cut {
			o.update(func(c *core.Cell) {
				c.AddJob(j.spec, version)
				if w.store.cancels[j.spec.ID] {
					c.Cancel(j.spec.ID)
				}
			})
		}
	})
	switch {
	case j.class.Lasting:
		w.after(time.Duration(w.spread(float64(j.class.Stay), 0.7)), func() { w.cancel(j) })
	case w.chance(j.class.Cancel):
		w.after(time.Duration(w.random.Int64N(int64(j.objective))), func() { w.cancel(j) })
	}
}

// cancel makes the wish to cancel durable.
func (w *World) cancel(j *jobTruth) {
	if !w.table {
		w.after(300*time.Millisecond, func() { w.cancel(j) })
		return
	}
	w.store.cancels[j.spec.ID] = true
	j.cancelled = w.now
	if o := w.owner; !o.dead && !o.cut {
		o.update(func(c *core.Cell) { c.Cancel(j.spec.ID) })
	}
}

// takeOverTime is how long the others wait for an owner that they hear nothing of.
const takeOverTime = 1700 * time.Millisecond

// strike lets a fault happen.
func (w *World) strike(f Fault) {
	w.log.Debug("Fault.", "kind", int(f.Kind), "for", f.For.String())
	switch f.Kind {
	case OwnerDies:
		if w.owner.dead {
			return
		}
		w.owner.dead = true
		w.after(f.For, w.takeOver)
	case OwnerCut:
		o := w.owner
		o.cut = true
		w.after(takeOverTime, func() {
			if w.owner == o {
				w.takeOver()
			}
		})
	case TableDown:
		w.table = false
		w.after(f.For, func() { w.table = true })
	case OrdersLate:
		w.late = f.Factor
		w.after(f.For, func() { w.late = 0 })
	default:
		for _, h := range w.hosts {
			if w.chance(f.Share) && h.up {
				w.strikeHost(h, f)
			}
		}
	}
}

func (w *World) strikeHost(h *host, f Fault) {
	w.log.Debug("Fault at a host.", "kind", int(f.Kind), "host", h.info.ID, "for", f.For.String())
	switch f.Kind {
	case HostCrash:
		h.crash()
		w.after(f.For, h.rise)
	case HostGone:
		h.crash()
	case HostCut:
		h.cut = true
		w.after(f.For, func() { h.cut = false })
	case HostSlow:
		h.change(func() { h.slow = f.Factor })
		w.after(f.For, func() { h.change(func() { h.slow = 1 }) })
	case HostFails:
		h.fails = true
		w.after(f.For, func() { h.fails = false })
	case HostHangs:
		h.change(func() { h.hangs = true })
		w.after(f.For, func() { h.change(func() { h.hangs = false }) })
	case HostLeaves:
		h.info.Draining, h.info.Remaining = true, f.For
		life := h.life
		w.after(f.For, func() {
			if h.life == life {
				h.crash()
			}
		})
	default:
	}
}
