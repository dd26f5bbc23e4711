package entry

import (
	"context"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/joomcode/errorx"
	"golang.org/x/sync/errgroup"

	"plantainfold.example/fold"
	"plantainfold.example/fold/owner"
	"plantainfold.example/fold/peer"
	"plantainfold.example/fold/store"
)

// Periods of the loops.
const (
	memberPeriod = time.Second
	beatPeriod   = 500 * time.Millisecond
	fleetPeriod  = 2 * time.Second
	peerTime     = time.Second
	closeTime    = 10 * time.Second
	// maxTakes bounds the units taken in one transaction.
	maxTakes = 32
	maxCalls = 32
	// maxBeats bounds the heartbeats under way.
	maxBeats     = 256
	announceTime = 3 * time.Second
	// heirTime bounds the wait for a peer that can take units; a peer needs TTL of contact and a view that names it.
	heirTime       = 7 * time.Second
	announcePeriod = 20 * time.Millisecond
)

// nudges wake the membership loop before its period is over.
type nudges struct {
	head  chan struct{}
	units chan struct{}
	stop  chan struct{}
	ended chan struct{}
	begun *atomic.Bool
}

func newNudges() nudges {
	return nudges{
		head:  make(chan struct{}, 1),
		units: make(chan struct{}, 1),
		stop:  make(chan struct{}),
		ended: make(chan struct{}),
		begun: &atomic.Bool{},
	}
}

