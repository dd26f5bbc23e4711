package spec

import (
	"fmt"
	"strings"

	"plantainfold.example/fold"
)

// Check returns an error that lists every fault of the manifest with its path and remedy, or nil.
func (m Manifest) Check() error {
	c := &checker{manifest: m}
	c.teams()
	c.queues()
	c.services()
	if len(c.faults) == 0 {
		return nil
	}
	return fold.Refuse(fold.Invalid, "correct the paths named", "%s", strings.Join(c.faults, "; "))
}

type checker struct {
	manifest Manifest
	faults   []string
}

func (c *checker) fault(path, what, remedy string) {
	c.faults = append(c.faults, fmt.Sprintf("%s: %s (%s)", path, what, remedy))
}

func (c *checker) teams() {
	seen := make(map[string]bool)
	for i, t := range c.manifest.Teams {
		path := fmt.Sprintf("teams[%d]", i)
		c.name(path, t.Name, seen)
		if t.Share <= 0 {
			c.fault(path+".share", "is not positive", "give a weight of at least 1")
		}
		if t.Limit.Negative() || t.Limit.IsZero() {
			c.fault(path+".limit", "allows nothing", "give cpu in thousandths of a core and memory in MiB")
		}
	}
}

func (c *checker) queues() {
	seen := make(map[string]bool)
	for i, q := range c.manifest.Queues {
		path := fmt.Sprintf("queues[%d]", i)
		c.name(path, q.Name, seen)
		if q.Open {
			c.team(path+".team", q.Team)
		}
		for j, t := range q.Teams {
			c.team(fmt.Sprintf("%s.teams[%d]", path, j), t)
		}
		if !q.Open && len(q.Teams) == 0 {
			c.fault(path+".teams", "is empty", "name the teams that may submit, or set open")
		}
	}
}

func (c *checker) services() {
	seen := make(map[string]bool)
	for i, s := range c.manifest.Services {
		path := fmt.Sprintf("services[%d]", i)
		c.name(path, s.Name, seen)
		c.team(path+".team", s.Team)
		if s.Replicas < 0 {
			c.fault(path+".replicas", "is negative", "give 0 or more")
		}
	}
}

func (c *checker) name(path, name string, seen map[string]bool) {
	switch {
	case name == "":
		c.fault(path+".name", "is empty", "give a name")
	case seen[name]:
		c.fault(path+".name", fmt.Sprintf("%q stands twice", name), "remove one of them")
	}
	seen[name] = true
}

func (c *checker) team(path, name string) {
	if _, ok := c.manifest.Team(name); !ok {
		c.fault(path, fmt.Sprintf("team %q is not declared", name), "declare it under teams")
	}
}
