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
	measurePeriod = 5 * time.Second
	// maxSamples bounds the samples that an entry remembers: an hour.
	maxSamples = 720
	// maxTimes bounds the last starts and decisions from which percentiles are taken.
	maxTimes = 4096
)

// measures collects the four measures of an entry.
type measures struct {
	mu        sync.Mutex
	waits     recent
	decisions recent
	starts    int64
	latest    fold.Measures
	samples   []fold.Sample
	spent     time.Duration
	spentAt   fold.Instant
}

// recent is a ring of the last values.
type recent struct {
	values []int64
	next   int
}

func newMeasures() *measures {
	return &measures{}
}

func (r *recent) add(v int64) {
	if len(r.values) < maxTimes {
		r.values = append(r.values, v)
		return
	}
	r.values[r.next] = v
	r.next = (r.next + 1) % maxTimes
}

// quantile returns the q-quantile of the values, or 0.
func (r *recent) quantile(q float64) int64 {
	if len(r.values) == 0 {
		return 0
	}
	sorted := slices.Clone(r.values)
	slices.Sort(sorted)
	return sorted[int(q*float64(len(sorted)-1))]
}

func (m *measures) now() fold.Measures {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.latest
}

func (m *measures) decided(took time.Duration, waits []int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.starts += int64(len(waits))
	m.decisions.add(took.Microseconds())
	for _, w := range waits {
		m.waits.add(w)
	}
}

// record completes a sample with what the process itself spends.
func (m *measures) record(now fold.Instant, s fold.Measures) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var usage unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &usage); err == nil {
		spent := time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
		if m.spentAt != 0 && now > m.spentAt {
			s.Control.CPU = float64(spent-m.spent) / float64(now.Sub(m.spentAt))
		}
		m.spent, m.spentAt = spent, now
		s.Control.Memory = usage.Maxrss * 1024
	}
	s.Waiting = fold.WaitingMeasure{P50: m.waits.quantile(0.5), P99: m.waits.quantile(0.99), Starts: m.starts}
	s.Control.Decision = m.decisions.quantile(0.99)
	m.latest = s
	if len(m.samples) == maxSamples {
		m.samples = append(m.samples[:0], m.samples[1:]...)
	}
	m.samples = append(m.samples, fold.Sample{Time: time.Now().UnixMilli(), Measures: s})
}

// Samples are the measures of this entry over the last hour, newest last.
func (e *Entry) Samples(context.Context) []fold.Sample {
	e.measures.mu.Lock()
	defer e.measures.mu.Unlock()
	return slices.Clone(e.measures.samples)
}

// measuredDecide decides and measures; the pool is locked.
func (p *pool) measuredDecide(now fold.Instant) []sched.Start {
	starts := p.sched.Decide(now, maxStarts)
	took := p.entry.clock.Now().Sub(now)
	waits := make([]int64, 0, len(starts))
	for _, s := range starts {
		if w, ok := p.sched.WaitTime(s); ok {
			waits = append(waits, w)
		}
	}
	p.entry.measures.decided(took, waits)
	return starts
}

// measureStep takes a sample over the pools of the entry.
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
	e.measures.record(e.clock.Now(), s)
}

// sharesOf says what part of the capacity each team uses and what part its weight gives it.
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
