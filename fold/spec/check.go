package spec

import (
	"fmt"
	"strings"
	"unicode"

	"plantainfold.example/fold"
)

const (
	// maxName bounds the length of a declared name, in bytes.
	maxName = 64
	// maxShare bounds the weight of a team or a client account.
	maxShare = 1_000_000
	// maxRacks bounds the number of racks of a pool.
	maxRacks = 64
	// maxReplicas bounds the number of replicas of a service.
	maxReplicas = 10_000
)

// Check returns nil for a valid manifest, or an error that lists the path and the remedy of every fault.
func (m Manifest) Check() error {
	c := &checker{manifest: m}
	c.checkTeams()
	c.checkAccounts()
	c.checkQueues()
	c.checkServices()
	c.checkJobs()
	c.checkPolicy()
	c.checkPool()
	c.checkRetire()
	return c.result()
}

// checker collects the faults of a manifest.
type checker struct {
	manifest Manifest
	// faults has one text per fault: path, fault and remedy.
	faults []string
}

func (c *checker) result() error {
	if len(c.faults) == 0 {
		return nil
	}
	return fold.Refuse(fold.Invalid, "correct the paths named", "%s", strings.Join(c.faults, "; "))
}

func (c *checker) addFault(path, what, remedy string) {
	c.faults = append(c.faults, fmt.Sprintf("%s: %s (%s)", path, what, remedy))
}

func (c *checker) checkTeams() {
	seen := make(map[string]bool)
	for i, t := range c.manifest.Teams {
		path := fmt.Sprintf("teams[%d]", i)
		c.checkName(path, t.Name, seen)
		c.checkShare(path, t.Share)
		if t.Limit.Negative() || t.Limit.IsZero() {
			c.addFault(path+".limit", "allows nothing", "give cpu in thousandths of a core and memory in MiB")
		}
	}
}

func (c *checker) checkAccounts() {
	seen := make(map[string]bool)
	for i, a := range c.manifest.Accounts {
		path := fmt.Sprintf("accounts[%d]", i)
		c.checkName(path, a.Name, seen)
		c.checkShare(path, a.Share)
	}
}

func (c *checker) checkQueues() {
	seen := make(map[string]bool)
	for i, q := range c.manifest.Queues {
		path := fmt.Sprintf("queues[%d]", i)
		c.checkName(path, q.Name, seen)
		if q.Open {
			c.checkTeam(path+".team", q.Team)
		}
		for j, t := range q.Teams {
			c.checkTeam(fmt.Sprintf("%s.teams[%d]", path, j), t)
		}
		if !q.Open && len(q.Teams) == 0 {
			c.addFault(path+".teams", "is empty", "name the teams that may submit, or set open")
		}
	}
}

// checkServices checks each service, and that all declared replicas of a team fit into the limit of the team together,
// because the system promises to run all of them.
func (c *checker) checkServices() {
	seen := make(map[string]bool)
	needs := make(map[string]fold.Resources)
	for i, s := range c.manifest.Services {
		path := fmt.Sprintf("services[%d]", i)
		c.checkName(path, s.Name, seen)
		c.checkTeam(path+".team", s.Team)
		c.checkResources(path, s.Resources)
		if s.Replicas < 0 || s.Replicas > maxReplicas {
			c.addFault(path+".replicas", fmt.Sprintf("is %d", s.Replicas), "give 0 to 10000")
			continue
		}
		needs[s.Team] = needs[s.Team].Add(s.Resources.Times(int64(s.Replicas)))
		team, ok := c.manifest.Team(s.Team)
		if ok && !needs[s.Team].Fits(team.Limit) {
			c.addFault(path+".replicas", fmt.Sprintf("the services of team %s need %s, which exceeds its limit of %s", s.Team, needs[s.Team], team.Limit),
				"lower replicas or resources, or raise the limit")
		}
	}
}

func (c *checker) checkPolicy() {
	for _, w := range []struct {
		field string
		value float64
	}{{"waiting", c.manifest.Policy.Waiting}, {"packing", c.manifest.Policy.Packing}, {"fairness", c.manifest.Policy.Fairness}} {
		if w.value < 0 {
			c.addFault("policy."+w.field, "is negative", "give a weight of 0 or more")
		}
	}
}

func (c *checker) checkPool() {
	if n := c.manifest.Pool.Racks; n < 0 || n > maxRacks {
		c.addFault("pool.racks", fmt.Sprintf("is %d", n), "give 1 to 64, or leave it out")
	}
}

func (c *checker) checkRetire() {
	seen := make(map[string]bool)
	for i, r := range c.manifest.Retire {
		path := fmt.Sprintf("retire[%d]", i)
		switch r.Kind {
		case KindService, KindQueue, KindTeam:
		default:
			c.addFault(path+".kind", fmt.Sprintf("is %q", r.Kind), "use service, queue or team")
		}
		if r.Name == "" {
			c.addFault(path+".name", "is empty", "name the service, queue or team to retire")
		}
		if seen[r.Kind+"/"+r.Name] {
			c.addFault(path, fmt.Sprintf("%s %q is retired twice", r.Kind, r.Name), "remove one of them")
		}
		seen[r.Kind+"/"+r.Name] = true
		if r.Grace < 0 {
			c.addFault(path+".grace", "is negative", `give a time such as "10m"`)
		}
	}
}

// checkName checks that the name is valid and not yet in seen, and adds it to seen.
func (c *checker) checkName(path, name string, seen map[string]bool) {
	switch {
	case name == "":
		c.addFault(path+".name", "is empty", "give a name")
	case len(name) > maxName || strings.ContainsFunc(name, forbiddenInName):
		c.addFault(path+".name", fmt.Sprintf("%.80q cannot be used", name), "give at most 64 characters without slash, space or control characters")
	case seen[name]:
		c.addFault(path+".name", fmt.Sprintf("%q is declared twice", name), "remove one of them")
	}
	seen[name] = true
}

// forbiddenInName reports whether names must not contain the character, because it separates the parts of a path, the parts
// of a table key or the columns of a printed table.
func forbiddenInName(r rune) bool {
	return r == '/' || unicode.IsSpace(r) || unicode.IsControl(r)
}

func (c *checker) checkShare(path string, share int) {
	if share <= 0 || share > maxShare {
		c.addFault(path+".share", fmt.Sprintf("is %d", share), "give a weight of 1 to 1000000")
	}
}

func (c *checker) checkResources(path string, r fold.Resources) {
	if r.Negative() || r.CPU == 0 || r.Memory == 0 {
		c.addFault(path+".resources", "is incomplete", "give cpu in thousandths of a core and memory in MiB, both above 0")
	}
}

// checkTeam checks that the manifest declares the team.
func (c *checker) checkTeam(path, name string) {
	if _, ok := c.manifest.Team(name); !ok {
		c.addFault(path, fmt.Sprintf("team %q is not declared", name), "declare it under teams")
	}
}
