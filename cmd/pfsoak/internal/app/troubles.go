package app

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"plantainfold.example/fold"
	"plantainfold.example/fold/model"
)

const (
	// troubleStart is when the first of the named troubles begins, and troubleGap the time between two of them that are played
	// together.
	troubleStart = 10 * time.Second
	troubleGap   = 700 * time.Millisecond
	// turnedAwayShare is the share of the entries that the store turns away, the owner among them.
	turnedAwayShare = 0.33
	// killedShare is the share of the entries that are killed, and cutHostsShare that of the hosts that are cut off.
	killedShare   = 0.3
	cutHostsShare = 0.17
	// strikes is how often a trouble of the owner is repeated, each strikeGap after the one before.
	strikes   = 4
	strikeGap = 2500 * time.Millisecond
)

// trouble is a fault that can be named on the command line.
type trouble struct {
	name     string
	duration time.Duration
	// prepare sets what the fault does.
	prepare func(t *testRun, f *fault, random *rand.Rand)
}

// troubles are the troubles that the store and the entries of a large deployment may have, alone or together.
var troubles = []trouble{
	{"store-429-some", 9 * time.Second, func(t *testRun, f *fault, random *rand.Rand) { t.turnSomeAway(f, random, errOverload()) }},
	{"store-503-some", 9 * time.Second, func(t *testRun, f *fault, random *rand.Rand) { t.turnSomeAway(f, random, errDown()) }},
	{"store-429-all", 4500 * time.Millisecond, func(t *testRun, f *fault, _ *rand.Rand) { t.turnAllAway(f, errOverload()) }},
	{"store-503-all", 4500 * time.Millisecond, func(t *testRun, f *fault, _ *rand.Rand) { t.turnAllAway(f, errDown()) }},
	{"store-429-owners", strikes * strikeGap, func(t *testRun, f *fault, _ *rand.Rand) { t.turnOwnersAway(f, errOverload()) }},
	{"store-slow", 4500 * time.Millisecond, func(t *testRun, f *fault, _ *rand.Rand) {
		f.inject, f.revert = func(context.Context) { t.env.store.setSlowFactor(60) }, func() { t.env.store.setSlowFactor(1) }
	}},
	{"store-lost", 4500 * time.Millisecond, func(t *testRun, f *fault, _ *rand.Rand) {
		f.inject, f.revert = func(context.Context) { t.env.store.setLostShare(0.35) }, func() { t.env.store.setLostShare(0) }
	}},
	{"store-history", 0, func(t *testRun, f *fault, _ *rand.Rand) {
		f.inject, f.revert = func(context.Context) { t.env.table.DiscardHistory() }, func() {}
	}},
	{"kill-owners", strikes * strikeGap, func(t *testRun, f *fault, _ *rand.Rand) { t.strikeOwners(f, syscall.SIGKILL) }},
	{"pause-owners", strikes * strikeGap, func(t *testRun, f *fault, _ *rand.Rand) { t.strikeOwners(f, syscall.SIGSTOP) }},
	{"kill-some", restartDelay, func(t *testRun, f *fault, random *rand.Rand) { t.kill(f, t.drawEntries(random, killedShare)) }},
	{"kill-all", restartDelay, func(t *testRun, f *fault, _ *rand.Rand) { t.kill(f, t.entries) }},
	{"cut-owner", 5500 * time.Millisecond, func(t *testRun, f *fault, _ *rand.Rand) { t.cutOwner(f) }},
	{"cut-hosts", 5500 * time.Millisecond, func(t *testRun, f *fault, _ *rand.Rand) {
		f.inject = func(context.Context) {
			t.env.live.InjectFault(model.Fault{Kind: model.HostDisconnected, Duration: f.duration, Share: cutHostsShare})
		}
		f.revert = func() {}
	}},
	{"links", 5500 * time.Millisecond, func(t *testRun, f *fault, random *rand.Rand) {
		targets := slices.Sorted(maps.Keys(t.env.domains))
		for _, e := range t.entries {
			targets = append(targets, e.settings.Name)
		}
		t.linkFault(f, random, targets, 1, 0.5)
	}},
	{"stutter", 8 * time.Second, func(t *testRun, f *fault, random *rand.Rand) { t.stutterAll(f, random) }},
	{"burst", 6 * time.Second, func(t *testRun, f *fault, random *rand.Rand) { t.burst(f, random, 3) }},
	{"cancels", 6 * time.Second, func(t *testRun, f *fault, _ *rand.Rand) {
		f.inject = func(context.Context) { t.callers.cancelSoon.Store(true) }
		f.revert = func() { t.callers.cancelSoon.Store(false) }
	}},
}

// errDown is the store's answer 503.
func errDown() error {
	return fold.Refuse(fold.Unavailable, "retry later", "the store turns this call away")
}

