package owner

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// broken is a set of deliberately broken rules, each of which the checks must notice.
type broken struct {
	// alone gives standing in an outage without a majority.
	alone bool
	// hasty fences entries whose rows have not changed for 1.5 s.
	hasty bool
	// unacked acts on a view that majorities do not know yet.
	unacked bool
	// arrival counts a heartbeat from its arrival, and told counts heartbeats that came as requests.
	arrival  bool
	toldOnly bool
	// trustful opens claim books after a takeover as if they were complete.
	trustful bool
	// noEpoch and noSession are workers that do not check.
	noEpoch   bool
	noSession bool
	// noHold starts old pending tasks without waiting.
	noHold bool
	// early accepts a configuration when it is committed.
	early bool
	// eager confirms the configuration to peers without having read it.
	eager bool
	// lagging is a table whose reads are up to two seconds old.
	lagging bool
}

func (b broken) beforePlan(p *proc) {
	for id, q := range p.m.entries {
		if b.hasty && id != p.name && p.now().Sub(q.unchanged) > 1500*time.Millisecond {
			q.unchanged = never
		}
		if b.unacked {
			q.beat.View = p.m.newer
		}
	}
}

func (b broken) told(p *proc, beat Beat) {
	if b.toldOnly {
		p.m.Heard(p.now(), beat)
	}
}

func (b broken) answer(beat *Beat) {
	if b.eager {
		beat.Confirmed = 0
	}
}

// hold applies a fault and ends it after a time.
func (w *world) hold(d time.Duration, begin, end func()) {
	begin()
	w.at(d, end)
}

// cutAll cuts the links for which sel is true, in one direction or both.
func (w *world) cutAll(d time.Duration, sel func(a, b string) bool) {
	names := slices.Concat(slices.Sorted(maps.Keys(w.names)), slices.Sorted(maps.Keys(w.workers)))
	for _, a := range names {
		for _, b := range names {
			if a != b && sel(a, b) {
				w.hold(d, func() { w.cuts[[2]string{a, b}]++ }, func() { w.cuts[[2]string{a, b}]-- })
			}
		}
	}
}

// replace starts a process after a while, under the same name or a new one.
func (w *world) replace(name string, d time.Duration) {
	if w.chance(0.5) {
		name = fmt.Sprintf("e%d", w.started)
		w.started++
	}
	w.at(d, func() {
		if w.names[name] == nil {
			w.start(name)
		}
	})
}

// pause stops a process; sometimes another one starts under its name meanwhile.
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
			// The process finds its address in use when it next restarts; until then it acts on.
			w.at(w.between(time.Second, 20*time.Second), func() { w.kill(p) })
		}
	})
}

// faults injects one fault and the next one after a few seconds.
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
		{3, func() { p.planned() }},
		{3, func() { w.hold(long, func() { w.offline[p.name]++ }, func() { w.offline[p.name]-- }) }},
		{3, func() { w.offlineGroup(long) }},
		{2, func() { w.hold(long, func() { w.down++ }, func() { w.down-- }) }},
		{5, func() { w.partlyBack(long) }},
		{1, func() { w.hold(long, func() { w.noWrite++ }, func() { w.noWrite-- }) }},
		{1, func() { w.hold(long, func() { w.noList++ }, func() { w.noList-- }) }},
		{1, func() {
			w.hold(min(long, 20*time.Second), func() { w.omitted[p.name]++ }, func() { w.omitted[p.name]-- })
		}},
		{3, func() { w.cutAll(long, func(a, b string) bool { return a == p.name || b == p.name }) }},
		{2, func() { w.cutAll(long, func(a, _ string) bool { return a == p.name }) }},
		{4, func() { w.split(long) }},
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

// worst injects faults at the instants that are worst for the protocol: just after a view or a configuration was written.
func (w *world) worst(p *proc, key string) {
	long := w.between(5*time.Second, 25*time.Second)
	switch {
	case !w.faulty:
	case key == ViewKey:
		// Entries cut from the table that were a majority of the view before may know nothing of this one.
		w.cutAll(long, func(a, b string) bool { return (w.offline[a] > 0) != (w.offline[b] > 0) && w.entries(a, b) })
	case key == "config/head" && w.chance(0.05):
		w.hold(long, func() { w.down++ }, func() { w.down-- })
		if w.chance(0.5) {
			w.at(w.between(0, 100*time.Millisecond), func() { w.kill(p) })
			w.replace(p.name, w.between(0, 10*time.Second))
			return
		}
		w.cutAll(long, func(a, b string) bool { return a == p.name || b == p.name })
	}
}

// planned stops a process gracefully and replaces it.
func (p *proc) planned() {
	if !p.stopping {
		p.stop()
		p.world.replace(p.name, p.world.between(2*time.Second, 20*time.Second))
	}
}

// offlineGroup cuts about half of the entries from the table, and sometimes from the others a little later.
func (w *world) offlineGroup(d time.Duration) {
	side := w.side()
	for _, name := range slices.Sorted(maps.Keys(side)) {
		w.hold(d, func() { w.offline[name]++ }, func() { w.offline[name]-- })
	}
	if w.chance(0.7) {
		w.at(w.between(0, 12*time.Second), func() {
			w.cutAll(d, func(a, b string) bool { return side[a] != side[b] && w.entries(a, b) })
		})
	}
}

// partlyBack takes the table away from all, and gives it back to less than half of them.
func (w *world) partlyBack(d time.Duration) {
	w.hold(w.between(5*time.Second, 10*time.Second), func() { w.down++ }, func() { w.down-- })
	all := w.alive()
	w.rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	for _, p := range all[:len(all)/2+1] {
		w.hold(10*time.Second+d, func() { w.offline[p.name]++ }, func() { w.offline[p.name]-- })
	}
}

func (w *world) side() map[string]bool {
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

func (w *world) split(d time.Duration) {
	side := w.side()
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

// lag keeps the copy of the table that lagging reads see.
func (w *world) lag() {
	w.old = maps.Clone(w.rows)
	w.at(2*time.Second, w.lag)
}

// heal ends all faults.
func (w *world) heal() {
	w.faulty = false
	w.down, w.noWrite, w.noList = 0, 0, 0
	// The counts go below zero when the faults would have ended, which counts as no fault.
	w.cuts, w.offline, w.omitted = make(map[[2]string]int), make(map[string]int), make(map[string]int)
	for _, p := range w.alive() {
		switch {
		case p.paused && w.names[p.name] != p:
			w.kill(p)
		case p.paused:
			p.resume()
		}
	}
}
