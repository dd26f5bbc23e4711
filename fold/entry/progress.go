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
	// progressPrefix is the prefix of the rows drained/<kind>/<name>, which record the progress of drains, whether they are
	// done or not.
	progressPrefix = "drained/"
	// maxDrainReasons is the maximum number of reasons for a drain in the answer of one entry and in the status of the drain.
	maxDrainReasons = 16
	// kindDrains is the kind of calls that ask a peer for the progress of drains.
	kindDrains = "drains"
)

// drainsCall asks a peer for the remaining work of drains at that peer.
type drainsCall struct {
	Drains []fold.Drain `json:"drains"`
}

// drainsAnswer holds the remaining work at one entry.
type drainsAnswer struct {
	// Remainders holds the remaining work of each drain, in the order of the call.
	Remainders []remainder `json:"left"`
	// Pools are the pools that the entry owns and has loaded.
	Pools []string `json:"pools"`
}

// remainder is the remaining work of a drain at one entry.
type remainder struct {
	// Known is set if the entry can tell what remains: for a worker, if the entry has adopted it.
	Known bool `json:"known,omitempty"`
	// Count is the number of remaining tasks, pools, claim ranges or requests.
	Count int `json:"left,omitempty"`
	// Reasons describes the remaining work.
	Reasons []string `json:"holding,omitempty"`
}

// addItems adds n to the count and, up to maxDrainReasons, the formatted text to the reasons, unless n is 0.
func (r *remainder) addItems(n int, format string, args ...any) {
	if n == 0 {
		return
	}
	r.Count += n
	if len(r.Reasons) < maxDrainReasons {
		r.Reasons = append(r.Reasons, fmt.Sprintf(format, args...))
	}
}

// Drains lists the drains and their progress.
func (e *Entry) Drains(ctx context.Context, c fold.Caller) ([]fold.DrainStatus, error) {
	if err := requireOperator(c); err != nil {
		return nil, err
	}
	rows, err := store.Scan[fold.DrainStatus](ctx, e.table, progressPrefix)
	if err != nil {
		e.log.Warn("Cannot read the progress of drains.", "error", err)
	}
	recorded := make(map[string]fold.DrainStatus, len(rows))
	for _, row := range rows {
		recorded[row.Value.Drain.ID()] = row.Value
	}
	drains := e.current.Load().drains
	list := make([]fold.DrainStatus, 0, len(drains))
	for _, id := range slices.Sorted(maps.Keys(drains)) {
		s := recorded[id]
		s.Drain = drains[id]
		if s.ObservedAt == 0 {
			s.Details = []string{"the progress is not known yet"}
		}
		list = append(list, s)
	}
	return list, nil
}

// recordOwnDrains records the progress of the drains for which this entry is responsible.
func (e *Entry) recordOwnDrains(ctx context.Context, drains map[string]fold.Drain) {
	var own []fold.Drain
	for _, id := range slices.Sorted(maps.Keys(drains)) {
		if e.isResponsible(id) {
			own = append(own, drains[id])
		}
	}
	if len(own) == 0 || e.requireStanding() != nil {
		return
	}
	rows, err := store.Scan[fold.DrainStatus](ctx, e.table, progressPrefix)
	if err != nil {
		return
	}
	old := make(map[string]owner.Versioned[fold.DrainStatus], len(rows))
	for _, row := range rows {
		old[strings.TrimPrefix(row.Key, progressPrefix)] = row
	}
	own = slices.DeleteFunc(own, func(d fold.Drain) bool { return old[d.ID()].Value.Done })
	if len(own) == 0 {
		return
	}
	for _, s := range e.collectProgress(ctx, own) {
		e.recordProgress(ctx, old[s.Drain.ID()], s)
	}
}

// isResponsible reports whether this entry owns the claim range of a name and so acts for the name. Two entries may act
// for a short time while the range changes owners, so the actions must be idempotent.
func (e *Entry) isResponsible(name string) bool {
	at, ok := e.ownerOf(claimUnit(once.RangeOf(systemName, name)))
	return ok && at.ID == e.settings.Name
}

// recordProgress writes the progress of a drain if it has changed.
func (e *Entry) recordProgress(ctx context.Context, old owner.Versioned[fold.DrainStatus], s fold.DrainStatus) {
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
		// After a conflict, this is logged although this entry has not written the progress.
		e.log.Info("A drain has finished.", "drain", s.Drain.ID())
	}
}

