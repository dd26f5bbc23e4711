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

// fault describes a fault to inject during a test run.
type fault struct {
	// start is the time before inject is called, and duration is the time from then until revert is called.
	start, duration time.Duration
	name            string
	// ofAdviser is set for faults of the adviser.
	ofAdviser bool
	// isEvacuation is set for evacuations of failure domains, which are requests of the operator and excuse no violation.
	isEvacuation bool
	// cutsContact is set if the store is away or an entry or a host loses contact during the fault, or if orders may be held
	// back. It excuses starts in evacuated failure domains.
	cutsContact bool
	inject      func(ctx context.Context)
	revert      func()
}

const (
	// restartDelay is the time until a killed process is started again.
	restartDelay = 500 * time.Millisecond
	// graceSlack is added to the grace time because a shared machine may schedule processes late.
	graceSlack = time.Second
	// quickRestart is the longest time until a host starts again that is restarted at once.
	quickRestart = 100 * time.Millisecond
	// faultDurationSpread is the difference between the longest and the shortest duration of a fault.
	faultDurationSpread = 5 * time.Second
	// minAdviserDelay is the shortest delay of the answers of the adviser, and adviserDelaySpread is the difference to the
	// longest.
	minAdviserDelay    = 100 * time.Millisecond
	adviserDelaySpread = 1900 * time.Millisecond
	// maxUnexcusedDelay is the longest delay of the answers of the adviser that excuses no work that waits.
	maxUnexcusedDelay = time.Second
)

// faultDuration draws the duration of a fault.
func faultDuration(random *rand.Rand) time.Duration {
	return 200*time.Millisecond + time.Duration(random.Int64N(int64(faultDurationSpread)))
}

// drawFaults returns the random faults of a test run. Faults may overlap, and a kind may occur more than once.
func (t *testRun) drawFaults(random *rand.Rand, length time.Duration) []fault {
	var faults []fault
	for range 4 + random.IntN(8) {
		f := fault{
			start:    warmUpTime + time.Duration(random.Int64N(int64(length-warmUpTime))),
			duration: faultDuration(random),
		}
		kinds := []func(*fault, *rand.Rand){t.processFault, t.networkFault, t.storeFault, t.hostFault, t.restartFault}
		kinds[random.IntN(len(kinds))](&f, random)
		faults = append(faults, f)
	}
	return faults
}

// processFault pauses or kills an entry, the owner of the pool, or all entries. The owner is hit right after one of its
// commits, whose answer may then be lost.
func (t *testRun) processFault(f *fault, random *rand.Rand) {
	affected, name := []*entry{t.entries[random.IntN(len(t.entries))]}, "one"
	switch random.IntN(8) {
	case 0, 1:
		affected, name = t.entries, "all"
	case 2, 3, 4:
		affected, name = nil, "owner"
	default:
	}
	pause := random.IntN(3) == 0
	f.name, f.duration = "kill "+name, restartDelay
	signal := syscall.SIGKILL
	if pause {
		f.name, f.duration, signal, f.cutsContact = "pause "+name, faultDuration(random), syscall.SIGSTOP, true
	}
	f.inject = func(ctx context.Context) {
		if affected == nil {
			affected = t.entriesNamed(t.env.ownerAfterCommit(ctx))
		}
		signalAll(affected, signal)
	}
	f.revert = func() {
		if pause {
			signalAll(affected, syscall.SIGCONT)
			return
		}
		t.startEntries(affected)
	}
}

// entriesNamed returns the entries with the name.
func (t *testRun) entriesNamed(name string) []*entry {
	var found []*entry
	for _, e := range t.entries {
		if e.settings.Name == name {
			found = append(found, e)
		}
	}
	return found
}

func signalAll(entries []*entry, signal syscall.Signal) {
	for _, e := range entries {
		e.signal(signal)
	}
}

// restartFault stops an entry gracefully and starts it again, or makes all entries reload their settings. Neither may abort
// a request.
func (t *testRun) restartFault(f *fault, random *rand.Rand) {
	if random.IntN(4) == 0 {
		f.name, f.revert = "reload", func() {}
		f.inject = func(context.Context) { signalAll(t.entries, syscall.SIGHUP) }
		return
	}
	e := t.entries[random.IntN(len(t.entries))]
	f.name, f.duration = "stop "+e.settings.Name, graceTime
	var exited <-chan struct{}
	f.inject = func(context.Context) {
		exited = e.done()
		e.signal(syscall.SIGTERM)
	}
	f.revert = func() {
		// The platform kills a process that has not exited in time. This is no violation if there was another fault, because a
		// process that was paused meanwhile had less time.
		if waitForExit(exited, graceSlack) {
			t.startEntries([]*entry{e})
			return
		}
		if t.env.live.NoRecentFault() {
			t.env.live.AddViolation("GRACE", "entry %s had not exited %s after it was told to stop", e.settings.Name, graceTime+graceSlack)
		}
		e.signal(syscall.SIGKILL)
		waitForExit(exited, graceTime)
		t.startEntries([]*entry{e})
	}
}

