package spec

import (
	"fmt"
	"strings"

	"plantainfold.example/fold"
)

// CheckChange returns an error with paths, reasons and remedies if m lacks a team, queue or service of old and neither
// of the manifests retires it. The system may have accepted work for it, and only retiring ends that work gracefully.
func (m Manifest) CheckChange(old Manifest) error {
	c := &checker{manifest: m}
	for _, t := range old.Teams {
		_, kept := m.Team(t.Name)
		c.checkRemoval(kept, "teams", KindTeam, t.Name, old)
	}
	for _, q := range old.Queues {
		_, kept := m.Queue(q.Name)
		c.checkRemoval(kept, "queues", KindQueue, q.Name, old)
	}
	for _, s := range old.Services {
		_, kept := m.Service(s.Name)
		c.checkRemoval(kept, "services", KindService, s.Name, old)
	}
	if len(c.faults) == 0 {
		return nil
	}
	return fold.Refuse(fold.Invalid, "add an entry under retire first, and remove the declaration afterwards",
		"the change removes declarations that are not retired: %s", strings.Join(c.faults, "; "))
}

// checkRemoval adds a fault if a declaration of old is neither kept nor retired.
func (c *checker) checkRemoval(kept bool, section, kind, name string, old Manifest) {
	if kept || c.manifest.Retires(kind, name) || old.Retires(kind, name) {
		return
	}
	c.addFault(section+"."+name, "is removed while work for it may be accepted",
		fmt.Sprintf(`add {"kind": %q, "name": %q, "grace": "10m"} to retire`, kind, name))
}
