package gauge

import (
	"math"
	"time"

	"plantainfold.example/fold"
)

const (
	// newestWeight is the minimum weight of a new observation in a running mean.
	newestWeight = 0.2
	// minTasks is the number of finished tasks of a job after which its observed run time replaces the declared one.
	minTasks = 3
	// minQueueTasks is the number of finished tasks of a team's queue after which they correct the declared run times of
	// the team's other jobs in the queue.
	minQueueTasks = 8
	// maxTeamQueues is the maximum number of team queues that are kept.
	maxTeamQueues = 1024
	// maxCorrection is the maximum ratio of observed to declared run times.
	maxCorrection = 50.0
)

// runningMean is a running mean and its mean absolute deviation.
type runningMean struct {
	count     int
	mean      float64
	deviation float64
}

func (s *runningMean) add(v float64) {
	s.count++
	share := max(newestWeight, 1/float64(s.count))
	difference := v - s.mean
	s.mean += share * difference
	if s.count > 1 {
		s.deviation += share * (math.Abs(difference) - s.deviation)
	}
}

// upperEstimate returns a value that few observations exceed.
func (s *runningMean) upperEstimate() float64 {
	return s.mean + 2*s.deviation
}

// Usage is the observed resource use and run time of a job's finished tasks.
type Usage struct {
	runTimes runningMean
	peak     fold.Resources
}

// Count returns the number of observed tasks.
func (u *Usage) Count() int {
	return u.runTimes.count
}

// Peak returns the highest observed use of each resource.
func (u *Usage) Peak() fold.Resources {
	return u.peak
}

// Mean returns the mean observed run time.
func (u *Usage) Mean() time.Duration {
	return time.Duration(u.runTimes.mean * float64(time.Millisecond))
}

type teamQueue struct {
	team  string
	queue string
}

// Estimator holds observed run times by team and queue. It is not safe for concurrent use.
type Estimator struct {
	byTeamQueue map[teamQueue]*runningMean
}

// New returns an empty Estimator.
func New() *Estimator {
	return &Estimator{byTeamQueue: make(map[teamQueue]*runningMean)}
}

// Observe records a task that is done.
func (b *Estimator) Observe(j fold.Job, u *Usage, e fold.TaskEvent) {
	u.peak = u.peak.Max(e.Usage)
	u.runTimes.add(float64(e.Ran))
	if j.Duration <= 0 {
		return
	}
	k := teamQueue{team: j.Team, queue: j.Queue}
	c, ok := b.byTeamQueue[k]
	if !ok {
		if len(b.byTeamQueue) >= maxTeamQueues {
			clear(b.byTeamQueue)
		}
		c = &runningMean{}
		b.byTeamQueue[k] = c
	}
	c.add(min(float64(e.Ran)/float64(j.Duration), maxCorrection))
}

// Estimate returns the expected run time of a task of the job: an upper estimate from the job's finished tasks if there are
// enough, else the declared time corrected by other jobs of the team's queue. It returns 0 if nothing is known.
func (b *Estimator) Estimate(j fold.Job, u *Usage) time.Duration {
	if u.runTimes.count >= minTasks {
		return time.Duration(u.runTimes.upperEstimate() * float64(time.Millisecond))
	}
	c, ok := b.byTeamQueue[teamQueue{team: j.Team, queue: j.Queue}]
	if !ok || c.count < minQueueTasks {
		return j.RunTime()
	}
	return time.Duration(c.upperEstimate() * float64(j.RunTime()))
}
