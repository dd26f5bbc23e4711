package entry

import (
	"bytes"
	"context"
	"maps"
	"time"

	"github.com/joomcode/errorx"

	"plantainfold.example/fold"
	"plantainfold.example/fold/keys"
	"plantainfold.example/fold/owner"
	"plantainfold.example/fold/spec"
	"plantainfold.example/fold/store"
)

// maxReadTries is the maximum number of attempts to read a configuration that changes while its rows are read.
const maxReadTries = 4

// revision is one revision of the configuration. It is immutable.
type revision struct {
	number   int64
	head     headRow
	text     []byte
	manifest spec.Manifest
	ring     keys.Ring
	drains   map[string]fold.Drain
}

// headRow is the row config/head, which names the newest revision.
type headRow struct {
	Revision int64  `json:"revision"`
	Who      string `json:"who"`
	// Writer is unique for each change, so that a writer recognises its own row when the reply to its commit was lost.
	Writer string `json:"writer"`
	// Hash is the SHA-256 of the manifest.
	Hash []byte `json:"hash"`
}

// delta holds what a revision changes relative to the one before it.
type delta struct {
	Head headRow `json:"head"`
	// Text is the new manifest, or empty if the revision does not change the manifest.
	Text      []byte        `json:"text,omitempty"`
	Keys      []keys.Record `json:"keys,omitempty"`
	Drains    []fold.Drain  `json:"drains,omitempty"`
	Undrained []string      `json:"undrained,omitempty"`
}

// withDelta returns the revision that results from applying d to r.
func (r *revision) withDelta(d delta) (*revision, error) {
	next := &revision{number: d.Head.Revision, head: d.Head, text: r.text, manifest: r.manifest, ring: r.ring.With(d.Keys), drains: r.drains}
	if len(d.Text) > 0 {
		manifest, err := spec.Parse("manifest", d.Text)
		if err != nil {
			return nil, err
		}
		next.text, next.manifest = d.Text, manifest
	}
	if len(d.Drains)+len(d.Undrained) > 0 {
		next.drains = make(map[string]fold.Drain, len(r.drains)+len(d.Drains))
		maps.Copy(next.drains, r.drains)
		for _, drain := range d.Drains {
			next.drains[drain.ID()] = drain
		}
		for _, id := range d.Undrained {
			delete(next.drains, id)
		}
	}
	return next, nil
}

// readHead reads the newest configuration from the table service and puts it in force at this entry.
func (e *Entry) readHead(ctx context.Context) error {
	for range maxReadTries {
		sent := e.clock.Now()
		row, err := store.Get[headRow](ctx, e.table, store.HeadKey)
		if err != nil && !errorx.IsOfType(err, fold.NotFound) {
			return err
		}
		if row.Value.Revision > e.current.Load().number {
			err = e.install(ctx, row.Value)
			if errorx.IsOfType(err, fold.Conflict) {
				continue
			}
			if err != nil {
				return err
			}
		}
		e.withMachine(func(m *owner.Machine) { m.RecordHeadRead(sent) })
		return nil
	}
	return fold.Refuse(fold.Unavailable, "wait", "the configuration changed %d times while it was read", maxReadTries)
}

// install reads the manifest, keys and drains of a head and puts them in force. On a Conflict error the caller reads the
// head again.
func (e *Entry) install(ctx context.Context, head headRow) error {
	text, err := e.readManifest(ctx, head)
	if err != nil {
		return err
	}
	rows, err := store.Scan[keys.Record](ctx, e.table, store.KeyPrefix)
	if err != nil {
		return err
	}
	drains, err := store.Scan[fold.Drain](ctx, e.table, drainPrefix)
	if err != nil {
		return err
	}
	full := delta{Head: head, Text: text}
	for _, row := range rows {
		full.Keys = append(full.Keys, row.Value)
	}
	for _, row := range drains {
		full.Drains = append(full.Drains, row.Value)
	}
	base := &revision{ring: keys.NewRing([]byte(e.settings.Cellkey), []keys.Record{e.rootRecord()})}
	next, err := base.withDelta(full)
	if err != nil {
		return err
	}
	e.replaceRevision(func(old *revision) *revision {
		if old.number >= head.Revision {
			return nil
		}
		return next
	})
	return nil
}

// applyDelta puts a revision in force by its delta. It reports false if the revision before it is not in force here.
func (e *Entry) applyDelta(d delta) (bool, error) {
	var failed error
	known := true
	e.replaceRevision(func(old *revision) *revision {
		if old.number >= d.Head.Revision {
			return nil
		}
		if old.number+1 != d.Head.Revision {
			known = false
			return nil
		}
		next, err := old.withDelta(d)
		failed = err
		return next
	})
	return known && failed == nil, failed
}

// replaceRevision puts the revision that next returns in force, unless it is nil. It passes the revision in force to
// next, which must return nil if that one is as new as its own.
func (e *Entry) replaceRevision(next func(old *revision) *revision) {
	e.revisionMu.Lock()
	defer e.revisionMu.Unlock()
	old := e.current.Load()
	r := next(old)
	if r == nil {
		return
	}
	// The revision is shown only once its drains apply.
	e.applyDrains(r.drains)
	e.current.Store(r)
	e.log.Info("Configuration in force.", "revision", r.number, "who", r.head.Who)
	if !bytes.Equal(old.text, r.text) {
		e.refreshLimits()
	}
}

// Identify returns the caller to whom the key belongs.
func (e *Entry) Identify(_ context.Context, key string) (fold.Caller, error) {
	if key == "" {
		return fold.Caller{}, nil
	}
	if err := e.requireFresh(); err != nil {
		return fold.Caller{}, err
	}
	return e.current.Load().ring.Identify(key, time.Now())
}

// Manifest returns the manifest in force and its revision.
func (e *Entry) Manifest(ctx context.Context, c fold.Caller) (fold.Revision, []byte, error) {
	if err := requireOperator(c); err != nil {
		return fold.Revision{}, nil, err
	}
	return e.Spread(ctx), e.current.Load().text, nil
}

// Spread lists the registered entries that have reported the newest revision known here as in force, and those that have
// not.
func (e *Entry) Spread(context.Context) fold.Revision {
	head := e.current.Load().head
	reported := e.reported.revisions()
	for _, b := range e.heartbeats() {
		reported[b.ID+"/"+b.Incarnation] = max(reported[b.ID+"/"+b.Incarnation], b.Revision)
	}
	var peers []owner.Entry
	e.withMachine(func(m *owner.Machine) { peers = m.Peers(e.clock.Now()) })
	out := fold.Revision{Revision: head.Revision, Who: head.Who, InForce: []string{e.settings.Name}}
	for _, p := range peers {
		if reported[p.ID+"/"+p.Incarnation] >= head.Revision {
			out.InForce = append(out.InForce, p.ID)
			continue
		}
		out.Missing = append(out.Missing, p.ID)
	}
	return out
}

// requireOperator refuses callers without an operator key.
func requireOperator(c fold.Caller) error {
	if c.Operator {
		return nil
	}
	return fold.Refuse(fold.Forbidden, "use an operator key", "this needs an operator key")
}
