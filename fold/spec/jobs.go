package spec

import (
	"fmt"
	"time"

	"plantainfold.example/fold"
)

// Bounds of declared jobs.
const (
	maxCount   = 10_000
	maxRetries = 100
	minEvery   = time.Second
)

func (c *checker) jobs() {
	seen := make(map[string]bool)
	for i, j := range c.manifest.Jobs {
		path := fmt.Sprintf("jobs[%d]", i)
		c.name(path, j.Name, seen)
		c.team(path+".team", j.Team)
		c.resources(path, j.Resources)
		c.jobQueue(path, j)
		c.jobShape(path, j)
		c.jobTimes(path, j)
		c.jobLimit(path, j)
	}
}

func (c *checker) jobQueue(path string, j Job) {
	q, ok := c.manifest.Queue(j.Queue)
	switch {
	case !ok:
		c.fault(path+".queue", fmt.Sprintf("queue %q is not declared", j.Queue), "declare it under queues")
	case q.Service != "":
		c.fault(path+".queue", fmt.Sprintf("queue %q takes requests, not jobs", j.Queue), "name a queue without service")
	case !q.Allows(j.Team):
		c.fault(path+".team", fmt.Sprintf("team %q may not use queue %q", j.Team, j.Queue), "add the team to the queue")
	}
}

func (c *checker) jobShape(path string, j Job) {
	if j.Kind != fold.Batch && j.Kind != fold.Gang {
		c.fault(path+".kind", fmt.Sprintf("is %q", j.Kind), "use batch or gang, or declare a service under services")
	}
	if j.Count < 1 || j.Count > maxCount {
		c.fault(path+".count", fmt.Sprintf("is %d", j.Count), "give 1 to 10000 tasks")
	}
	if j.Retries < 0 || j.Retries > maxRetries {
		c.fault(path+".retries", fmt.Sprintf("is %d", j.Retries), "give 0 to 100")
	}
}

func (c *checker) jobTimes(path string, j Job) {
	if j.Duration.Std() < time.Millisecond {
		c.fault(path+".duration", "is shorter than 1ms", `give the run time of a task such as "20m"`)
	}
	if j.Every.Std() < minEvery {
		c.fault(path+".every", "is shorter than 1s", `give the period such as "24h"`)
	}
	if j.At < 0 || j.At >= max(j.Every, 1) {
		c.fault(path+".at", "lies outside the period", "give 0 or more and less than every")
	}
}

func (c *checker) jobLimit(path string, j Job) {
	team, ok := c.manifest.Team(j.Team)
	need := j.Resources
	if j.Kind == fold.Gang {
		need = need.Times(int64(min(max(j.Count, 1), maxCount)))
	}
	if ok && !need.Fits(team.Limit) {
		c.fault(path+".resources", fmt.Sprintf("needs %s at once, which exceeds the limit of team %s, %s", need, j.Team, team.Limit),
			"ask for less, or raise the limit")
	}
}
