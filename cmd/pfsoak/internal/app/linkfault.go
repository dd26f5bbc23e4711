package app

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"time"

	"plantainfold.example/fold/model"
)

const (
	// minCutTime and cutTimeSpread give the range of the duration of cut links: from a few commits of the owner to twice the
	// leases of hosts.
	minCutTime    = 2 * time.Second
	cutTimeSpread = 10 * time.Second
	// maxUnlistDelay is the longest time until the row of a host that is cut off from the store lapses.
	maxUnlistDelay = 3 * time.Second
	// minStutterStop and stutterStopSpread give the range of the stops of a process that stutters, and maxStutterRun is the
	// longest time that it runs between two stops.
	minStutterStop    = 20 * time.Millisecond
	stutterStopSpread = 60 * time.Millisecond
	maxStutterRun     = 60 * time.Millisecond
	// maxStrikeGap is the longest time between two faults of a series of changes of the owner.
	maxStrikeGap = 1500 * time.Millisecond
)

// cutTime draws the duration of cut links.
func cutTime(random *rand.Rand) time.Duration {
	return minCutTime + time.Duration(random.Int64N(int64(cutTimeSpread)))
}

// drawLinkFaults returns the random faults of links, and faults of processes that change the owner beside them. They may
// overlap; a fault that ends restores its links even if an overlapping fault still affects them.
func (t *testRun) drawLinkFaults(random *rand.Rand, length time.Duration) []fault {
	var faults []fault
	for range 3 + random.IntN(4) {
		f := fault{start: warmUpTime + time.Duration(random.Int64N(int64(length-warmUpTime))), duration: cutTime(random)}
		kinds := []func(*fault, *rand.Rand){t.partitionFault, t.partitionFault, t.ownerSeries, t.ownerSeries, t.hostLinkFault, t.peerLinkFault, t.stutterFault, t.addressFault}
		kinds[random.IntN(len(kinds))](&f, random)
		faults = append(faults, f)
	}
	return faults
}

// cut is how a partition treats the data that leaves it and the data that enters it.
type cut int

const (
	// cutDrop drops all data.
	cutDrop cut = iota
	// cutHold keeps all data back until the partition ends.
	cutHold
	// cutLeaving drops the data that leaves the partition.
	cutLeaving
	// cutEntering drops the data that enters the partition.
	cutEntering
	// cutCount is the number of kinds of cuts.
	cutCount
)

// mode returns the mode of a proxy of the partition. The argument outward tells whether requests leave the partition.
func (c cut) mode(outward bool) mode {
	switch c {
	case cutDrop:
		return modeDropAll
	case cutHold:
		return modeHold
	case cutLeaving, cutEntering:
		if outward == (c == cutLeaving) {
			return modeDropRequests
		}
		return modeDropAnswers
	default:
		return modePass
	}
}

// hostsOf returns the ids of the hosts of a failure domain in order.
func (t *testRun) hostsOf(domain string) []string {
	return slices.DeleteFunc(slices.Sorted(maps.Keys(t.env.domains)), func(id string) bool { return t.env.domains[id] != domain })
}

// partition is a partition to inject: an entry, or all entries of its failure domain, together with the hosts of the domain.
type partition struct {
	// cut is what happens to data between the partition and the rest.
	cut cut
	// wholeDomain is set if the other entries of the domain are in the partition. They are else only cut off from the entry.
	wholeDomain bool
	// unlistAfter is the time until the rows of the hosts in the partition lapse, or 0 if they do not.
	unlistAfter time.Duration
}

func drawPartition(random *rand.Rand) partition {
	p := partition{cut: cut(random.IntN(int(cutCount))), wholeDomain: random.IntN(3) == 0}
	if random.IntN(2) == 0 {
		p.unlistAfter = time.Duration(1 + random.Int64N(int64(maxUnlistDelay)))
	}
	return p
}

