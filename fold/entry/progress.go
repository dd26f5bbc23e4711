package entry

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/joomcode/errorx"

	"plantainfold.example/fold"
	"plantainfold.example/fold/once"
	"plantainfold.example/fold/owner"
	"plantainfold.example/fold/peer"
	"plantainfold.example/fold/store"
)

const (
	// progressPrefix begins the rows drained/<kind>/<name> with the progress of drains.
	progressPrefix = "drained/"
	// maxHolding bounds what a drain names as holding it.
	maxHolding = 16
	kindDrains = "drains"
)

// drainsCall asks a peer what is left of drains there.
type drainsCall struct {
	Drains []fold.Drain `json:"drains"`
}

// drainsAnswer is what is left at one entry, in the order of the call.
type drainsAnswer struct {
	Left []leftHere `json:"left"`
	// Pools are the pools that the entry owns and has loaded.
	Pools []string `json:"pools"`
}

// leftHere is what one entry knows to be left of a drain.
type leftHere struct {
	// Known says that the entry is one that can tell.
	Known   bool     `json:"known,omitempty"`
	Left    int      `json:"left,omitempty"`
	Holding []string `json:"holding,omitempty"`
}

func (l *leftHere) add(n int, format string, args ...any) {
	if n == 0 {
		return
	}
	l.Left += n
	if len(l.Holding) < maxHolding {
		l.Holding = append(l.Holding, fmt.Sprintf(format, args...))
	}
}

// Drains lists drains and their progress.
func (e *Entry) Drains(ctx context.Context, c fold.Caller) ([]fold.DrainStatus, error) {
	if err := requireOperator(c); err != nil {
		return nil, err
	}
	rows, err := store.Scan[fold.DrainStatus](ctx, e.table, progressPrefix)
	if err != nil {
		e.log.Warn("Cannot read the progress of drains.", "error", err)
	}
	seen := make(map[string]fold.DrainStatus, len(rows))
	for _, row := range rows {
		seen[row.Value.Drain.ID()] = row.Value
	}
	drains := e.current.Load().drains
	list := make([]fold.DrainStatus, 0, len(drains))
	for _, id := range slices.Sorted(maps.Keys(drains)) {
		s := seen[id]
		s.Drain = drains[id]
		if s.ObservedAt == 0 {
			s.Details = []string{"its progress is not known yet"}
		}
		list = append(list, s)
	}
	return list, nil
}

// progressStep records the progress of the drains for which this entry is responsible.
func (e *Entry) progressStep(ctx context.Context, drains map[string]fold.Drain) {
	var mine []fold.Drain
	for _, id := range slices.Sorted(maps.Keys(drains)) {
		if e.responsible(id) {
			mine = append(mine, drains[id])
		}
	}
	if len(mine) == 0 || e.requireStanding() != nil {
		return
	}
	rows, err := store.Scan[fold.DrainStatus](ctx, e.table, progressPrefix)
	if err != nil {
		return
	}
	old := make(map[string]owner.Seen[fold.DrainStatus], len(rows))
	for _, row := range rows {
		old[strings.TrimPrefix(row.Key, progressPrefix)] = row
	}
	mine = slices.DeleteFunc(mine, func(d fold.Drain) bool { return old[d.ID()].Value.Done })
	if len(mine) == 0 {
		return
	}
	for _, s := range e.gather(ctx, mine) {
		e.recordProgress(ctx, old[s.Drain.ID()], s)
	}
}

// responsible reports whether this entry acts for a name. The owner of the claim range of the name does, so that one
// entry acts at a time; what it does must be safe to do twice.
func (e *Entry) responsible(name string) bool {
	at, ok := e.ownerOf(claimUnit(once.RangeOf(systemName, name)))
	return ok && at.ID == e.settings.Name
}

func (e *Entry) recordProgress(ctx context.Context, old owner.Seen[fold.DrainStatus], s fold.DrainStatus) {
	same := old.Version != 0 && old.Value.Remaining == s.Remaining && old.Value.Done == s.Done && slices.Equal(old.Value.Details, s.Details)
	if same {
		return
	}
	_, err := store.Replace(ctx, e.table, progressPrefix+s.Drain.ID(), old.Version, s)
	if err != nil && !errorx.IsOfType(err, fold.Conflict) {
		e.log.Warn("Cannot record the progress of a drain.", "drain", s.Drain.ID(), "error", err)
		return
	}
	if s.Done {
		e.log.Info("A drain is done.", "drain", s.Drain.ID())
	}
}

// gather asks all registered entries what is left of the drains.
func (e *Entry) gather(ctx context.Context, drains []fold.Drain) []fold.DrainStatus {
	sums := make([]leftHere, len(drains))
	pools := make(map[string]bool)
	merge := func(a drainsAnswer) {
		for i := range min(len(a.Left), len(sums)) {
			sums[i].Known = sums[i].Known || a.Left[i].Known
			sums[i].Left += a.Left[i].Left
			sums[i].Holding = append(sums[i].Holding, a.Left[i].Holding...)
		}
		for _, id := range a.Pools {
			pools[id] = true
		}
	}
	call := drainsCall{Drains: drains}
	own, _ := e.answerDrains(ctx, e.settings.Name, call)
	merge(own)
	var missing []string
	for _, p := range e.registeredPeers() {
		callCtx, cancel := context.WithTimeout(ctx, peerTime)
		answer, err := peer.Call[drainsCall, drainsAnswer](callCtx, e.node, p.Address, kindDrains, call)
		cancel()
		if err != nil {
			missing = append(missing, "entry "+p.ID+" does not answer")
			continue
		}
		merge(answer)
	}
	used, err := e.poolsInUse(ctx)
	if err != nil {
		missing = append(missing, "the table service does not answer")
	}
	for _, id := range used {
		if !pools[id] {
			missing = append(missing, "pool "+id+" has no owner that answers")
		}
	}
	return e.statuses(drains, sums, missing)
}

