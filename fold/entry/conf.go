package entry

import (
	"context"
	"time"

	"github.com/joomcode/errorx"

	"plantainfold.example/fold"
	"plantainfold.example/fold/keys"
	"plantainfold.example/fold/owner"
	"plantainfold.example/fold/quota"
	"plantainfold.example/fold/spec"
	"plantainfold.example/fold/store"
)

// applyTries bounds how often an apply is tried again when only allotments changed meanwhile.
const applyTries = 8

// revision is the configuration in force at this entry.
type revision struct {
	number   int64
	who      string
	text     []byte
	manifest spec.Manifest
	ring     keys.Ring
}

// headRow is the row config/head.
type headRow struct {
	Revision int64  `json:"revision"`
	Who      string `json:"who"`
	// Manifest is the text of the manifest in force.
	Manifest []byte `json:"manifest"`
}

// readHead brings the newest configuration into force at this entry.
func (e *Entry) readHead(ctx context.Context) error {
	sent := e.clock.Now()
	row, err := store.Get[headRow](ctx, e.table, store.HeadKey)
	if errorx.IsOfType(err, fold.NotFound) {
		e.member(func(m *owner.Machine) { m.Confirmed(sent) })
		return nil
	}
	if err != nil {
		return err
	}
	if row.Value.Revision > e.current.Load().number {
		if err := e.install(ctx, row.Value); err != nil {
			return err
		}
	}
	e.member(func(m *owner.Machine) { m.Confirmed(sent) })
	return nil
}

// install reads the keys of a revision and puts both in force; an older revision never replaces a newer one.
func (e *Entry) install(ctx context.Context, head headRow) error {
	manifest, err := spec.Parse("manifest", head.Manifest)
	if err != nil {
		return err
	}
	rows, err := store.Scan[keys.Record](ctx, e.table, store.KeyPrefix)
	if err != nil {
		return err
	}
	records := []keys.Record{e.rootRecord()}
	for _, row := range rows {
		records = append(records, row.Value)
	}
	next := &revision{
		number:   head.Revision,
		who:      head.Who,
		text:     head.Manifest,
		manifest: manifest,
		ring:     keys.NewRing([]byte(e.settings.Cellkey), records),
	}
	for {
		old := e.current.Load()
		if old.number >= next.number {
			return nil
		}
		if e.current.CompareAndSwap(old, next) {
			e.log.Info("Configuration in force.", "revision", next.number, "who", next.who)
			return e.spreadLimits(ctx)
		}
	}
}

// Identify returns the caller that the key proves.
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
func (e *Entry) Manifest(_ context.Context, c fold.Caller) (fold.Revision, []byte, error) {
	if err := requireOperator(c); err != nil {
		return fold.Revision{}, nil, err
	}
	now := e.current.Load()
	return e.spread(now), now.text, nil
}

// Apply replaces the manifest if the revision is still the given one.
func (e *Entry) Apply(ctx context.Context, c fold.Caller, expected int64, text []byte) (fold.Revision, error) {
	if err := requireOperator(c); err != nil {
		return fold.Revision{}, err
	}
	manifest, err := spec.Parse("manifest", text)
	if err != nil {
		return fold.Revision{}, err
	}
	return e.change(ctx, c, func(head headRow) (headRow, []fold.Txn, error) {
		if head.Revision != expected {
			return head, nil, fold.Refuse(fold.Outdated, "read the manifest again and repeat the change",
				"revision is %d by %s, not %d", head.Revision, head.Who, expected)
		}
		head.Manifest = text
		limits, err := e.limitWrites(ctx, manifest)
		return head, []fold.Txn{limits}, err
	})
}

// Grant issues a key and returns it once.
func (e *Entry) Grant(ctx context.Context, c fold.Caller, g fold.KeyGrant) (fold.IssuedKey, error) {
	if err := requireOperator(c); err != nil {
		return fold.IssuedKey{}, err
	}
	if _, ok := e.current.Load().manifest.Team(g.Team); !ok && !g.Operator {
		return fold.IssuedKey{}, fold.Refuse(fold.Invalid, "name a team of the manifest", "no team %q", g.Team)
	}
	g.Who = c.KeyID
	g.Withdrawn = false
	key, record := keys.Issue([]byte(e.settings.Cellkey), g)
	_, err := e.change(ctx, c, func(head headRow) (headRow, []fold.Txn, error) {
		txn, err := keyWrite(record, 0)
		return head, []fold.Txn{txn}, err
	})
	return fold.IssuedKey{Grant: record.Grant, Key: key}, err
}

// Withdraw ends a key.
func (e *Entry) Withdraw(ctx context.Context, c fold.Caller, id string) (fold.Revision, error) {
	if err := requireOperator(c); err != nil {
		return fold.Revision{}, err
	}
	return e.change(ctx, c, func(head headRow) (headRow, []fold.Txn, error) {
		row, err := store.Get[keys.Record](ctx, e.table, store.KeyPrefix+id)
		if err != nil {
			return head, nil, err
		}
		txn, err := keyWrite(row.Value.WithWithdrawn(c.KeyID), row.Version)
		return head, []fold.Txn{txn}, err
	})
}

// Keys lists keys without their secrets.
func (e *Entry) Keys(_ context.Context, c fold.Caller) ([]fold.KeyGrant, error) {
	if err := requireOperator(c); err != nil {
		return nil, err
	}
	return e.current.Load().ring.Grants(), nil
}