// networkFault injects a fault into the connections of an entry to the store, to the adviser or to callers.
func (t *testRun) networkFault(f *fault, random *rand.Rand) {
	e := t.entries[random.IntN(len(t.entries))]
	p, peer := e.storeProxy, "store"
	switch random.IntN(4) {
	case 0:
		p, peer = e.adviserProxy, "adviser"
	case 1:
		p, peer = e.callerProxy, "callers"
	default:
	}
	f.cutsContact = p == e.storeProxy
	m := modeDelay + mode(random.IntN(int(modeCount-modeDelay)))
	f.name = fmt.Sprintf("connections of %s to %s, mode %d", e.settings.Name, peer, m)
	f.inject = func(context.Context) { p.setMode(m) }
	f.revert = p.restore
}

// storeFault injects a fault into the store, which all entries use.
func (t *testRun) storeFault(f *fault, random *rand.Rand) {
	kinds := []plat.Fault{{Down: true}, {Slow: 0.2}, {Writes: true}, {Lost: true}, {Flap: 0.3}}
	kind := random.IntN(len(kinds) + 1)
	if kind == len(kinds) {
		f.name, f.revert = "store discards its history", func() {}
		f.inject = func(context.Context) { t.env.table.DiscardHistory() }
		return
	}
	f.name = fmt.Sprintf("store %+v", kinds[kind])
	f.cutsContact = kinds[kind].Down || kinds[kind].Flap > 0
	f.inject = func(context.Context) { t.env.storeFaults.Set(kinds[kind]) }
	f.revert = func() { t.env.storeFaults.Set(plat.Fault{}) }
}

// hostFault injects a fault into a share of the hosts.
func (t *testRun) hostFault(f *fault, random *rand.Rand) {
	kinds := []model.FaultKind{model.HostCrash, model.HostDisconnected, model.HostSlow, model.HostFails, model.HostHangs, model.HostLeaves, model.OrdersLate}
	injected := model.Fault{Kind: kinds[random.IntN(len(kinds))], Duration: f.duration, Share: 0.1 + 0.2*random.Float64(), Factor: 0.1}
	switch {
	case injected.Kind == model.HostSlow:
		injected.Factor = 6
	case injected.Kind == model.HostCrash && random.IntN(2) == 0:
		// The host starts again before anybody has noticed that it crashed.
		injected.Duration = time.Duration(random.Int64N(int64(quickRestart)))
	}
	f.name, f.revert = fmt.Sprintf("hosts %+v", injected), func() {}
	f.inject = func(context.Context) { t.env.live.InjectFault(injected) }
}

// drawAdviserFaults returns the faults of the adviser in a test run, whose answers are late for all entries or for one.
func (t *testRun) drawAdviserFaults(random *rand.Rand, length time.Duration) []fault {
	var faults []fault
	for range 1 + random.IntN(3) {
		delay := minAdviserDelay + time.Duration(random.Int64N(int64(adviserDelaySpread)))
		f := fault{
			start:    warmUpTime + time.Duration(random.Int64N(int64(length-warmUpTime))),
			duration: 2*time.Second + faultDuration(random), ofAdviser: true,
		}
		affected, name := t.entries, "all"
		if e := t.entries[random.IntN(len(t.entries))]; random.IntN(3) == 0 {
			affected, name = []*entry{e}, e.settings.Name
		}
		f.name = fmt.Sprintf("answers of the adviser to %s are late by %s", name, delay.Round(time.Millisecond))
		f.inject = func(context.Context) {
			if delay > maxUnexcusedDelay {
				t.env.live.ExcuseWaiting(f.duration)
			}
			setAdviserDelay(affected, delay)
		}
		f.revert = func() { setAdviserDelay(affected, 0) }
		faults = append(faults, f)
	}
	return faults
}

func setAdviserDelay(entries []*entry, delay time.Duration) {
	for _, e := range entries {
		e.adviser.SetDelay(delay)
	}
}