// namedTroubles returns the faults with the names, which begin shortly after each other.
func (t *testRun) namedTroubles(names []string, seed uint64, length time.Duration) ([]fault, error) {
	var faults []fault
	for i, name := range names {
		index := slices.IndexFunc(troubles, func(tr trouble) bool { return tr.name == name })
		if index < 0 {
			var known []string
			for _, tr := range troubles {
				known = append(known, tr.name)
			}
			return nil, fmt.Errorf("there is no trouble %q; known are %s", name, strings.Join(known, ", "))
		}
		f := fault{name: name, start: min(troubleStart, length/3) + time.Duration(i)*troubleGap, duration: troubles[index].duration, cutsContact: true}
		troubles[index].prepare(t, &f, rand.New(rand.NewPCG(seed, 29+uint64(i))))
		faults = append(faults, f)
	}
	return faults, nil
}

// drawEntries draws a share of the entries.
func (t *testRun) drawEntries(random *rand.Rand, share float64) []*entry {
	var drawn []*entry
	for _, i := range random.Perm(len(t.entries))[:max(1, int(share*float64(len(t.entries))))] {
		drawn = append(drawn, t.entries[i])
	}
	return drawn
}

// turnSomeAway makes the store turn away a share of the entries, the owner among them.
func (t *testRun) turnSomeAway(f *fault, random *rand.Rand, err error) {
	some := t.drawEntries(random, turnedAwayShare)
	f.inject = func(ctx context.Context) { t.env.store.setTurnedAway(append(some, t.ownerOr(ctx, some[0])), err) }
	f.revert = func() { t.env.store.setTurnedAway(nil, nil) }
}

func (t *testRun) turnAllAway(f *fault, err error) {
	f.inject = func(context.Context) { t.env.store.setTurnedAway(t.entries, err) }
	f.revert = func() { t.env.store.setTurnedAway(nil, nil) }
}

// turnOwnersAway makes the store turn away one owner after the other, together with the earlier ones.
func (t *testRun) turnOwnersAway(f *fault, err error) {
	t.repeatOnOwners(f, func(owners []*entry) { t.env.store.setTurnedAway(owners, err) }, func() { t.env.store.setTurnedAway(nil, nil) })
}

// strikeOwners kills or pauses one owner after the other. Killed ones start again, paused ones go on at the end.
func (t *testRun) strikeOwners(f *fault, s syscall.Signal) {
	var struck []*entry
	t.repeatOnOwners(f, func(owners []*entry) {
		struck = owners
		struck[len(struck)-1].signal(s)
		if s == syscall.SIGKILL {
			time.AfterFunc(restartDelay, func() { t.startEntries(t.entries) })
		}
	}, func() {
		if s == syscall.SIGSTOP {
			signalAll(struck, syscall.SIGCONT)
		}
	})
}

// repeatOnOwners calls strike with the owners so far, the current one last, at intervals of strikeGap.
func (t *testRun) repeatOnOwners(f *fault, strike func(owners []*entry), end func()) {
	var striking sync.WaitGroup
	f.inject = func(ctx context.Context) {
		striking.Go(func() {
			var owners []*entry
			for range strikes {
				if owner := t.ownerOr(ctx, t.entries[0]); !slices.Contains(owners, owner) {
					owners = append(owners, owner)
				}
				strike(slices.Clone(owners))
				time.Sleep(strikeGap)
			}
		})
	}
	f.revert = func() {
		striking.Wait()
		end()
	}
}

func (t *testRun) kill(f *fault, entries []*entry) {
	f.inject = func(context.Context) { signalAll(entries, syscall.SIGKILL) }
	f.revert = func() { t.startEntries(entries) }
}

// cutOwner drops all data between the owner and the store, the adviser and its callers.
func (t *testRun) cutOwner(f *fault) {
	var owner *entry
	f.inject = func(ctx context.Context) {
		owner = t.ownerOr(ctx, t.entries[0])
		for _, p := range []*proxy{owner.storeProxy, owner.adviserProxy, owner.callerProxy} {
			p.setMode(modeDropAll)
		}
	}
	f.revert = func() {
		for _, p := range []*proxy{owner.storeProxy, owner.adviserProxy, owner.callerProxy} {
			p.restore()
		}
	}
}

// stutterAll stops all entries for short times again and again.
func (t *testRun) stutterAll(f *fault, random *rand.Rand) {
	stop, seed := make(chan struct{}), random.Uint64()
	var stuttering sync.WaitGroup
	f.inject = func(context.Context) {
		for i, e := range t.entries {
			stuttering.Go(func() { e.stutter(stop, rand.New(rand.NewPCG(seed, uint64(i)))) })
		}
	}
	f.revert = func() {
		close(stop)
		stuttering.Wait()
	}
}

// burst multiplies the rate of submissions.
func (t *testRun) burst(f *fault, random *rand.Rand, factor int) {
	var sending sync.WaitGroup
	ctx, cancel := context.WithCancel(context.Background())
	f.inject = func(context.Context) {
		for range factor - 1 {
			for class := range t.env.workload.Classes {
				seed := random.Uint64()
				sending.Go(func() { t.callers.sendJobs(ctx, t.callers.stop, class, seed) })
			}
		}
	}
	f.revert = func() {
		cancel()
		sending.Wait()
	}
}