// begin cuts the links between the partition of an entry and the rest. The returned function ends the partition.
func (t *testRun) begin(p partition, center *entry) (restore func()) {
	domain := center.settings.Domain
	inside, domainOf := make(map[string]bool), maps.Clone(t.env.domains)
	for _, e := range t.entries {
		domainOf[e.settings.Name] = e.settings.Domain
		inside[e.settings.Name] = e == center || p.wholeDomain && e.settings.Domain == domain
		if inside[e.settings.Name] {
			e.storeProxy.setMode(p.cut.mode(true))
		}
	}
	hosts := t.hostsOf(domain)
	restoreLinks := t.env.links.set(func(from, to string) mode {
		_, toHost := t.env.domains[to]
		toInside := inside[to] || toHost && domainOf[to] == domain
		switch {
		case inside[from] && !toInside:
			return p.cut.mode(true)
		case !inside[from] && inside[to], !inside[from] && toInside && domainOf[from] != domain:
			return p.cut.mode(false)
		}
		return modePass
	})
	if p.unlistAfter == 0 {
		hosts = nil
	}
	unlisting := time.AfterFunc(p.unlistAfter, func() { t.env.setListed(hosts, false) })
	return func() {
		for _, e := range t.entries {
			if inside[e.settings.Name] {
				e.storeProxy.restore()
			}
		}
		restoreLinks()
		if !unlisting.Stop() {
			t.env.setListed(hosts, true)
		}
	}
}

// partitionFault cuts off an entry, mostly the owner, together with the hosts of its failure domain.
func (t *testRun) partitionFault(f *fault, random *rand.Rand) {
	e, ofOwner, p := t.entries[random.IntN(len(t.entries))], random.IntN(4) > 0, drawPartition(random)
	f.name, f.cutsContact = fmt.Sprintf("partition of %s (owner %t) %+v", e.settings.Name, ofOwner, p), true
	var restore func()
	f.inject = func(ctx context.Context) {
		if ofOwner {
			e = t.ownerOr(ctx, e)
		}
		restore = t.begin(p, e)
	}
	f.revert = func() { restore() }
}

// ownerOr returns the owner of the pool right after one of its commits, or the entry e if there is no owner.
func (t *testRun) ownerOr(ctx context.Context, e *entry) *entry {
	if found := t.entriesNamed(t.env.ownerAfterCommit(ctx)); len(found) > 0 {
		return found[0]
	}
	return e
}

// ownerSeries kills, pauses or cuts off one owner after the other, so that several owners follow each other within a lease.
func (t *testRun) ownerSeries(f *fault, random *rand.Rand) {
	type strike struct {
		kind int
		// gap is the time before the owner is hit, and duration is the time until that ends.
		gap, duration time.Duration
		partition     partition
	}
	const kill, pause, cutOff = 0, 1, 2
	strikes := make([]strike, 2+random.IntN(3))
	names := []string{"kill", "pause", "partition"}
	f.name, f.duration = "owner series", 0
	for i := range strikes {
		strikes[i] = strike{random.IntN(len(names)), time.Duration(random.Int64N(int64(maxStrikeGap))), cutTime(random), drawPartition(random)}
		if strikes[i].kind == kill {
			strikes[i].duration = restartDelay
		}
		f.name += fmt.Sprintf(", %s for %s", names[strikes[i].kind], strikes[i].duration.Round(time.Millisecond))
	}
	var ending sync.WaitGroup
	f.inject = func(ctx context.Context) {
		for _, s := range strikes {
			time.Sleep(s.gap)
			e := t.ownerOr(ctx, t.entries[0])
			t.env.live.RecordFault(s.duration)
			if s.kind != kill {
				t.env.live.ExcuseEvacuations(s.duration)
			}
			end := func() { t.startEntries([]*entry{e}) }
			switch s.kind {
			case kill:
				e.signal(syscall.SIGKILL)
			case pause:
				e.signal(syscall.SIGSTOP)
				end = func() { e.signal(syscall.SIGCONT) }
			case cutOff:
				end = t.begin(s.partition, e)
			}
			ending.Go(func() {
				time.Sleep(s.duration)
				end()
				if s.kind != kill {
					t.env.live.ExcuseEvacuations(0)
				}
			})
		}
	}
	f.revert = ending.Wait
}

// linkModes are the modes of faults of single links.
var linkModes = []mode{modeDelay, modeDropAll, modeDropAnswers, modeDropRequests, modeHold}

