package entry

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"plantainfold.example/fold"
	"plantainfold.example/fold/sched"
)

const (
	// measurePeriod is the time between two samples.
	measurePeriod = 5 * time.Second
	// maxSamples is the maximum number of samples that an entry keeps, which cover an hour.
	maxSamples = 720
	// maxRingValues is the number of most recent values from which percentiles are computed.
	maxRingValues = 4096
)

// measures collects the measures of an entry: packing, waiting times, shares of teams and its own use of resources.
type measures struct {
	mu sync.Mutex
	// waitTimes holds the waiting times of started tasks.
	waitTimes ring
	// decisions holds the durations of decision rounds in microseconds.
	decisions ring
	// starts is the number of tasks started so far.
	starts int64
	// latest is the last sample.
	latest fold.Measures
	// samples holds the last maxSamples samples, oldest first.
	samples []fold.Sample
	// cpuTime is the CPU time of the process at the last sample.
	cpuTime time.Duration
	// cpuTimeAt is the time of the last sample.
	cpuTimeAt fold.Instant
}

// ring is a ring buffer of the last maxRingValues values.
type ring struct {
	values []int64
	next   int
}

func newMeasures() *measures {
	return &measures{}
}

func (r *ring) add(v int64) {
	if len(r.values) < maxRingValues {
		r.values = append(r.values, v)
		return
	}
	r.values[r.next] = v
	r.next = (r.next + 1) % maxRingValues
}

// quantile returns the q-quantile of the values, or 0 if there are none.
func (r *ring) quantile(q float64) int64 {
	if len(r.values) == 0 {
		return 0
	}
	sorted := slices.Clone(r.values)
	slices.Sort(sorted)
	return sorted[int(q*float64(len(sorted)-1))]
}

// last returns the last sample.
func (m *measures) last() fold.Measures {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.latest
}

// recordDecisions records the duration of a decision round and the waiting times of the tasks that it started.
func (m *measures) recordDecisions(took time.Duration, waits []int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.starts += int64(len(waits))
	m.decisions.add(took.Microseconds())
	for _, w := range waits {
		m.waitTimes.add(w)
	}
}

// addSample completes a sample with waiting times, decision times, CPU and memory of this process, and stores it.
func (m *measures) addSample(now fold.Instant, s fold.Measures) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var usage unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &usage); err == nil {
		spent := time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
		if m.cpuTimeAt != 0 && now > m.cpuTimeAt {
			s.Control.CPU = float64(spent-m.cpuTime) / float64(now.Sub(m.cpuTimeAt))
		}
		m.cpuTime, m.cpuTimeAt = spent, now
		s.Control.Memory = usage.Maxrss * 1024
	}
	s.Waiting = fold.WaitingMeasure{P50: m.waitTimes.quantile(0.5), P99: m.waitTimes.quantile(0.99), Starts: m.starts}
	s.Control.Decision = m.decisions.quantile(0.99)
	m.latest = s
	if len(m.samples) == maxSamples {
		m.samples = append(m.samples[:0], m.samples[1:]...)
	}
	m.samples = append(m.samples, fold.Sample{Time: time.Now().UnixMilli(), Measures: s})
}

// Samples returns the measures of this entry over the last hour, newest last.
func (e *Entry) Samples(context.Context) []fold.Sample {
	e.measures.mu.Lock()
	defer e.measures.mu.Unlock()
	return slices.Clone(e.measures.samples)
}

// decideAndMeasure runs one decision round and records its measures; the caller holds p.mu.
func (p *pool) decideAndMeasure(now fold.Instant) []sched.Start {
	starts := p.sched.Decide(now, maxStarts)
	took := p.entry.clock.Now().Sub(now)
	waits := make([]int64, 0, len(starts))
	for _, s := range starts {
		if w, ok := p.sched.WaitTime(s); ok {
			waits = append(waits, w)
		}
	}
	p.entry.measures.recordDecisions(took, waits)
	return starts
}

// measureStep takes a sample of the pools of the entry.
func (e *Entry) measureStep(context.Context) {
	var s fold.Measures
	var capacity, used fold.Resources
	teams := make(map[string]*sched.Usage)
	for _, p := range e.allPools() {
		p.mu.Lock()
		status := p.sched.Status()
		usage := p.sched.Usage()
		s.OvercommittedWorkers += p.sched.Overcommitted()
		p.mu.Unlock()
		capacity, used = capacity.Add(status.Capacity), used.Add(status.Used)
		for _, u := range usage {
			if !u.Used.Fits(u.Allotment) {
				s.TeamsOverLimit++
			}
			if teams[u.Team] == nil {
				teams[u.Team] = &sched.Usage{Team: u.Team, Weight: u.Weight}
			}
			sum := teams[u.Team]
			sum.Used, sum.Waiting = sum.Used.Add(u.Used), sum.Waiting+u.Waiting
		}
	}
	s.Packing = used.Dominant(capacity)
	s.Shares = sharesOf(teams, capacity)
	e.measures.addSample(e.clock.Now(), s)
}

// sharesOf returns the fraction of the capacity that each team uses and the fraction to which its share entitles it.
func sharesOf(teams map[string]*sched.Usage, capacity fold.Resources) []fold.ShareMeasure {
	weights := 0
	for _, u := range teams {
		weights += max(u.Weight, 1)
	}
	list := make([]fold.ShareMeasure, 0, len(teams))
	for name, u := range teams {
		list = append(list, fold.ShareMeasure{
			Team: name, Used: u.Used.Dominant(capacity), Waiting: u.Waiting,
			Entitled: float64(max(u.Weight, 1)) / float64(weights),
		})
	}
	slices.SortFunc(list, func(a, b fold.ShareMeasure) int { return strings.Compare(a.Team, b.Team) })
	return list
}
