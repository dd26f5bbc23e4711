package app

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"

	"github.com/hashicorp/go-hclog"
)

const (
	// rigTick is the time between two checks whether this process stands still, and rigLate how late one must be to be logged.
	rigTick = 50 * time.Millisecond
	rigLate = 150 * time.Millisecond
	// reportInterval is the time between two lines about the calls to the store, and to the hosts.
	reportInterval = time.Second
	// maxReportedEntries limits the entries that such a line names.
	maxReportedEntries = 4
)

// watchRig logs when this process stands still or its simulated hosts answer late, which is no fault of the entries, and how many calls
// the store got, until ctx ends.
func watchRig(ctx context.Context, env *environment, log hclog.Logger) {
	lastReport := time.Now()
	for ctx.Err() == nil {
		began := time.Now()
		time.Sleep(rigTick)
		if late := time.Since(began) - rigTick; late > rigLate {
			log.Warn("The process of the simulation was held up.", "for", late.String())
		}
		if wait := env.live.LongestWait(); wait > rigLate {
			log.Warn("The simulated hosts were late.", "by", wait.String())
		}
		if time.Since(lastReport) < reportInterval {
			continue
		}
		lastReport = time.Now()
		env.hostLoad.report(log)
		if env.store != nil {
			env.store.report(log)
		}
	}
}

// report logs the calls since the last report, with the entries that wrote most.
func (s *storeState) report(log hclog.Logger) {
	s.mu.Lock()
	counts, backlog := s.counts, time.Until(s.partitionFree)
	s.counts = make(map[string]*storeCounts)
	s.mu.Unlock()
	var all storeCounts
	for _, c := range counts {
		all.writes, all.reads = all.writes+c.writes, all.reads+c.reads
		all.rejectedWrites, all.rejectedReads = all.rejectedWrites+c.rejectedWrites, all.rejectedReads+c.rejectedReads
	}
	most := slices.SortedFunc(maps.Keys(counts), func(a, b string) int {
		return cmp.Compare(counts[b].writes+counts[b].rejectedWrites, counts[a].writes+counts[a].rejectedWrites)
	})
	fields := []any{"writes", all.writes, "rejectedWrites", all.rejectedWrites, "reads", all.reads, "rejectedReads", all.rejectedReads, "queue", max(0, backlog).String()}
	for _, name := range most[:min(len(most), maxReportedEntries)] {
		fields = append(fields, name, counts[name].writes+counts[name].rejectedWrites)
	}
	log.Info("Calls to the store.", fields...)
}
