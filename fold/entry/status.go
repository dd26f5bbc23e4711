package entry

import (
	"context"
	"slices"
	"strings"

	"plantainfold.example/fold"
	"plantainfold.example/fold/owner"
)

// Status describes the entry and what it sees of the cell.
func (e *Entry) Status(context.Context) fold.Status {
	mode := e.standing()
	s := fold.Status{
		Entry:    e.settings.Name,
		Domain:   e.settings.Domain,
		Standing: mode != owner.ModeNone,
		Leaving:  e.isLeaving(),
		Mode:     string(mode),
		Revision: e.current.Load().number,
		Entries:  []string{e.settings.Name},
	}
	for _, b := range e.heartbeats() {
		s.Entries = append(s.Entries, b.ID)
	}
	slices.Sort(s.Entries)
	for _, p := range e.allPools() {
		s.Pools = append(s.Pools, p.status())
	}
	slices.SortFunc(s.Pools, func(a, b fold.PoolStatus) int { return strings.Compare(a.Pool, b.Pool) })
	return s
}
