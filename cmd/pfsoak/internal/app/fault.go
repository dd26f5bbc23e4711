package app

import (
	"context"
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"

	"plantainfold.example/fold/model"
	"plantainfold.example/fold/plat"
)

// fault is something that goes wrong at a time of the day for a while.
type fault struct {
	at, lasts time.Duration
	name      string
	strike    func(ctx context.Context)
	heal      func()
}

const (
	// restartTime is how long a killed process stays away.
	restartTime = 500 * time.Millisecond
	// graceSlack is added to the grace time for the scheduling of processes on a shared machine.
	graceSlack = time.Second
	// longestFault bounds how long a fault lasts.
	longestFault = 5 * time.Second
)

// schedule draws the faults of a day; they may overlap and repeat.
func (s *soak) schedule(random *rand.Rand, length time.Duration) []fault {
	var faults []fault
	for range 4 + random.IntN(8) {
		f := fault{
			at:    warmTime + time.Duration(random.Int64N(int64(length-warmTime))),
			lasts: 200*time.Millisecond + time.Duration(random.Int64N(int64(longestFault))),
		}
		kinds := []func(*fault, *rand.Rand){s.processFault, s.networkFault, s.storeFault, s.hostFault, s.rollFault}
		kinds[random.IntN(len(kinds))](&f, random)
		faults = append(faults, f)
	}
	return faults
}

// processFault pauses or kills an entry, or all of them.
func (s *soak) processFault(f *fault, random *rand.Rand) {
	struck := []*entry{s.entries[random.IntN(len(s.entries))]}
	if random.IntN(4) == 0 {
		struck = s.entries
	}
	if random.IntN(3) == 0 {
		f.name = fmt.Sprintf("pause %d", len(struck))
		f.strike = func(context.Context) { each(struck, syscall.SIGSTOP) }
		f.heal = func() { each(struck, syscall.SIGCONT) }
		return
	}
	f.name, f.lasts = fmt.Sprintf("kill %d", len(struck)), restartTime
	f.strike = func(context.Context) { each(struck, syscall.SIGKILL) }
	f.heal = func() { s.restart(struck) }
}

func each(entries []*entry, signal syscall.Signal) {
	for _, e := range entries {
		e.signal(signal)
	}
}

// rollFault stops entries gracefully, one after the other, or lets them read their settings again. Nothing excuses a request that
// is broken off meanwhile.
func (s *soak) rollFault(f *fault, random *rand.Rand) {
	if random.IntN(4) == 0 {
		f.name, f.heal = "reload", func() {}
		f.strike = func(context.Context) { each(s.entries, syscall.SIGHUP) }
		return
	}
	e := s.entries[random.IntN(len(s.entries))]
	f.name, f.lasts = "stop "+e.settings.Name, graceTime
	var end <-chan struct{}
	f.strike = func(context.Context) {
		end = e.end()
		e.signal(syscall.SIGTERM)
	}
	f.heal = func() {
		// The platform kills what has not ended; a process that was paused meanwhile has had less time.
		if waitFor(end, graceSlack) {
			s.restart([]*entry{e})
			return
		}
		if s.world.live.NoRecentFault() {
			s.world.live.AddViolation("GRACE", "entry %s had not ended %s after it was told to stop", e.settings.Name, graceTime+graceSlack)
		}
		e.signal(syscall.SIGKILL)
		waitFor(end, graceTime)
		s.restart([]*entry{e})
	}
}

// networkFault harms the connections of an entry.
func (s *soak) networkFault(f *fault, random *rand.Rand) {
	e := s.entries[random.IntN(len(s.entries))]
	p, side := e.store, "store"
	switch random.IntN(4) {
	case 0:
		p, side = e.adviser, "adviser"
	case 1:
		p, side = e.callers, "callers"
	default:
	}
	m := delay + mode(random.IntN(int(modes-delay)))
	f.name = fmt.Sprintf("connections of %s to %s, mode %d", e.settings.Name, side, m)
	f.strike = func(context.Context) { p.set(m) }
	f.heal = func() {
		// Connections that lost data are of no use any more.
		p.set(reset)
		p.set(pass)
	}
}

// storeFault harms the store for all entries.
func (s *soak) storeFault(f *fault, random *rand.Rand) {
	kinds := []plat.Fault{{Down: true}, {Slow: 0.2}, {Writes: true}, {Lost: true}, {Flap: 0.3}}
	at := random.IntN(len(kinds) + 1)
	if at == len(kinds) {
		f.name, f.heal = "store forgets its history", func() {}
		f.strike = func(context.Context) { s.world.table.DiscardHistory() }
		return
	}
	f.name = fmt.Sprintf("store %+v", kinds[at])
	f.strike = func(context.Context) { s.world.store.Set(kinds[at]) }
	f.heal = func() { s.world.store.Set(plat.Fault{}) }
}

// hostFault harms a share of the hosts.
func (s *soak) hostFault(f *fault, random *rand.Rand) {
	kinds := []model.FaultKind{model.HostCrash, model.HostDisconnected, model.HostSlow, model.HostFails, model.HostHangs, model.HostLeaves, model.OrdersLate}
	struck := model.Fault{Kind: kinds[random.IntN(len(kinds))], Duration: f.lasts, Share: 0.1 + 0.2*random.Float64(), Factor: 0.1}
	if struck.Kind == model.HostSlow {
		struck.Factor = 6
	}
	f.name, f.heal = fmt.Sprintf("hosts %+v", struck), func() {}
	f.strike = func(context.Context) { s.world.live.InjectFault(struck) }
}
