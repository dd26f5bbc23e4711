package owner

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// ruleFaults selects rules that are broken deliberately. The checks must detect each of them.
type ruleFaults struct {
	// outageWithoutMajority gives standing in an outage without a majority.
	outageWithoutMajority bool
	// earlyFencing fences entries whose rows have not changed for 1.5 s.
	earlyFencing bool
	// unacknowledgedView uses a view that majorities do not know yet.
	unacknowledgedView bool
	// countFromArrival computes the age of a heartbeat from its arrival.
	countFromArrival bool
	// countRequests uses heartbeats that arrived as requests as evidence.
	countRequests bool
	// emptyBookAfterTakeover opens claim books after a takeover as if there were no earlier claims.
	emptyBookAfterTakeover bool
	// ignoreEpoch makes workers accept adoptions at older epochs.
	ignoreEpoch bool
	// ignoreSession makes workers accept starts of other sessions.
	ignoreSession bool
	// startWithoutWait starts pending tasks of an earlier owner without waiting.
	startWithoutWait bool
	// acceptOnCommit accepts a configuration as soon as it is committed.
	acceptOnCommit bool
	// confirmUnread confirms the configuration to peers without having read it.
	confirmUnread bool
	// staleReads makes reads of the table return rows that are up to two seconds old.
	staleReads bool
}

func (b ruleFaults) beforePlan(p *proc) {
	for id, q := range p.m.entries {
		if b.earlyFencing && id != p.name && p.now().Sub(q.unchangedSince) > 1500*time.Millisecond {
			q.unchangedSince = never
		}
		if b.unacknowledgedView {
			q.beat.View = p.m.highestView
		}
	}
}

func (b ruleFaults) onRequest(p *proc, beat Beat) {
	if b.countRequests {
		p.m.RecordAnswer(p.now(), beat)
	}
}

func (b ruleFaults) onAnswer(beat *Beat) {
	if b.confirmUnread {
		beat.Confirmed = 0
	}
}

// injectFor begins a fault and ends it after the given time.
func (w *world) injectFor(d time.Duration, begin, end func()) {
	begin()
	w.at(d, end)
}

// cutAll cuts the links from a to b for which sel(a, b) is true.
func (w *world) cutAll(d time.Duration, sel func(a, b string) bool) {
	names := slices.Concat(slices.Sorted(maps.Keys(w.names)), slices.Sorted(maps.Keys(w.workers)))
	for _, a := range names {
		for _, b := range names {
			if a != b && sel(a, b) {
				w.injectFor(d, func() { w.cutLinks[[2]string{a, b}]++ }, func() { w.cutLinks[[2]string{a, b}]-- })
			}
		}
	}
}

// replace starts a process after the given time, under the same name or a new one.
func (w *world) replace(name string, d time.Duration) {
	if w.chance(0.5) {
		name = fmt.Sprintf("e%d", w.nextEntry)
		w.nextEntry++
	}
	w.at(d, func() {
		if w.names[name] == nil {
			w.start(name)
		}
	})
}

// pause pauses a process. Sometimes another process starts under its name meanwhile.
func (w *world) pause(p *proc, d time.Duration) {
	if p.paused {
		return
	}
	p.paused = true
	if w.chance(0.2) {
		w.at(d/2, func() {
			if p.alive && p.paused && w.names[p.name] == p {
				w.start(p.name)
			}
		})
	}
	w.at(d, func() {
		if !p.alive || !p.paused {
			return
		}
		p.resume()
		if w.names[p.name] != p {
			// The process continues until it is restarted and finds that its address is in use.
			w.at(w.between(time.Second, 20*time.Second), func() { w.kill(p) })
		}
	})
}

// faults injects a random fault and schedules the next one a few seconds later.
func (w *world) faults() {
	if !w.faulty {
		return
	}
	w.at(w.between(500*time.Millisecond, 6*time.Second), w.faults)
	p := w.pick()
	if p == nil {
		return
	}
	long := w.between(time.Second, 25*time.Second)
	kinds := []struct {
		weight int
		fn     func()
	}{
		{4, func() { w.kill(p); w.replace(p.name, w.between(0, 30*time.Second)) }},
		{4, func() { w.pause(p, long) }},
		{3, func() { p.restart() }},
		{3, func() { w.injectFor(long, func() { w.offline[p.name]++ }, func() { w.offline[p.name]-- }) }},
		{3, func() { w.offlineGroup(long) }},
		{2, func() { w.injectFor(long, func() { w.tableDown++ }, func() { w.tableDown-- }) }},
		{5, func() { w.restoreTablePartly(long) }},
		{1, func() { w.injectFor(long, func() { w.writesDown++ }, func() { w.writesDown-- }) }},
		{1, func() { w.injectFor(long, func() { w.listDown++ }, func() { w.listDown-- }) }},
		{1, func() {
			w.injectFor(min(long, 20*time.Second), func() { w.unlisted[p.name]++ }, func() { w.unlisted[p.name]-- })
		}},
		{3, func() { w.cutAll(long, func(a, b string) bool { return a == p.name || b == p.name }) }},
		{2, func() { w.cutAll(long, func(a, _ string) bool { return a == p.name }) }},
		{4, func() { w.partition(long) }},
		{3, func() { w.cutWorker(p, 2*long) }},
		{1, func() { w.killAll() }},
	}
	total := 0
	for _, k := range kinds {
		total += k.weight
	}
	n := w.rand.IntN(total)
	for _, k := range kinds {
		if n -= k.weight; n < 0 {
			k.fn()
			return
		}
	}
}

