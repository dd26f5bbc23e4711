package spec

import (
	"fmt"
	"strings"
	"unicode"

	"plantainfold.example/fold"
)

// Bounds of declarations.
const (
	maxName     = 64
	maxShare    = 1_000_000
	maxRacks    = 64
	maxReplicas = 10_000
)

// Check returns an error that lists every fault of the manifest with its path and remedy, or nil.
func (m Manifest) Check() error {
	c := &checker{manifest: m}
	c.teams()
	c.accounts()
	c.queues()
	c.services()
	c.jobs()
	c.policy()
	c.pool()
	c.retire()
	return c.err()
}

type checker struct {
	manifest Manifest
	faults   []string
}

func (c *checker) err() error {
	if len(c.faults) == 0 {
		return nil
	}
	return fold.Refuse(fold.Invalid, "correct the paths named", "%s", strings.Join(c.faults, "; "))
}

func (c *checker) fault(path, what, remedy string) {
	c.faults = append(c.faults, fmt.Sprintf("%s: %s (%s)", path, what, remedy))
}

func (c *checker) teams() {
	seen := make(map[string]bool)
	for i, t := range c.manifest.Teams {
		path := fmt.Sprintf("teams[%d]", i)
		c.name(path, t.Name, seen)
		c.share(path, t.Share)
		if t.Limit.Negative() || t.Limit.IsZero() {
			c.fault(path+".limit", "allows nothing", "give cpu in thousandths of a core and memory in MiB")
		}
	}
}

func (c *checker) accounts() {
	seen := make(map[string]bool)
	for i, a := range c.manifest.Accounts {
		path := fmt.Sprintf("accounts[%d]", i)
		c.name(path, a.Name, seen)
		c.share(path, a.Share)
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

// services also checks that the declared replicas of a team fit its limit together, because the system promises to
// run all of them.
func (c *checker) services() {
	seen := make(map[string]bool)
	needs := make(map[string]fold.Resources)
	for i, s := range c.manifest.Services {
		path := fmt.Sprintf("services[%d]", i)
		c.name(path, s.Name, seen)
		c.team(path+".team", s.Team)
		c.resources(path, s.Resources)
		if s.Replicas < 0 || s.Replicas > maxReplicas {
			c.fault(path+".replicas", fmt.Sprintf("is %d", s.Replicas), "give 0 to 10000")
			continue
		}
		needs[s.Team] = needs[s.Team].Add(s.Resources.Times(int64(s.Replicas)))
		team, ok := c.manifest.Team(s.Team)
		if ok && !needs[s.Team].Fits(team.Limit) {
			c.fault(path+".replicas", fmt.Sprintf("the services of team %s need %s, which exceeds its limit of %s", s.Team, needs[s.Team], team.Limit),
				"lower replicas or resources, or raise the limit")
		}
	}
}

func (c *checker) policy() {
	for _, w := range []struct {
		field string
		value float64
	}{{"waiting", c.manifest.Policy.Waiting}, {"packing", c.manifest.Policy.Packing}, {"fairness", c.manifest.Policy.Fairness}} {
		if w.value < 0 {
			c.fault("policy."+w.field, "is negative", "give a weight of 0 or more")
		}
	}
}

func (c *checker) pool() {
	if n := c.manifest.Pool.Racks; n < 0 || n > maxRacks {
		c.fault("pool.racks", fmt.Sprintf("is %d", n), "give 1 to 64, or leave it out")
	}
}

func (c *checker) retire() {
	seen := make(map[string]bool)
	for i, r := range c.manifest.Retire {
		path := fmt.Sprintf("retire[%d]", i)
		switch r.Kind {
		case KindService, KindQueue, KindTeam:
		default:
			c.fault(path+".kind", fmt.Sprintf("is %q", r.Kind), "use service, queue or team")
		}
		if r.Name == "" {
			c.fault(path+".name", "is empty", "name what is to end")
		}
		if seen[r.Kind+"/"+r.Name] {
			c.fault(path, fmt.Sprintf("%s %q stands twice", r.Kind, r.Name), "remove one of them")
		}
		seen[r.Kind+"/"+r.Name] = true
		if r.Grace < 0 {
			c.fault(path+".grace", "is negative", `give a time such as "10m"`)
		}
	}
}

func (c *checker) name(path, name string, seen map[string]bool) {
	switch {
	case name == "":
		c.fault(path+".name", "is empty", "give a name")
	case len(name) > maxName || strings.ContainsFunc(name, unusable):
		c.fault(path+".name", fmt.Sprintf("%.80q cannot be used", name), "give at most 64 characters without slash, space or control characters")
	case seen[name]:
		c.fault(path+".name", fmt.Sprintf("%q stands twice", name), "remove one of them")
	}
	seen[name] = true
}

// unusable characters would end a path, a table key or a column of a printed table.
func unusable(r rune) bool {
	return r == '/' || unicode.IsSpace(r) || unicode.IsControl(r)
}

func (c *checker) share(path string, share int) {
	if share <= 0 || share > maxShare {
		c.fault(path+".share", fmt.Sprintf("is %d", share), "give a weight of 1 to 1000000")
	}
}

func (c *checker) resources(path string, r fold.Resources) {
	if r.Negative() || r.CPU == 0 || r.Memory == 0 {
		c.fault(path+".resources", "is incomplete", "give cpu in thousandths of a core and memory in MiB, both above 0")
	}
}

func (c *checker) team(path, name string) {
	if _, ok := c.manifest.Team(name); !ok {
		c.fault(path, fmt.Sprintf("team %q is not declared", name), "declare it under teams")
	}
}
