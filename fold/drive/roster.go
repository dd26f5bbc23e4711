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
	// rosterWait bounds the wait for changes of the roster, and so the age of what is known; a leaving host must be known
	// within the platform's two seconds. rosterTime bounds a call beyond its wait.
	rosterWait = 700 * time.Millisecond
	rosterTime = 600 * time.Millisecond
	// rosterAll is how often the whole roster is read although its changes are followed.
	rosterAll = 15 * time.Second
	// rosterTimeAll bounds a reading of the whole roster.
	rosterTimeAll = 2 * time.Second
)

// roster is what the owner knows of the roster.
type roster struct {
	hosts   map[string]fold.Host
	version int64
	// read is when the whole roster was last read, or 0.
	read fold.Instant
}

// followRoster keeps the cell's hosts up to date until ctx ends.
func (d *Driver) followRoster(ctx context.Context) {
	var r roster
	failed := false
	for ctx.Err() == nil {
		changed, err := d.stepRoster(ctx, &r)
		if err != nil {
			if !failed && ctx.Err() == nil {
				d.log.Warn("Could not read the roster.", "error", err)
			}
			failed = true
			d.pause(ctx, pauseAfterError)
			continue
		}
		if failed {
			d.log.Info("Read the roster again.", "hosts", len(r.hosts))
			failed = false
		}
		if changed {
			d.update(func(c *core.Cell) { c.SetHosts(slices.Collect(maps.Values(r.hosts))) })
		}
		d.seatHosts()
	}
}

// stepRoster reads the roster, or waits for changes, and reports whether there are any.
func (d *Driver) stepRoster(ctx context.Context, r *roster) (changed bool, err error) {
	now := d.parts.Clock.Now()
	if r.read == 0 || now.Sub(r.read) > rosterAll {
		call, cancel := context.WithTimeout(ctx, rosterTimeAll)
		defer cancel()
		hosts, version, err := d.parts.Roster.Hosts(call)
		if err != nil {
			return false, err
		}
		r.hosts = make(map[string]fold.Host, len(hosts))
		for _, h := range hosts {
			r.hosts[h.ID] = h
		}
		r.version, r.read = version, now
		return true, nil
	}
	call, cancel := context.WithTimeout(ctx, rosterWait+rosterTime)
	defer cancel()
	changes, version, err := d.parts.Roster.Changes(call, r.version, rosterWait)
	if errorx.IsOfType(err, fold.Outdated) {
		r.read = 0
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