// collectProgress collects the remaining work of the drains from all registered entries.
func (e *Entry) collectProgress(ctx context.Context, drains []fold.Drain) []fold.DrainStatus {
	sums := make([]remainder, len(drains))
	pools := make(map[string]bool)
	merge := func(a drainsAnswer) {
		for i := range min(len(a.Remainders), len(sums)) {
			sums[i].Known = sums[i].Known || a.Remainders[i].Known
			sums[i].Count += a.Remainders[i].Count
			sums[i].Reasons = append(sums[i].Reasons, a.Remainders[i].Reasons...)
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
		callCtx, cancel := context.WithTimeout(ctx, peerTimeout)
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
	return e.drainStatuses(drains, sums, missing)
}

// drainStatuses returns the status of each drain. A drain is done if no work remains, all entries, pool owners and the
// table service have answered, and an entry has reported what remains on the drained instance if it is still listed.
func (e *Entry) drainStatuses(drains []fold.Drain, sums []remainder, missing []string) []fold.DrainStatus {
	list := make([]fold.DrainStatus, len(drains))
	for i, d := range drains {
		sum := sums[i]
		sum.Reasons = append(sum.Reasons, missing...)
		if !sum.Known && e.isListed(d) {
			sum.Reasons = append(sum.Reasons, fmt.Sprintf("no entry has reported what remains on %s %s", d.Kind, d.Name))
		}
		slices.Sort(sum.Reasons)
		list[i] = fold.DrainStatus{
			Drain:      d,
			Done:       sum.Count == 0 && len(sum.Reasons) == 0,
			Remaining:  sum.Count,
			Details:    sum.Reasons[:min(len(sum.Reasons), maxDrainReasons)],
			ObservedAt: time.Now().UnixMilli(),
		}
	}
	return list
}

// isListed reports whether a drained instance is in the instance list.
func (e *Entry) isListed(d fold.Drain) bool {
	return slices.ContainsFunc(*e.platformInstances.Load(), func(in fold.Instance) bool { return string(in.Role) == d.Kind && in.Name == d.Name })
}

// registeredPeers returns the registered peers whose instances are not known to be gone.
func (e *Entry) registeredPeers() []owner.Entry {
	var peers []owner.Entry
	e.withMachine(func(m *owner.Machine) { peers = m.Peers(e.clock.Now()) })
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
	for _, in := range *e.platformInstances.Load() {
		if id := l.poolOf(in); in.Role == fold.RoleWorker && id != "" {
			used[id] = true
		}
	}
	return slices.Sorted(maps.Keys(used)), nil
}

// answerDrains answers a drainsCall.
func (e *Entry) answerDrains(_ context.Context, _ string, call drainsCall) (drainsAnswer, error) {
	answer := drainsAnswer{Remainders: make([]remainder, len(call.Drains))}
	for _, p := range e.allPools() {
		answer.Pools = append(answer.Pools, p.id)
	}
	for i, d := range call.Drains {
		answer.Remainders[i] = e.remainderOf(d)
	}
	return answer, nil
}

// remainderOf returns the remaining work of a drain at this entry.
func (e *Entry) remainderOf(d fold.Drain) remainder {
	var r remainder
	switch d.Kind {
	case fold.DrainWorker:
		e.remainingOnWorker(d, &r)
	case fold.DrainEndpoint:
		r.Known = true
		n := e.routers.inflight("", d.Name)
		r.addItems(n, "%d requests through entry %s are under way", n, e.settings.Name)
	case fold.DrainEntry:
		e.remainingOfEntry(d, &r)
	default:
		r.Known = true
		e.remainingOfJobs(d, &r)
	}
	return r
}

// remainingOnWorker adds the tasks that run on a drained worker.
func (e *Entry) remainingOnWorker(d fold.Drain, r *remainder) {
	for _, p := range e.allPools() {
		p.mu.Lock()
		tasks, adopted := p.sched.OnWorker(d.Name)
		p.mu.Unlock()
		r.Known = r.Known || adopted
		for _, id := range tasks {
			r.addItems(1, "task %s still runs", id)
		}
	}
}

// remainingOfEntry adds the pools, claim ranges and requests of a drained entry, if that is this entry.
func (e *Entry) remainingOfEntry(d fold.Drain, r *remainder) {
	if d.Name != e.settings.Name {
		return
	}
	r.Known = true
	var units int
	e.withMachine(func(m *owner.Machine) { units = len(m.Owned()) })
	r.addItems(units, "%d pools and claim ranges are not handed over yet", units)
	// A unit is released before its pool is closed.
	open := len(e.allPools())
	r.addItems(open, "%d pools are not closed yet", open)
	n := e.requestsUnderWay()
	r.addItems(n, "%d requests of callers are under way", n)
}

// remainingOfJobs adds the unfinished jobs and requests of a drained queue, team or service.
func (e *Entry) remainingOfJobs(d fold.Drain, r *remainder) {
	for _, p := range e.allPools() {
		p.mu.Lock()
		jobs := p.sched.Select(drainFilter(d))
		p.mu.Unlock()
		for _, id := range slices.Sorted(maps.Keys(jobs)) {
			// A job that has not ended counts even if it has no waiting or active task.
			r.addItems(max(jobs[id], 1), "job %s has %d unfinished tasks in pool %s", id, jobs[id], p.id)
		}
	}
	if d.Kind == fold.DrainService {
		n := e.routers.inflight(d.Name, "")
		r.addItems(n, "%d requests through entry %s are under way", n, e.settings.Name)
	}
}

// inflight returns the number of requests under way at the endpoints of a service or at one endpoint. Empty names match
// all.
func (r *routers) inflight(service, endpoint string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	sum := 0
	for name, svc := range r.services {
		if service == "" || service == name {
			svc.mu.Lock()
			sum += svc.table.Inflight(endpoint)
			svc.mu.Unlock()
		}
	}
	return sum
}
