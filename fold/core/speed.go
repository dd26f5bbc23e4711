package core

import (
	"cmp"
	"math"
	"slices"
	"time"

	"plantainfold.example/fold"
)

// Options switch on parts of the decisions that a deployment asks for. The zero value leaves all of them off.
type Options struct {
	// Speeds makes decisions depend on the speeds of hosts and on the run times within a step.
	Speeds bool
	// PastUse configures how past use affects the order of waiting work.
	PastUse PastUse
}

// SetOptions sets the options. It must be called before the first run is added.
func (c *Cell) SetOptions(options Options) {
	c.options = options
}

const (
	// maxStepSamples is the maximum number of completed runs of a step that wait for their comparison. A wider step is
	// compared in groups of this size, in the order of the ends.
	maxStepSamples = 64
	// minComparedRuns is the number of runs below which a comparison is skipped. The median of two runs does not resist a
	// straggler.
	minComparedRuns = 3
	// maxDeviation limits how far one run may deviate from the median of its step, as a natural logarithm: a factor of 2. Run
	// times within a step spread by 0.3 to 0.5 of their mean, and stragglers take seven times as long.
	maxDeviation = 0.7
	// runTimeSpread is the assumed standard deviation of the logarithm of run times within a step.
	runTimeSpread = 0.45
	// speedPrior is the weight, in runs, of the assumption that a host has the usual speed. It is about the variance of run
	// times divided by that of speeds between 0.8 and 1.25.
	speedPrior = 8
	// speedConfidence is the number of standard errors within which a speed counts as the usual one, so that noise does not
	// move placement.
	speedConfidence = 1.5
	// speedTrustedRuns is the number of runs from which comparisons correct the run times of others by the full speed of the
	// host. Any shrinking would let the speeds fade once fast and slow hosts rarely run the same step.
	speedTrustedRuns = 30
	// maxSpeedRuns is the maximum weight of past runs, so that a speed follows changes within some 100 runs.
	maxSpeedRuns = 200
	// maxSpeedLog limits the logarithm of a speed: a factor of 2.
	maxSpeedLog = 0.7
)

const (
	// maxPlacementLog limits the logarithm of the speed that score uses. With weightUrgentSpeed, two hosts then differ by less
	// than 1, so that speed and packing together stay below penaltySuspect.
	maxPlacementLog = 0.24
	// weightUrgentSpeed is the weight of speed for urgent tasks. A difference of 20% changes the score by 0.36, which
	// outweighs a difference of a third of the host's processors in packing.
	weightUrgentSpeed = -2
	// weightSlackSpeed is the weight for batch tasks with slack. A difference of 20% counts as much as a tenth of the host's
	// processors, so that packing still decides between hosts that are filled differently.
	weightSlackSpeed = 0.5
	// minSlack is the ratio of the time until a job is due to its remaining time from which a job has slack. The slowest
	// hosts take 1.25 times the usual time; the rest is for errors of the estimates.
	minSlack = 1.6
)

// hostSpeed is the speed of one incarnation of a host relative to other hosts.
type hostSpeed struct {
	// sum is the weighted sum of the logarithms of the speed in single runs. weight is the sum of their weights.
	sum, weight float64
	// logSpeed is the logarithm of the speed, and 0 as long as it cannot be told from the usual speed.
	logSpeed float64
	// placement is logSpeed limited to maxPlacementLog.
	placement float64
}

// reference returns the logarithm of the speed by which comparisons correct a run time.
func (s *hostSpeed) reference() float64 {
	if s.weight == 0 {
		return 0
	}
	return min(max(s.sum/s.weight, -maxSpeedLog), maxSpeedLog) * min(1, s.weight/speedTrustedRuns)
}

// add adds an observation: sum is the logarithm of the speed multiplied by the weight.
func (s *hostSpeed) add(sum, weight float64) {
	if s.weight >= maxSpeedRuns {
		s.sum, s.weight = s.sum/2, s.weight/2
	}
	s.sum += sum
	s.weight += weight
	mean, deviation := s.sum/(s.weight+speedPrior), runTimeSpread*math.Sqrt(s.weight)/(s.weight+speedPrior)
	s.logSpeed = 0
	if noise := speedConfidence * deviation; math.Abs(mean) > noise {
		s.logSpeed = min(max(mean*(1-noise*noise/(mean*mean)), -maxSpeedLog), maxSpeedLog)
	}
	s.placement = min(max(s.logSpeed, -maxPlacementLog), maxPlacementLog)
}

// runSample is the run time of a completed run that is comparable to others of its step.
type runSample struct {
	host        *host
	incarnation int64
	// logTime is the natural logarithm of the run time in seconds.
	logTime float64
}