func (e *Entry) statuses(drains []fold.Drain, sums []leftHere, missing []string) []fold.DrainStatus {
	list := make([]fold.DrainStatus, len(drains))
	for i, d := range drains {
		sum := sums[i]
		sum.Holding = append(sum.Holding, missing...)
		if !sum.Known && e.isListed(d) {
			sum.Holding = append(sum.Holding, fmt.Sprintf("no entry has adopted %s %s", d.Kind, d.Name))
		}
		slices.Sort(sum.Holding)
		list[i] = fold.DrainStatus{
			Drain:      d,
			Done:       sum.Left == 0 && len(sum.Holding) == 0,
			Remaining:  sum.Left,
			Details:    sum.Holding[:min(len(sum.Holding), maxHolding)],
			ObservedAt: time.Now().UnixMilli(),
		}
	}
	return list
}

// isListed reports whether a drained instance still stands in the instance list.
func (e *Entry) isListed(d fold.Drain) bool {
	return slices.ContainsFunc(*e.listed.Load(), func(in fold.Instance) bool { return string(in.Role) == d.Kind && in.Name == d.Name })
}

func (e *Entry) registeredPeers() []owner.Entry {
	var peers []owner.Entry
	e.member(func(m *owner.Machine) { peers = m.Peers(e.clock.Now()) })
	return peers
}

// poolsInUse returns the pools to which a worker of the instance list belongs.
func (e *Entry) poolsInUse(ctx context.Context) ([]string, error) {
	rows, err := store.Scan[rackRow](ctx, e.table, store.RackPrefix)
	if err != nil {
		return nil, err
	}
	l := newLayout(rows, 1)
	used := make(map[string]bool)
	for _, in := range *e.listed.Load() {
		if id := l.poolOf(in); in.Role == fold.RoleWorker && id != "" {
			used[id] = true
		}
	}
	return slices.Sorted(maps.Keys(used)), nil
}

// answerDrains tells what is left of drains at this entry.
func (e *Entry) answerDrains(_ context.Context, _ string, call drainsCall) (drainsAnswer, error) {
	answer := drainsAnswer{Left: make([]leftHere, len(call.Drains))}
	for _, p := range e.allPools() {
		answer.Pools = append(answer.Pools, p.id)
	}
	for i, d := range call.Drains {
		answer.Left[i] = e.leftHere(d)
	}
	return answer, nil
}

func (e *Entry) leftHere(d fold.Drain) leftHere {
	var l leftHere
	switch d.Kind {
	case fold.DrainWorker:
		e.leftOnWorker(d, &l)
	case fold.DrainEndpoint:
		l.Known = true
		n := e.routers.inflight("", d.Name)
		l.add(n, "%d requests of entry %s are under way", n, e.settings.Name)
	case fold.DrainEntry:
		e.leftOfEntry(d, &l)
	default:
		l.Known = true
		e.leftOfJobs(d, &l)
	}
	return l
}

func (e *Entry) leftOnWorker(d fold.Drain, l *leftHere) {
	for _, p := range e.allPools() {
		p.mu.Lock()
		tasks, adopted := p.sched.OnWorker(d.Name)
		p.mu.Unlock()
		l.Known = l.Known || adopted
		for _, id := range tasks {
			l.add(1, "task %s runs", id)
		}
	}
}

func (e *Entry) leftOfEntry(d fold.Drain, l *leftHere) {
	if d.Name != e.settings.Name {
		return
	}
	l.Known = true
	var units int
	e.member(func(m *owner.Machine) { units = len(m.Owned()) })
	l.add(units, "%d pools and claim ranges are not handed over", units)
	n := e.requestsUnderWay()
	l.add(n, "%d requests are under way", n)
}

func (e *Entry) leftOfJobs(d fold.Drain, l *leftHere) {
	for _, p := range e.allPools() {
		p.mu.Lock()
		jobs := p.sched.Select(matchOf(d))
		p.mu.Unlock()
		for _, id := range slices.Sorted(maps.Keys(jobs)) {
			l.add(max(jobs[id], 1), "job %s has %d unfinished tasks in pool %s", id, jobs[id], p.id)
		}
	}
	if d.Kind == fold.DrainService {
		n := e.routers.inflight(d.Name, "")
		l.add(n, "%d requests of entry %s are under way", n, e.settings.Name)
	}
}

// inflight counts requests under way at endpoints of a service or at one endpoint; empty names match all.
func (r *routers) inflight(service, endpoint string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	sum := 0
	for name, one := range r.services {
		if service == "" || service == name {
			one.mu.Lock()
			sum += one.table.Inflight(endpoint)
			one.mu.Unlock()
		}
	}
	return sum
}