// injectAfterCommit injects faults just after a view or a configuration was written, when they are most dangerous.
func (w *world) injectAfterCommit(p *proc, key string) {
	long := w.between(5*time.Second, 25*time.Second)
	switch {
	case !w.faulty:
	case key == ViewKey:
		// Entries that are cut off from the table may be a majority of the previous view and not know this one.
		w.cutAll(long, func(a, b string) bool { return (w.offline[a] > 0) != (w.offline[b] > 0) && w.entries(a, b) })
	case key == "config/head" && w.chance(0.05):
		w.injectFor(long, func() { w.tableDown++ }, func() { w.tableDown-- })
		if w.chance(0.5) {
			w.at(w.between(0, 100*time.Millisecond), func() { w.kill(p) })
			w.replace(p.name, w.between(0, 10*time.Second))
			return
		}
		w.cutAll(long, func(a, b string) bool { return a == p.name || b == p.name })
	}
}

// restart stops a process gracefully and replaces it.
func (p *proc) restart() {
	if !p.stopping {
		p.stop()
		p.world.replace(p.name, p.world.between(2*time.Second, 20*time.Second))
	}
}

// offlineGroup cuts about half of the entries off from the table, and sometimes off from the other entries a little later.
func (w *world) offlineGroup(d time.Duration) {
	side := w.randomGroup()
	for _, name := range slices.Sorted(maps.Keys(side)) {
		w.injectFor(d, func() { w.offline[name]++ }, func() { w.offline[name]-- })
	}
	if w.chance(0.7) {
		w.at(w.between(0, 12*time.Second), func() {
			w.cutAll(d, func(a, b string) bool { return side[a] != side[b] && w.entries(a, b) })
		})
	}
}

// restoreTablePartly stops the table for all entries, then restores it for less than half of them.
func (w *world) restoreTablePartly(d time.Duration) {
	w.injectFor(w.between(5*time.Second, 10*time.Second), func() { w.tableDown++ }, func() { w.tableDown-- })
	all := w.alive()
	w.rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	for _, p := range all[:len(all)/2+1] {
		w.injectFor(10*time.Second+d, func() { w.offline[p.name]++ }, func() { w.offline[p.name]-- })
	}
}

func (w *world) randomGroup() map[string]bool {
	side := make(map[string]bool)
	for _, name := range slices.Sorted(maps.Keys(w.names)) {
		if w.chance(0.55) {
			side[name] = true
		}
	}
	return side
}

func (w *world) entries(a, b string) bool {
	return w.workers[a] == nil && w.workers[b] == nil
}

func (w *world) partition(d time.Duration) {
	side := w.randomGroup()
	w.cutAll(d, func(a, b string) bool { return side[a] != side[b] && w.entries(a, b) })
}

func (w *world) cutWorker(p *proc, d time.Duration) {
	names := slices.Sorted(maps.Keys(w.workers))
	name := names[w.rand.IntN(len(names))]
	w.cutAll(d, func(a, b string) bool { return (a == name && b == p.name) || (a == p.name && b == name) })
}

func (w *world) killAll() {
	for _, p := range w.alive() {
		w.kill(p)
		w.replace(p.name, w.between(time.Second, 10*time.Second))
	}
}

// copyStaleRows copies the table every two seconds for stale reads.
func (w *world) copyStaleRows() {
	w.staleRows = maps.Clone(w.rows)
	w.at(2*time.Second, w.copyStaleRows)
}

// heal ends all faults.
func (w *world) heal() {
	w.faulty = false
	w.tableDown, w.writesDown, w.listDown = 0, 0, 0
	// The scheduled ends of these faults make the counts negative, which means no fault.
	w.cutLinks, w.offline, w.unlisted = make(map[[2]string]int), make(map[string]int), make(map[string]int)
	for _, p := range w.alive() {
		switch {
		case p.paused && w.names[p.name] != p:
			w.kill(p)
		case p.paused:
			p.resume()
		}
	}
}