// nudge wakes the loop; a nudge that waits already is enough.
func nudge(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// runMember takes a membership step every period. In between it reads the configuration when a peer knows a newer one,
// and the owners when a peer has handed something over.
func (e *Entry) runMember(ctx context.Context) {
	e.nudges.begun.Store(true)
	defer close(e.nudges.ended)
	for ctx.Err() == nil {
		e.memberStep(ctx)
		due := e.clock.After(memberPeriod)
		for waiting := true; waiting; {
			select {
			case <-due:
				waiting = false
			case <-e.nudges.head:
				e.report("Cannot read the configuration.", e.readHead(ctx))
			case <-e.nudges.units:
				e.report("Cannot read the owners.", e.scanUnits(ctx))
				e.syncUnits()
			case <-e.nudges.stop:
				return
			case <-ctx.Done():
				return
			}
		}
	}
}

// stopMember ends the membership loop after the step under way, so that no read from before a hand-over brings back
// what was handed over.
func (e *Entry) stopMember() {
	close(e.nudges.stop)
	if e.nudges.begun.Load() {
		<-e.nudges.ended
	}
}

func (e *Entry) report(message string, err error) {
	if err != nil {
		e.log.Warn(message, "error", err)
	}
}

// memberStep renews the entry's row, reads the rows of others and takes what is its own.
func (e *Entry) memberStep(ctx context.Context) {
	if err := e.scanEntries(ctx); err != nil {
		e.report("Cannot read the entries.", err)
	} else {
		e.report("Cannot renew the entry.", e.renew(ctx))
	}
	e.report("Cannot read the configuration.", e.readHead(ctx))
	e.report("Cannot read the view.", e.readView(ctx))
	e.report("Cannot read the owners.", e.scanUnits(ctx))
	e.member(func(m *owner.Machine) { m.Tick(e.clock.Now()) })
	e.report("Cannot change the owners.", e.carryOut(ctx))
	e.syncUnits()
}

// member runs fn with the membership locked.
func (e *Entry) member(fn func(*owner.Machine)) {
	e.memberMu.Lock()
	defer e.memberMu.Unlock()
	fn(e.machine)
}

func (e *Entry) scanEntries(ctx context.Context) error {
	rows, err := store.Scan[owner.Entry](ctx, e.table, store.EntryPrefix)
	if err != nil {
		return err
	}
	e.member(func(m *owner.Machine) { m.SawEntries(e.clock.Now(), rows) })
	return nil
}

// renew writes the entry's row. A row of an earlier incarnation is replaced only once it has not changed for TTL.
func (e *Entry) renew(ctx context.Context) error {
	var plan owner.Renewal
	var lost bool
	e.member(func(m *owner.Machine) {
		if lost = m.Lost(); lost {
			m.LostRow(uuid.NewString())
		}
		plan = m.Renewal(e.clock.Now())
	})
	if lost {
		// What the lost incarnation owned is closed before the new one gets standing.
		e.log.Warn("Another entry fenced this one. Joining again.")
		e.syncUnits()
	}
	if !plan.Due {
		return nil
	}
	sent := e.clock.Now()
	version, err := store.Replace(ctx, e.table, store.EntryPrefix+plan.Row.ID, plan.Version, plan.Row)
	if errorx.IsOfType(err, fold.Conflict) {
		// The row shows whether another entry wrote it or a late renewal of this one.
		return e.scanEntries(ctx)
	}
	if err != nil {
		return err
	}
	e.member(func(m *owner.Machine) { m.Renewed(sent, plan.Row, version) })
	return nil
}

func (e *Entry) readView(ctx context.Context) error {
	sent := e.clock.Now()
	row, err := store.Get[owner.View](ctx, e.table, owner.ViewKey)
	if err != nil && !errorx.IsOfType(err, fold.NotFound) {
		return err
	}
	e.member(func(m *owner.Machine) { m.SawView(sent, row) })
	return nil
}

func (e *Entry) scanUnits(ctx context.Context) error {
	if err := e.assignRacks(ctx); err != nil {
		return err
	}
	pools, err := store.Scan[owner.Unit](ctx, e.table, store.PoolPrefix)
	if err != nil {
		return err
	}
	ranges, err := store.Scan[owner.Unit](ctx, e.table, store.OncePrefix)
	if err != nil {
		return err
	}
	e.member(func(m *owner.Machine) { m.SawUnits(append(pools, ranges...)) })
	return nil
}

// carryOut writes what the membership plans, then reads the owners again, because only the rows show who owns a unit.
func (e *Entry) carryOut(ctx context.Context) error {
	var plan owner.Plan
	var self owner.Entry
	e.member(func(m *owner.Machine) {
		plan = m.Plan(e.clock.Now())
		self = m.Self()
	})
	if plan.Change != nil {
		return e.changeView(ctx, *plan.Change)
	}
	if len(plan.Drops) > 0 {
		if err := e.dropRows(ctx, plan.Drops); err != nil {
			return err
		}
	}
	if len(plan.Takes)+len(plan.Gives) == 0 {
		return nil
	}
	for takes := range slices.Chunk(plan.Takes, maxTakes) {
		if err := e.take(ctx, self, takes); err != nil {
			return err
		}
	}
	if err := e.give(ctx, plan.Gives); err != nil {
		return err
	}
	return e.scanUnits(ctx)
}

// changeView replaces the view and fences the entries that leave it, in one transaction.
func (e *Entry) changeView(ctx context.Context, c owner.Change) error {
	put, err := store.PutOf(owner.ViewKey, c.View)
	if err != nil {
		return err
	}
	txn := fold.Txn{Checks: []fold.Check{{Key: owner.ViewKey, Version: c.Version}}, Puts: []fold.Put{put}}
	for _, f := range c.Fences {
		e.log.Info("Fencing an entry whose row has not changed.", "entry", f.Value.ID)
		put, err := store.PutOf(f.Key, f.Value.WithState(owner.StateFenced))
		if err != nil {
			return err
		}
		txn.Checks = append(txn.Checks, fold.Check{Key: f.Key, Version: f.Version})
		txn.Puts = append(txn.Puts, put)
	}
	if _, err := e.table.Commit(ctx, txn); err != nil && !errorx.IsOfType(err, fold.Conflict) {
		return err
	}
	return e.readView(ctx)
}

// dropRows deletes the rows of entries that ended long ago.
func (e *Entry) dropRows(ctx context.Context, rows []owner.Seen[owner.Entry]) error {
	var txn fold.Txn
	for _, row := range rows {
		txn.Checks = append(txn.Checks, fold.Check{Key: row.Key, Version: row.Version})
		txn.Deletes = append(txn.Deletes, row.Key)
	}
	_, err := e.table.Commit(ctx, txn)
	if errorx.IsOfType(err, fold.Conflict) {
		return nil
	}
	return err
}

func (e *Entry) take(ctx context.Context, self owner.Entry, takes []owner.Take) error {
	var txn fold.Txn
	for _, t := range takes {
		put, err := store.PutOf(t.Unit, t.RowOf(self))
		if err != nil {
			return err
		}
		txn.Checks = append(txn.Checks, fold.Check{Key: t.Unit, Version: t.Version})
		txn.Puts = append(txn.Puts, put)
	}
	version, err := e.table.Commit(ctx, txn)
	if errorx.IsOfType(err, fold.Conflict) {
		return nil
	}
	if err != nil {
		return err
	}
	e.log.Info("Took units.", "count", len(takes), "first", takes[0].Unit, "epoch", version)
	return nil
}

// give stops units here before their rows name the next owners. Each pool has a commit of its own, so that it waits for
// no other; claim ranges share one.
func (e *Entry) give(ctx context.Context, gives []owner.Give) error {
	e.member(func(m *owner.Machine) { m.Release(gives) })
	ranges, pools := splitGives(gives)
	for some := range slices.Chunk(ranges, maxTakes) {
		e.handClaims(ctx, some)
		if err := e.commitGives(ctx, some); err != nil {
			return err
		}
	}
	renewed := e.clock.Now()
	for one := range slices.Chunk(pools, 1) {
		if e.clock.Now().Sub(renewed) > memberPeriod {
			renewed = e.clock.Now()
			e.report("Cannot renew the entry.", e.renew(ctx))
		}
		e.stopPool(ctx, strings.TrimPrefix(one[0].Unit, store.PoolPrefix))
		if err := e.commitGives(ctx, one); err != nil {
			return err
		}
	}
	return nil
}

func splitGives(gives []owner.Give) (ranges, pools []owner.Give) {
	for _, g := range gives {
		if strings.HasPrefix(g.Unit, store.PoolPrefix) {
			pools = append(pools, g)
		} else {
			ranges = append(ranges, g)
		}
	}
	return ranges, pools
}

func (e *Entry) commitGives(ctx context.Context, gives []owner.Give) error {
	var txn fold.Txn
	for _, g := range gives {
		put, err := store.PutOf(g.Unit, g.RowOf())
		if err != nil {
			return err
		}
		txn.Checks = append(txn.Checks, fold.Check{Key: g.Unit, Version: g.Version})
		txn.Puts = append(txn.Puts, put)
	}
	_, err := e.table.Commit(ctx, txn)
	if errorx.IsOfType(err, fold.Conflict) {
		return nil
	}
	if err != nil {
		return err
	}
	e.log.Info("Handed units over.", "count", len(gives), "first", gives[0].Unit, "to", gives[0].To.ID)
	e.tellOwners(ctx, gives)
	return nil
}

// tellOwners makes the new owners read their units at once. A lost message costs them one period.
func (e *Entry) tellOwners(ctx context.Context, gives []owner.Give) {
	told := make(map[string]bool)
	var calls errgroup.Group
	calls.SetLimit(maxCalls)
	for _, g := range gives {
		if told[g.To.ID] || g.To.ID == e.settings.Name {
			continue
		}
		told[g.To.ID] = true
		calls.Go(func() error {
			callCtx, cancel := context.WithTimeout(ctx, peerTime)
			defer cancel()
			_, err := peer.Call[ownerCall, ownerAnswer](callCtx, e.node, g.To.Address, kindOwner, ownerCall{})
			e.report("Cannot tell the new owner.", err)
			return nil
		})
	}
	_ = calls.Wait()
}

// handOver gives all units away and marks the entry as left, for a planned stop. The membership loop must have ended.
func (e *Entry) handOver(ctx context.Context) {
	e.member(func(m *owner.Machine) { m.Leave() })
	if err := e.give(ctx, e.awaitHeirs(ctx)); err != nil {
		e.log.Warn("Cannot hand over all units. They are taken once this entry is fenced.", "error", err)
		return
	}
	var plan owner.Renewal
	e.member(func(m *owner.Machine) { plan = m.Renewal(e.clock.Now()) })
	if !plan.Due {
		return
	}
	e.member(func(m *owner.Machine) { m.Left() })
	e.syncUnits()
	left := plan.Row.WithState(owner.StateLeft)
	if _, err := store.Replace(ctx, e.table, store.EntryPrefix+left.ID, plan.Version, left); err != nil {
		e.log.Warn("Cannot mark the entry as left.", "error", err)
	}
}

// awaitHeirs returns the hand-over of all units. When no peer can take them yet, as just after the start of the cell, it
// waits for one while any answers.
func (e *Entry) awaitHeirs(ctx context.Context) []owner.Give {
	begin := e.clock.Now()
	for {
		var gives []owner.Give
		var wait bool
		e.member(func(m *owner.Machine) {
			now := e.clock.Now()
			gives = m.Gives(now)
			wait = len(gives) == 0 && len(m.Owned()) > 0 && m.Heirs(now)
		})
		if !wait || e.clock.Now().Sub(begin) > heirTime {
			return gives
		}
		e.report("Cannot read the entries.", e.scanEntries(ctx))
		e.report("Cannot renew the entry.", e.renew(ctx))
		e.report("Cannot read the view.", e.readView(ctx))
		select {
		case <-e.clock.After(beatPeriod):
		case <-ctx.Done():
			return gives
		}
	}
}

// syncUnits starts and stops pools and claim ranges to match what the entry owns.
func (e *Entry) syncUnits() {
	var owned map[string]owner.Holding
	e.member(func(m *owner.Machine) { owned = m.Owned() })
	e.syncPools(owned)
	e.claims.sync(owned)
}

// beatStep sends a heartbeat to each peer that has answered the last one. It does not wait for the answers, so a peer
// that does not answer delays no other.
func (e *Entry) beatStep(ctx context.Context) {
	var peers []owner.Entry
	e.member(func(m *owner.Machine) {
		m.Tick(e.clock.Now())
		for _, p := range m.Peers(e.clock.Now()) {
			if !e.beating[p.ID] && len(e.beating) < maxBeats {
				e.beating[p.ID] = true
				peers = append(peers, p)
			}
		}
	})
	// Only answers count as evidence, so the request leaves out what only answers must tell.
	beat := e.heartbeat()
	beat.Pools, beat.Short = nil, nil
	for _, p := range peers {
		e.running.Add(1)
		go func() {
			defer e.running.Done()
			e.beatPeer(ctx, p, beat)
		}()
	}
}

func (e *Entry) beatPeer(ctx context.Context, p owner.Entry, beat owner.Beat) {
	callCtx, cancel := context.WithTimeout(ctx, peerTime)
	defer cancel()
	sent := e.clock.Now()
	answer, err := peer.Call[owner.Beat, owner.Beat](callCtx, e.node, p.Address, kindBeat, beat)
	e.member(func(m *owner.Machine) {
		delete(e.beating, p.ID)
		if err == nil {
			m.Heard(sent, answer)
		}
	})
	if err != nil {
		e.log.Debug("No heartbeat.", "peer", p.ID, "error", err)
		return
	}
	e.learnRevision(answer)
}

// learnRevision reads the configuration soon when a peer knows a newer one.
func (e *Entry) learnRevision(b owner.Beat) {
	if b.Known > e.current.Load().number {
		nudge(e.nudges.head)
	}
}

// announce sends heartbeats until a majority of the entries knows the revision. Only then an entry that is cut off with
// other entries cannot take the revision before for the newest one.
func (e *Entry) announce(ctx context.Context, revision int64) error {
	begin := e.clock.Now()
	for {
		var known bool
		e.member(func(m *owner.Machine) { known = m.KnownByMajority(e.clock.Now(), revision) })
		if known {
			return nil
		}
		if e.clock.Now().Sub(begin) > announceTime {
			return fold.Refuse(fold.Unknown, "read the manifest; the change is recorded and comes into force once entries reach each other",
				"most entries have not learnt of revision %d", revision)
		}
		e.beatStep(ctx)
		select {
		case <-e.clock.After(announcePeriod):
		case <-ctx.Done():
			return fold.Unknown.Wrap(ctx.Err(), "announce revision %d", revision)
		}
	}
}

func (e *Entry) heartbeat() owner.Beat {
	var beat owner.Beat
	e.member(func(m *owner.Machine) { beat = m.Beat(e.clock.Now(), e.current.Load().number) })
	beat.Pools = e.headroom()
	for team := range e.ownShort() {
		beat.Short = append(beat.Short, team)
	}
	return beat
}

// fleetStep reads the instance list.
func (e *Entry) fleetStep(ctx context.Context) {
	list, err := e.platform.Fleet.Instances(ctx)
	if err != nil {
		e.log.Warn("Cannot read the instance list. Using the last one.", "error", err)
		return
	}
	e.instances.Store(&list)
	var names []string
	for _, in := range list {
		if in.Role == fold.RoleEntry {
			names = append(names, in.Name)
		}
	}
	e.member(func(m *owner.Machine) { m.Listed(e.clock.Now(), names) })
	e.routers.update(e.clock.Now(), list)
}
