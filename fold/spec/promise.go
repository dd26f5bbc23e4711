package spec

import (
	"fmt"
	"strings"

	"plantainfold.example/fold"
)

// CheckChange returns an error if replacing old by m would break a promise, with the path, the reason and the remedy.
// Work was accepted for the teams, queues and services of old, so each of them ends through retire and not by
// disappearing.
func (m Manifest) CheckChange(old Manifest) error {
	c := &checker{manifest: m}
	for _, t := range old.Teams {
		_, kept := m.Team(t.Name)
		c.kept(kept, "teams", KindTeam, t.Name, old)
	}
	for _, q := range old.Queues {
		_, kept := m.Queue(q.Name)
		c.kept(kept, "queues", KindQueue, q.Name, old)
	}
	for _, s := range old.Services {
		_, kept := m.Service(s.Name)
		c.kept(kept, "services", KindService, s.Name, old)
	}
	if len(c.faults) == 0 {
		return nil
	}
	return fold.Refuse(fold.Invalid, "retire what is to end, and remove it afterwards",
		"the change would break a promise: %s", strings.Join(c.faults, "; "))
}

func (c *checker) kept(kept bool, section, kind, name string, old Manifest) {
	if kept || c.manifest.Retires(kind, name) || old.Retires(kind, name) {
		return
	}
	c.fault(section+"."+name, "is removed while work for it may be accepted",
		fmt.Sprintf(`add {"kind": %q, "name": %q, "grace": "10m"} to retire`, kind, name))
}
