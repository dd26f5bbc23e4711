package app

import (
	"context"
	"math/rand/v2"
	"syscall"
	"time"

	"plantainfold.example/fold"
	"plantainfold.example/platform/stand"
)

const (
	// minEvacuationStart is the time before the first evacuation.
	minEvacuationStart = time.Second
	// minEvacuation is the shortest evacuation, and evacuationSpread is the difference to the longest. An evacuation that is
	// shorter than the 5 s within which entries must apply it would check nothing.
	minEvacuation    = 7 * time.Second
	evacuationSpread = 8 * time.Second
	// maxEvacuations is the largest number of evacuations in a test run. It is below the number of failure domains, so that
	// work has hosts to run on.
	maxEvacuations = 2
)

// drawEvacuations returns the evacuations of a test run, each of one failure domain. They begin in the first part of the run, so
// that jobs arrive for long enough afterwards. During most of them the owner is killed, whose successor must know of the
// evacuation.
func (t *testRun) drawEvacuations(random *rand.Rand, length time.Duration) []fault {
	var faults []fault
	domains := random.Perm(len(domainNames))
	for _, n := range domains[:1+random.IntN(maxEvacuations)] {
		domain := domainNames[n]
		f := fault{
			name: "evacuation of " + domain, isEvacuation: true,
			start:    minEvacuationStart + time.Duration(random.Int64N(1+int64(length)/3)),
			duration: minEvacuation + time.Duration(random.Int64N(int64(evacuationSpread))),
		}
		f.inject = func(ctx context.Context) { t.evacuate(ctx, domain, true) }
		f.revert = func() { t.evacuate(context.Background(), domain, false) }
		killAt := f.start + time.Duration(random.Int64N(int64(f.duration)))
		faults = append(faults, f)
		if random.IntN(4) > 0 {
			faults = append(faults, t.killOwner(killAt))
		}
	}
	return faults
}

// killOwner returns a fault that kills the owner right after one of its commits.
func (t *testRun) killOwner(start time.Duration) fault {
	f := fault{name: "kill owner during an evacuation", start: start, duration: restartDelay}
	var killed []*entry
	f.inject = func(ctx context.Context) {
		killed = t.entriesNamed(t.env.ownerAfterCommit(ctx))
		signalAll(killed, syscall.SIGKILL)
	}
	f.revert = func() { t.startEntries(killed) }
	return f
}

// evacuate writes or removes the row that evacuates a failure domain, and tells the checks. They know of an evacuation only
// while the row exists.
func (t *testRun) evacuate(ctx context.Context, domain string, evacuated bool) {
	hosts, key := t.hostsOf(domain), stand.EvacuationKey(domain)
	txn := fold.Txn{Puts: []fold.Put{{Key: key}}}
	if !evacuated {
		t.env.live.SetEvacuated(hosts, false)
		txn = fold.Txn{Deletes: []string{key}}
	}
	if _, err := t.env.table.Commit(ctx, txn); err != nil {
		t.log.Error("Could not change an evacuation.", "domain", domain, "evacuated", evacuated, "error", err)
		return
	}
	if evacuated {
		t.env.live.SetEvacuated(hosts, true)
	}
}