// comparable reports whether the time from the confirmed start of a run to its reported end, which is now, is the whole run
// time of the task on the host. This excludes runs from a checkpoint, runs that an earlier owner started, runs whose start or
// end became known late, and runs that wait for others, run without end, run on spare processor time or are far from their
// data. It also excludes tasks with copies, of which only the faster run completes.
func (r *run) comparable() bool {
	s, h := r.task.part.step, r.host
	return r.startedAt != 0 && !r.startSeenLate && !r.inherited && !r.resumed && !r.stopping && r.tries == 1 && r.incarnation == h.info.Incarnation &&
		r.startedAt > h.endsDelayedUntil && !r.task.copied && !s.Gang && !s.LongRunning && !s.Fill && (s.Rack == "" || h.info.Rack() == s.Rack)
}

// observeRun records the run time of a completed run for the comparison within its step.
func (c *Cell) observeRun(r *run) {
	took := c.now.Sub(r.startedAt)
	if !c.options.Speeds || took <= 0 || !r.comparable() {
		return
	}
	p := r.task.part
	c.observeStep(r, took)
	p.samples = append(p.samples, runSample{host: r.host, incarnation: r.incarnation, logTime: math.Log(took.Seconds())})
	if len(p.samples) >= maxStepSamples {
		c.learnSpeeds(p)
	}
}

// learnSpeeds compares the recorded runs of a part with each other and discards them. It waits for the end of the step or for
// many runs, because the first runs to complete are the shortest ones of a step.
func (c *Cell) learnSpeeds(p *part) {
	samples := slices.DeleteFunc(p.samples, func(s runSample) bool { return s.incarnation != s.host.info.Incarnation })
	p.samples = nil
	n := len(samples)
	if n < minComparedRuns {
		return
	}
	var references, deviations, sorted [maxStepSamples]float64
	for i, s := range samples {
		references[i] = s.host.speed.reference()
		deviations[i] = -s.logTime - references[i]
	}
	copy(sorted[:n], deviations[:n])
	slices.Sort(sorted[:n])
	median, mean := (sorted[(n-1)/2]+sorted[n/2])/2, 0.0
	for i := range samples {
		deviations[i] = min(max(deviations[i]-median, -maxDeviation), maxDeviation)
		mean += deviations[i] / float64(n)
	}
	for i, s := range samples {
		others := 0
		for _, o := range samples {
			if o.host != s.host {
				others++
			}
		}
		if others == 0 {
			return
		}
		// A run says nothing about its host compared with itself, so that runs on the same host take away weight. The
		// deviations add up to 0; otherwise stragglers would lower all speeds.
		weight := float64(others) / float64(n)
		s.host.speed.add(weight*references[i]+deviations[i]-mean, weight)
	}
	c.stats.Compared += int64(n)
}

// speedWeight returns the weight of the logarithm of a host's speed in the score of the part's tasks. It uses the remaining
// time that class has computed.
func (p *part) speedWeight(class int, now fold.Instant) float64 {
	switch {
	case p.step.Fill || p.step.LongRunning || p.job.spec.Times > 0:
		return 0
	case p.urgent():
		return weightUrgentSpeed
	case class == classOverRate, class == classWorthless, class == classTimely && now.Add(time.Duration(minSlack*float64(p.remaining))) <= p.job.due:
		return weightSlackSpeed
	default:
		return 0
	}
}

// SpeedSummary describes the known speeds of the hosts in the roster.
type SpeedSummary struct {
	// Known counts the hosts whose speed differs from the usual one, Hosts all hosts.
	Known, Hosts int
	// Slowest and Fastest are the lowest and the highest speed; 1 is the usual one.
	Slowest, Fastest float64
}

// Speeds returns a summary of the speeds of the hosts.
func (c *Cell) Speeds() SpeedSummary {
	summary := SpeedSummary{Slowest: 1, Fastest: 1}
	for _, h := range c.hostsByID {
		if !h.listed {
			continue
		}
		summary.Hosts++
		if h.speed.logSpeed != 0 {
			summary.Known++
			speed := math.Exp(h.speed.logSpeed)
			summary.Slowest, summary.Fastest = min(summary.Slowest, speed), max(summary.Fastest, speed)
		}
	}
	return summary
}

const (
	// speedLogInterval is the interval between log lines about speeds.
	speedLogInterval = time.Minute
	// maxLoggedSpeeds is the maximum number of hosts that such a line names.
	maxLoggedSpeeds = 5
)

// logSpeeds logs a summary of the speeds and the slowest hosts.
func (c *Cell) logSpeeds() {
	if !c.options.Speeds || c.now.Sub(max(c.startedAt, c.speedsLoggedAt)) < speedLogInterval {
		return
	}
	c.speedsLoggedAt = c.now
	var slow []*host
	for _, h := range c.hostsByID {
		if h.listed && h.speed.logSpeed < 0 {
			slow = append(slow, h)
		}
	}
	slices.SortStableFunc(slow, func(a, b *host) int { return cmp.Compare(a.speed.logSpeed, b.speed.logSpeed) })
	var names []string
	for _, h := range slow[:min(len(slow), maxLoggedSpeeds)] {
		names = append(names, h.info.ID)
	}
	s := c.Speeds()
	c.log.Info("Speeds of hosts.", "hosts", s.Hosts, "known", s.Known, "slowest", s.Slowest, "fastest", s.Fastest, "slow", names, "compared", c.stats.Compared)
}
