package drive

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/joomcode/errorx"

	"plantainfold.example/fold"
	"plantainfold.example/fold/core"
)

const (
	// rosterWait is how long one read waits for changes of the roster, and so limits the age of the owner's copy. A leaving
	// host must be known within the platform's two seconds.
	rosterWait = 700 * time.Millisecond
	// rosterTimeout limits a read of changes in addition to rosterWait.
	rosterTimeout = 600 * time.Millisecond
	// fullRosterInterval is how often the whole roster is read although its changes are followed.
	fullRosterInterval = 15 * time.Second
	// fullRosterTimeout limits a read of the whole roster.
	fullRosterTimeout = 2 * time.Second
)

// roster is the owner's copy of the roster.
type roster struct {
	hosts   map[string]fold.Host
	version int64
	// lastFullRead is when the whole roster was last read, or 0.
	lastFullRead fold.Instant
}

// followRoster keeps the hosts of the cell up to date until ctx ends.
func (d *Driver) followRoster(ctx context.Context) {
	var r roster
	failed := false
	for ctx.Err() == nil {
		changed, err := d.readRoster(ctx, &r)
		if err != nil {
			if !failed && ctx.Err() == nil {
				d.log.Warn("Could not read the roster; trying again.", "error", err)
			}
			failed = true
			d.pause(ctx, retryDelay)
			continue
		}
		if failed {
			d.log.Info("Read the roster again.", "hosts", len(r.hosts))
			failed = false
		}
		if changed {
			d.updateCell(func(c *core.Cell) { c.SetHosts(slices.Collect(maps.Values(r.hosts))) })
		}
		d.assignHosts()
	}
}

// readRoster reads the whole roster or waits for changes, and reports whether there are any.
func (d *Driver) readRoster(ctx context.Context, r *roster) (changed bool, err error) {
	now := d.parts.Clock.Now()
	if r.lastFullRead == 0 || now.Sub(r.lastFullRead) > fullRosterInterval {
		call, cancel := context.WithTimeout(ctx, fullRosterTimeout)
		defer cancel()
		hosts, version, err := d.parts.Roster.Hosts(call)
		if err != nil {
			return false, err
		}
		r.hosts = make(map[string]fold.Host, len(hosts))
		for _, h := range hosts {
			r.hosts[h.ID] = h
		}
		r.version, r.lastFullRead = version, now
		return true, nil
	}
	call, cancel := context.WithTimeout(ctx, rosterWait+rosterTimeout)
	defer cancel()
	changes, version, err := d.parts.Roster.Changes(call, r.version, rosterWait)
	if errorx.IsOfType(err, fold.Outdated) {
		r.lastFullRead = 0
		return false, nil
	}
	if err != nil {
		return false, err
	}
	r.version = version
	for _, h := range changes.Hosts {
		r.hosts[h.ID] = h
	}
	for _, id := range changes.Gone {
		delete(r.hosts, id)
	}
	return len(changes.Hosts)+len(changes.Gone) > 0, nil
}