// linkFault injects a fault into the links from some entries to some of the given targets.
func (t *testRun) linkFault(f *fault, random *rand.Rand, targets []string, fromShare, toShare float64) {
	m := linkModes[random.IntN(len(linkModes))]
	from, to := make(map[string]bool), make(map[string]bool)
	for _, e := range t.entries {
		from[e.settings.Name] = random.Float64() < fromShare
	}
	for _, name := range targets {
		to[name] = random.Float64() < toShare
	}
	f.name, f.cutsContact = fmt.Sprintf("%s, mode %d", f.name, m), true
	var restore func()
	f.inject = func(context.Context) {
		restore = t.env.links.set(func(a, b string) mode {
			if from[a] && to[b] {
				return m
			}
			return modePass
		})
	}
	f.revert = func() { restore() }
}

// hostLinkFault injects a fault into the links from about half of the entries to a share of the hosts.
func (t *testRun) hostLinkFault(f *fault, random *rand.Rand) {
	f.name = "links to hosts"
	t.linkFault(f, random, slices.Sorted(maps.Keys(t.env.domains)), 0.5, 0.1+0.4*random.Float64())
}

// peerLinkFault injects a fault into links between entries.
func (t *testRun) peerLinkFault(f *fault, random *rand.Rand) {
	f.name = "links between entries"
	var names []string
	for _, e := range t.entries {
		names = append(names, e.settings.Name)
	}
	t.linkFault(f, random, names, 0.5, 0.5)
}

// stutterFault stops an entry, the owner, or all entries for short times again and again, so that a process is held back at
// any line.
func (t *testRun) stutterFault(f *fault, random *rand.Rand) {
	affected, name := []*entry{t.entries[random.IntN(len(t.entries))]}, "one"
	switch random.IntN(3) {
	case 0:
		affected, name = t.entries, "all"
	case 1:
		affected, name = nil, "owner"
	default:
	}
	f.name = "stutter of " + name
	seed := random.Uint64()
	stop := make(chan struct{})
	var stuttering sync.WaitGroup
	f.inject = func(ctx context.Context) {
		if affected == nil {
			affected = []*entry{t.ownerOr(ctx, t.entries[0])}
		}
		for i, e := range affected {
			stuttering.Go(func() { e.stutter(stop, rand.New(rand.NewPCG(seed, uint64(i)))) })
		}
	}
	f.revert = func() {
		close(stop)
		stuttering.Wait()
	}
}

// stutter stops and continues the process until stop is closed. It leaves a process alone that another fault has paused.
func (e *entry) stutter(stop <-chan struct{}, random *rand.Rand) {
	for {
		held := minStutterStop + time.Duration(random.Int64N(int64(stutterStopSpread)))
		if !e.isPaused() {
			e.signal(syscall.SIGSTOP)
			time.Sleep(held)
			e.signal(syscall.SIGCONT)
		}
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(random.Int64N(int64(maxStutterRun)))):
		}
	}
}

// addressFault takes hosts out of the roster for a while, or crashes hosts, which return at other addresses. Beside it, the
// owner is killed.
func (t *testRun) addressFault(f *fault, random *rand.Rand) {
	moves, share := random.IntN(2) == 0, 0.1+0.3*random.Float64()
	ownerDelay := time.Duration(random.Int64N(int64(maxStrikeGap)))
	var ids []string
	for _, id := range slices.Sorted(maps.Keys(t.env.domains)) {
		if random.Float64() < share {
			ids = append(ids, id)
		}
	}
	f.name = fmt.Sprintf("hosts leave the roster (crash and move %t), kill owner", moves)
	f.inject = func(ctx context.Context) {
		if moves {
			t.env.live.InjectFault(model.Fault{Kind: model.HostCrash, Duration: f.duration, Share: share})
			_, down := t.env.live.Hosts()
			for _, id := range down {
				if err := t.env.giveAddress(ctx, id); err != nil {
					t.log.Error("Could not move a host.", "host", id, "error", err)
				}
			}
		} else {
			t.env.setListed(ids, false)
		}
		time.Sleep(ownerDelay)
		e := t.ownerOr(ctx, t.entries[0])
		e.signal(syscall.SIGKILL)
		time.Sleep(restartDelay)
		t.startEntries([]*entry{e})
	}
	f.revert = func() {
		if !moves {
			t.env.setListed(ids, true)
		}
	}
}
