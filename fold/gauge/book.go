package gauge

import (
	"math"
	"time"

	"plantainfold.example/fold"
)

const (
	// weight is the part of a new observation in a mean.
	weight = 0.2
	// enoughTasks is how many ended tasks of a job outweigh its declared run time.
	enoughTasks = 3
	// enoughClass is how many ended tasks of a team's queue correct the declared run times of its other jobs.
	enoughClass = 8
	// maxClasses bounds the queues that are remembered.
	maxClasses = 1024
	// worst bounds the correction of declared run times.
	worst = 50.0
)

// spread is a running mean with its mean deviation.
type spread struct {
	count int
	mean  float64
	dev   float64
}

func (s *spread) add(v float64) {
	s.count++
	share := max(weight, 1/float64(s.count))
	off := v - s.mean
	s.mean += share * off
	if s.count > 1 {
		s.dev += share * (math.Abs(off) - s.dev)
	}
}

// high is a value that few observations exceed.
func (s *spread) high() float64 {
	return s.mean + 2*s.dev
}

// Usage is what ended tasks of one job took.
type Usage struct {
	ran  spread
	peak fold.Resources
}

// Count returns the number of ended tasks that were observed.
func (u *Usage) Count() int {
	return u.ran.count
}

// Peak returns the greatest observed use in each dimension.
func (u *Usage) Peak() fold.Resources {
	return u.peak
}

// Mean returns the mean observed run time.
func (u *Usage) Mean() time.Duration {
	return time.Duration(u.ran.mean * float64(time.Millisecond))
}

type class struct {
	team  string
	queue string
}

// Estimator holds observed run times. It is not safe for concurrent use.
type Estimator struct {
	classes map[class]*spread
}

// New returns an empty Book.
func New() *Estimator {
	return &Estimator{classes: make(map[class]*spread)}
}

// Observe records the end of a task that was done.
func (b *Estimator) Observe(j fold.Job, u *Usage, e fold.TaskEvent) {
	u.peak = u.peak.Max(e.Usage)
	u.ran.add(float64(e.Ran))
	if j.Duration <= 0 {
		return
	}
	k := class{team: j.Team, queue: j.Queue}
	c, ok := b.classes[k]
	if !ok {
		if len(b.classes) >= maxClasses {
			clear(b.classes)
		}
		c = &spread{}
		b.classes[k] = c
	}
	c.add(min(float64(e.Ran)/float64(j.Duration), worst))
}

// Estimate returns the run time to plan with: what tasks of the job took, or else the declared time corrected by what
// other jobs of the team's queue took; 0 if nothing is known.
func (b *Estimator) Estimate(j fold.Job, u *Usage) time.Duration {
	if u.ran.count >= enoughTasks {
		return time.Duration(u.ran.high() * float64(time.Millisecond))
	}
	c, ok := b.classes[class{team: j.Team, queue: j.Queue}]
	if !ok || c.count < enoughClass {
		return j.RunTime()
	}
	return time.Duration(c.high() * float64(j.RunTime()))
}
