package core

import (
	"math"
	"math/bits"
	"time"

	"plantainfold.example/fold"
)

const (
	// estimateWeight is the weight, in runs, of the estimate against the completed runs of the step. It is about the variance
	// of run times within a step divided by that of estimates that are wrong by up to 0.9 of their value.
	estimateWeight = 1
	// jobRatioWeight is the weight, in runs, of the assumption that the estimates of a job are as good as those of its queue.
	jobRatioWeight = 4
	// maxStepRatioWeight is the maximum weight, in runs, of one step in the ratio of its job. Estimates also differ by step.
	maxStepRatioWeight = 8
	// maxRunTimeFactor limits a run time to a multiple of the mean of the step's earlier runs, so that a straggler, which
	// takes seven times as long, does not double the mean of ten runs.
	maxRunTimeFactor = 3
	// minUnclippedRuns is the number of the first runs of a step whose run times are not limited.
	minUnclippedRuns = 2
	// earlyRunsLog is the logarithm of the factor between the mean of all run times and that of the first few to complete, for
	// log-normal run times with the spread of runTimeSpread.
	earlyRunsLog = 0.64
)

// stepTimes are the run times of the completed runs of a part, as they would be on hosts of the usual speed, in seconds, and
// the starts of its live runs.
type stepTimes struct {
	sum   float64
	count int
	// running counts the live runs that hosts have confirmed. starts is the sum of the times of their starts in milliseconds,
	// because a sum of thousands of times in nanoseconds could overflow.
	running int
	starts  int64
}

// add adds the run time of a completed run.
func (s *stepTimes) add(seconds float64) {
	if s.count >= minUnclippedRuns {
		seconds = min(seconds, maxRunTimeFactor*s.sum/float64(s.count))
	}
	s.sum += seconds
	s.count++
}

// mean estimates the mean run time of all tasks. While runs that started with the completed ones are live, these are the
// shortest, so that their mean is raised. Runs of a later wave, which have just started, change nothing.
func (s *stepTimes) mean(now fold.Instant) float64 {
	mean := s.sum / float64(s.count)
	if s.running == 0 {
		return mean
	}
	age := float64(millis(now)-s.starts/int64(s.running)) / 1000
	live := float64(s.running) / float64(s.running+s.count)
	return mean * math.Exp(earlyRunsLog*live*min(1, max(0, age/mean)))
}

// begin records that a host has confirmed a run.
func (s *stepTimes) begin(at fold.Instant) {
	s.running++
	s.starts += millis(at)
}

// end records that a confirmed run is no longer live.
func (s *stepTimes) end(startedAt fold.Instant) {
	s.running--
	s.starts -= millis(startedAt)
}

func millis(at fold.Instant) int64 {
	return int64(at) / int64(time.Millisecond)
}

// observeStep adds the run time of a completed run to those of its step. The objective of the job follows at 1, 2, 4, 8 and so
// on runs, because its computation covers all steps of the job.
func (c *Cell) observeStep(r *run, took time.Duration) {
	times := &r.task.part.times
	times.add(took.Seconds() * math.Exp(r.host.speed.logSpeed))
	if bits.OnesCount(uint(times.count)) == 1 {
		c.updateDeadlines(r.task.part.job)
	}
}

// finishStep applies the run times of a finished part to its job.
func (c *Cell) finishStep(p *part) {
	times, j := &p.times, p.job
	if times.count == 0 {
		return
	}
	if queueTime := c.queueRunTime(p); queueTime > 0 {
		weight := float64(min(times.count, maxStepRatioWeight))
		j.ratioSum += weight * times.sum / float64(times.count) / queueTime
		j.ratioWeight += weight
	}
	c.updateDeadlines(j)
}

// queueRunTime returns the estimate of the part's tasks, corrected by the run times of the queue, in seconds.
func (c *Cell) queueRunTime(p *part) float64 {
	j := p.job
	if j.queueFactor == nil {
		j.queueFactor = c.runTimeFactor(j.queue.Name)
	}
	return float64(p.step.Estimate) / 1000 * j.queueFactor.factor()
}

// priorRunTime returns the expected run time of the part's tasks before any of them has completed, in seconds: the estimate,
// corrected by the run times of the queue and of the finished steps of the job.
func (c *Cell) priorRunTime(p *part) float64 {
	return c.queueRunTime(p) * (jobRatioWeight + p.job.ratioSum) / (jobRatioWeight + p.job.ratioWeight)
}

// partRunTime returns the expected run time of the part's tasks on hosts of the usual speed, in seconds.
func (c *Cell) partRunTime(p *part) float64 {
	prior := c.priorRunTime(p)
	if p.times.count == 0 {
		return prior
	}
	weight := float64(estimateWeight)
	if prior == 0 {
		weight = 0
	}
	n := float64(p.times.count)
	return (weight*prior + n*p.times.mean(c.now)) / (weight + n)
}

// predictRunTime returns the expected run time of a run on its host.
func (c *Cell) predictRunTime(r *run) time.Duration {
	expected := c.partRunTime(r.task.part)
	if speed := r.host.speed.logSpeed; speed != 0 {
		expected *= math.Exp(-speed)
	}
	return seconds(expected)
}

// predictRemaining returns what jobRemaining does, from the run times of the part. The error of its estimate is assumed for
// the next step too, because the errors of estimates differ by job.
func (c *Cell) predictRemaining(p *part) time.Duration {
	expected := c.partRunTime(p)
	var longest int64
	for _, n := range p.successors {
		longest = max(longest, n.step.Estimate)
	}
	if p.step.Estimate > 0 {
		return seconds(expected * (1 + float64(longest)/float64(p.step.Estimate)))
	}
	next := 0.0
	for _, n := range p.successors {
		next = max(next, c.priorRunTime(n))
	}
	return seconds(expected + next)
}

// updateDeadlines recomputes when an unscheduled job should end from the run times of its steps: its objective depends on its
// actual work.
func (c *Cell) updateDeadlines(j *job) {
	if j.spec.Times > 0 || j.parts[0] == nil {
		return
	}
	ends := make([]float64, len(j.spec.Steps))
	longest := 0.0
	for i, s := range j.spec.Steps {
		for _, predecessor := range s.After {
			ends[i] = max(ends[i], ends[predecessor])
		}
		ends[i] += c.partRunTime(j.parts[0][i])
		longest = max(longest, ends[i])
	}
	j.setObjective(seconds(longest), 1)
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}
