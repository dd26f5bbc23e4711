package spec

import (
	"fmt"
	"time"

	"plantainfold.example/fold"
)

const (
	// maxCount bounds the number of tasks of a job.
	maxCount = 10_000
	// maxRetries bounds the retries of a job.
	maxRetries = 100
	// minPeriod is the shortest period of a job.
	minPeriod = time.Second
)

func (c *checker) checkJobs() {
	seen := make(map[string]bool)
	for i, j := range c.manifest.Jobs {
		path := fmt.Sprintf("jobs[%d]", i)
		c.checkName(path, j.Name, seen)
		c.checkTeam(path+".team", j.Team)
		c.checkResources(path, j.Resources)
		c.checkJobQueue(path, j)
		c.checkJobShape(path, j)
		c.checkJobTimes(path, j)
		c.checkJobLimit(path, j)
	}
}

// checkJobQueue checks that the queue accepts jobs of the team.
func (c *checker) checkJobQueue(path string, j Job) {
	q, ok := c.manifest.Queue(j.Queue)
	switch {
	case !ok:
		c.addFault(path+".queue", fmt.Sprintf("queue %q is not declared", j.Queue), "declare it under queues")
	case q.Service != "":
		c.addFault(path+".queue", fmt.Sprintf("queue %q takes requests, not jobs", j.Queue), "name a queue without service")
	case !q.Allows(j.Team):
		c.addFault(path+".team", fmt.Sprintf("team %q may not use queue %q", j.Team, j.Queue), "add the team to the queue")
	}
}

func (c *checker) checkJobShape(path string, j Job) {
	if j.Kind != fold.Batch && j.Kind != fold.Gang {
		c.addFault(path+".kind", fmt.Sprintf("is %q", j.Kind), "use batch or gang, or declare a service under services")
	}
	if j.Count < 1 || j.Count > maxCount {
		c.addFault(path+".count", fmt.Sprintf("is %d", j.Count), "give 1 to 10000 tasks")
	}
	if j.Retries < 0 || j.Retries > maxRetries {
		c.addFault(path+".retries", fmt.Sprintf("is %d", j.Retries), "give 0 to 100")
	}
}

func (c *checker) checkJobTimes(path string, j Job) {
	if j.Duration.Std() < time.Millisecond {
		c.addFault(path+".duration", "is shorter than 1ms", `give the run time of a task such as "20m"`)
	}
	if j.Period.Std() < minPeriod {
		c.addFault(path+".every", "is shorter than 1s", `give the period such as "24h"`)
	}
	if j.Offset < 0 || j.Offset >= max(j.Period, 1) {
		c.addFault(path+".at", "lies outside the period", "give 0 or more and less than every")
	}
}

// checkJobLimit checks that the limit of the team suffices for one task of a batch job, or for all tasks of a gang, which
// run at the same time.
func (c *checker) checkJobLimit(path string, j Job) {
	team, ok := c.manifest.Team(j.Team)
	need := j.Resources
	if j.Kind == fold.Gang {
		need = need.Times(int64(min(max(j.Count, 1), maxCount)))
	}
	if ok && !need.Fits(team.Limit) {
		c.addFault(path+".resources", fmt.Sprintf("needs %s at once, which exceeds the limit of team %s, %s", need, j.Team, team.Limit),
			"ask for less, or raise the limit")
	}
}