// change writes the next revision together with other rows; edit is called again when rows changed meanwhile.
func (e *Entry) change(ctx context.Context, c fold.Caller, edit func(headRow) (headRow, []fold.Txn, error)) (fold.Revision, error) {
	var eligible bool
	e.member(func(m *owner.Machine) { eligible = m.Eligible(e.clock.Now()) })
	if !eligible {
		return fold.Revision{}, fold.Refuse(fold.Unavailable, "retry in a few seconds, or use another entry", "entry %s has no contact with the table service and most entries", e.settings.Name)
	}
	for range applyTries {
		next, err := e.tryChange(ctx, c, edit)
		if errorx.IsOfType(err, fold.Conflict) {
			continue
		}
		if err != nil {
			return fold.Revision{}, err
		}
		if err := e.install(ctx, next); err != nil {
			return fold.Revision{}, err
		}
		if err := e.announce(ctx, next.Revision); err != nil {
			return fold.Revision{}, err
		}
		return e.spread(e.current.Load()), nil
	}
	return fold.Revision{}, fold.Refuse(fold.Unavailable, "retry", "other changes came in between %d times", applyTries)
}

func (e *Entry) tryChange(ctx context.Context, c fold.Caller, edit func(headRow) (headRow, []fold.Txn, error)) (headRow, error) {
	row, err := store.Get[headRow](ctx, e.table, store.HeadKey)
	if err != nil && !errorx.IsOfType(err, fold.NotFound) {
		return headRow{}, err
	}
	next, writes, err := edit(row.Value)
	if err != nil {
		return headRow{}, err
	}
	if len(next.Manifest) == 0 {
		return headRow{}, fold.Refuse(fold.Invalid, "apply a manifest first", "there is no manifest")
	}
	next.Revision++
	next.Who = c.KeyID
	put, err := store.PutOf(store.HeadKey, next)
	if err != nil {
		return headRow{}, err
	}
	txn := fold.Txn{Checks: []fold.Check{{Key: store.HeadKey, Version: row.Version}}, Puts: []fold.Put{put}}
	for _, w := range writes {
		txn.Checks = append(txn.Checks, w.Checks...)
		txn.Puts = append(txn.Puts, w.Puts...)
	}
	_, err = e.table.Commit(ctx, txn)
	return next, err
}

// limitWrites sets the limits of all teams; teams that are no longer declared get none.
func (e *Entry) limitWrites(ctx context.Context, m spec.Manifest) (fold.Txn, error) {
	rows, err := store.Scan[quota.Split](ctx, e.table, store.LimitPrefix)
	if err != nil {
		return fold.Txn{}, err
	}
	old := make(map[string]owner.Seen[quota.Split], len(rows))
	for _, row := range rows {
		old[row.Key] = row
	}
	var txn fold.Txn
	write := func(key string, limit fold.Resources) error {
		row := old[key]
		delete(old, key)
		if row.Version != 0 && row.Value.Limit == limit {
			return nil
		}
		put, err := store.PutOf(key, row.Value.WithLimit(limit))
		txn.Checks = append(txn.Checks, fold.Check{Key: key, Version: row.Version})
		txn.Puts = append(txn.Puts, put)
		return err
	}
	for _, t := range m.Teams {
		if err := write(store.LimitPrefix+t.Name, t.Limit); err != nil {
			return fold.Txn{}, err
		}
	}
	for key := range old {
		if err := write(key, fold.Resources{}); err != nil {
			return fold.Txn{}, err
		}
	}
	return txn, nil
}

// spread says at which registered entries a revision is in force, as far as their heartbeats tell.
func (e *Entry) spread(r *revision) fold.Revision {
	told := map[string]bool{e.settings.Name: true}
	for _, b := range e.heartbeats() {
		told[b.ID] = b.Revision >= r.number
	}
	var peers []owner.Entry
	e.member(func(m *owner.Machine) { peers = m.Peers(e.clock.Now()) })
	out := fold.Revision{Revision: r.number, Who: r.who, Force: []string{e.settings.Name}}
	for _, p := range peers {
		if told[p.ID] {
			out.Force = append(out.Force, p.ID)
			continue
		}
		out.Missing = append(out.Missing, p.ID)
	}
	return out
}

func keyWrite(r keys.Record, version int64) (fold.Txn, error) {
	key := store.KeyPrefix + r.Grant.ID
	put, err := store.PutOf(key, r)
	return fold.Txn{Checks: []fold.Check{{Key: key, Version: version}}, Puts: []fold.Put{put}}, err
}

func requireOperator(c fold.Caller) error {
	if c.Operator {
		return nil
	}
	return fold.Refuse(fold.Forbidden, "use an operator key", "this needs an operator key")
}

// Status describes the entry and what it sees of the cell.
func (e *Entry) Status(context.Context) fold.Status {
	mode := e.standing()
	s := fold.Status{
		Entry:    e.settings.Name,
		Domain:   e.settings.Domain,
		Standing: mode != owner.ModeNone,
		Mode:     string(mode),
		Revision: e.current.Load().number,
		Entries:  []string{e.settings.Name},
	}
	for _, b := range e.heartbeats() {
		s.Entries = append(s.Entries, b.ID)
	}
	for _, p := range e.allPools() {
		s.Pools = append(s.Pools, p.status())
	}
	return s
}
