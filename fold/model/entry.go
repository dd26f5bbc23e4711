package model

import (
	"slices"
	"time"

	"plantainfold.example/fold"
	"plantainfold.example/fold/core"
	"plantainfold.example/fold/lead"
	"plantainfold.example/fold/lease"
)

// Times and limits of an entry, as in packages node and drive.
const (
	// pingInterval is the time between pings to an owner that does not answer; minUnanswered of them shorten the wait for a
	// takeover.
	pingInterval    = 50 * time.Millisecond
	minUnanswered   = 3
	rowReadInterval = 1200 * time.Millisecond
	turnTime        = 40 * time.Millisecond
	// unlistedTurns is the number of turns of entries that the row does not list.
	unlistedTurns   = 3
	closeTimeout    = 250 * time.Millisecond
	healthyReadTime = 50 * time.Millisecond
	healthyPeriod   = 3 * time.Second
	releaseTimeout  = 1500 * time.Millisecond
	finishTimeout   = time.Second
)

// entry is a process that can own the pool. It watches the owner's row like package node.
type entry struct {
	world  *World
	number int
	// incarnation counts the starts of the process. It is down until it starts again.
	incarnation int
	down        bool
	// pausedUntil is when the process runs again.
	pausedUntil fold.Instant
	// table is the link to the table, peers and hosts are those to the other entries and to the hosts.
	table link
	peers map[*entry]*link
	hosts map[*host]*link

	owner *owner
	// attempted is the epoch of a takeover whose outcome is not known, or 0.
	attempted int64
	// row is the owner's row as last read at readAt. It was first seen with rowVersion at rowChangedAt.
	row                  ownerRow
	rowVersion           int64
	rowChangedAt, readAt fold.Instant
	// goodReads counts the consecutive successful reads, unanswered the pings without an answer.
	goodReads, unanswered int
	// invited is the epoch from whose owner the entry was invited to take over.
	invited int64
	// announced is the epoch whose owner announced that it starts runs without records, or 0. closed is the highest epoch
	// whose announcements are refused.
	announced, closed int64
	// lastSlow is when the table last did not answer a read in time.
	lastSlow fold.Instant
}

// link is the connection from an entry to the table, a host or another entry. It counts the faults that are active.
type link struct {
	requestsLost, answersLost int
}

// linkTo returns the link to a host.
func (e *entry) linkTo(h *host) *link {
	l, ok := e.hosts[h]
	if !ok {
		l = &link{}
		e.hosts[h] = l
	}
	return l
}

// linkToPeer returns the link to another entry.
func (e *entry) linkToPeer(p *entry) *link {
	l, ok := e.peers[p]
	if !ok {
		l = &link{}
		e.peers[p] = l
	}
	return l
}

// newEntry returns an entry that runs.
func (w *World) newEntry(number int) *entry {
	return &entry{world: w, number: number, peers: make(map[*entry]*link), hosts: make(map[*host]*link)}
}

// after calls fn once d has passed, or later if the process is paused then, unless it has ended meanwhile.
func (e *entry) after(d time.Duration, fn func()) {
	incarnation := e.incarnation
	var call func()
	call = func() {
		switch pause := e.pausedUntil.Sub(e.world.now); {
		case e.incarnation != incarnation || e.down:
		case pause > 0:
			// What became due during a pause runs in any order.
			e.world.after(pause+time.Duration(e.world.faults.Int64N(int64(resumeSpread))), call)
		default:
			fn()
		}
	}
	e.world.after(d, call)
}

// resumeSpread is the time in which everything runs that became due during a pause.
const resumeSpread = 2 * time.Millisecond

// answers reports whether a peer answers a call within the limit for pings.
func (e *entry) answers(p *entry) bool {
	l := e.linkToPeer(p)
	return !p.down && p.pausedUntil <= e.world.now && l.requestsLost == 0 && l.answersLost == 0
}

// respondingPeers returns the other processes that answer.
func (e *entry) respondingPeers() []process {
	var peers []process
	for _, p := range e.world.entries {
		if p != e && e.answers(p) {
			peers = append(peers, p.process())
		}
	}
	return peers
}

func (e *entry) process() process {
	return process{entry: e.number, incarnation: e.incarnation}
}

// reachesTable reports whether the table answers the entry.
func (e *entry) reachesTable() bool {
	return e.world.tableUp && e.table.requestsLost == 0 && e.table.answersLost == 0
}

// tableHealthy reports whether the table answers the reads of the entry quickly.
func (e *entry) tableHealthy() bool {
	w := e.world
	return e.reachesTable() && w.slowTable == 0 && (e.lastSlow == 0 || w.now.Sub(e.lastSlow) >= healthyPeriod)
}

// ownedEpoch returns the epoch in which the entry owns the pool or tries to, or 0.
func (e *entry) ownedEpoch() int64 {
	if e.owner != nil && !e.owner.dead {
		if e.owner.canCommit() {
			return e.owner.epoch
		}
		return 0
	}
	return e.attempted
}

// ownerState is what an entry concludes about the owner from a ping.
type ownerState int

const (
	ownerNotSuspected ownerState = iota
	ownerSilent
	ownerGone
)

func (e *entry) probe() ownerState {
	row := e.row
	if e.readAt == 0 || row.entry == noEntry {
		return ownerNotSuspected
	}
	if row.entry == e.number {
		if row.incarnation != e.incarnation {
			return ownerGone
		}
		return ownerNotSuspected
	}
	p := e.world.entries[row.entry]
	l := e.linkToPeer(p)
	switch {
	case l.requestsLost > 0 || l.answersLost > 0 || !p.down && p.pausedUntil > e.world.now:
		return ownerSilent
	case p.down || p.ownedEpoch() < row.epoch && e.goodReads > 1:
		return ownerGone
	default:
		return ownerNotSuspected
	}
}

// watch follows the owner until a takeover is due.
func (e *entry) watch() {
	state := e.probe()
	if state == ownerSilent {
		e.unanswered++
	} else {
		e.unanswered = 0
	}
	next := func() {
		wait := lead.PollInterval
		if e.unanswered > 0 {
			wait = pingInterval
		}
		e.after(wait, e.watch)
	}
	if state == ownerNotSuspected && e.row.entry != noEntry && e.invited != e.row.epoch && e.readAt != 0 && e.world.now.Sub(e.readAt) < rowReadInterval {
		next()
		return
	}
	epoch := e.row.epoch
	e.readRow(func(read bool) {
		if e.row.epoch != epoch {
			state, e.unanswered = ownerNotSuspected, 0
		}
		if !read {
			e.goodReads = 0
			next()
			return
		}
		e.goodReads++
		if !e.takeoverDue(state) {
			next()
			return
		}
		e.takeTurn()
	})
}

// readRow reads the owner's row.
func (e *entry) readRow(done func(read bool)) {
	var row ownerRow
	var version int64
	sent := e.world.now
	e.callTable(commitTimeout, func() outcome {
		row, version = e.world.store.row, e.world.store.rowVersion
		return outcomeDone
	}, func(result outcome) {
		now := e.world.now
		if result != outcomeDone {
			done(false)
			return
		}
		if now.Sub(sent) > healthyReadTime {
			e.lastSlow = now
		}
		if e.rowChangedAt == 0 || version != e.rowVersion {
			e.rowChangedAt = now
		}
		e.row, e.rowVersion, e.readAt = row, version, now
		done(true)
	})
}

func (e *entry) takeoverDue(state ownerState) bool {
	return e.row.entry == noEntry || state == ownerGone || e.row.epoch > 0 && e.invited == e.row.epoch ||
		e.world.now.Sub(e.rowChangedAt) > lead.TakeoverDelayFor(2*commitTime, e.unanswered >= minUnanswered)
}

// takeTurn waits so that entries that the row lists earlier try first, and takes over if the row is unchanged.
func (e *entry) takeTurn() {
	row, version := e.row, e.rowVersion
	turn := slices.Index(row.listed, e.process())
	if turn < 0 {
		turn = len(row.listed) + e.world.faults.IntN(unlistedTurns)
	}
	if e.invited == row.epoch {
		turn = 0
	}
	e.after(time.Duration(turn)*turnTime, func() {
		e.readRow(func(read bool) {
			if !read || e.rowVersion != version {
				e.invited = 0
				e.after(lead.PollInterval, e.watch)
				return
			}
			e.takeOver(row, version)
		})
	})
}

// takeOver writes the owner's row and begins a term once the answer arrives.
func (e *entry) takeOver(previous ownerRow, version int64) {
	w := e.world
	e.closed = max(e.closed, previous.epoch)
	next := ownerRow{epoch: previous.epoch + 1, entry: e.number, incarnation: e.incarnation}
	e.attempted = next.epoch
	t := &term{entry: e, version: version, began: w.now, previousCommit: e.rowChangedAt, previousLeases: previous.leases}
	w.log.Debug("An entry sends a takeover.", "entry", e.number, "epoch", next.epoch)
	t.commit(next, func(int64) {
		w.log.Debug("The table has applied a takeover.", "entry", e.number, "epoch", next.epoch)
	}, func(result outcome) {
		if result != outcomeDone {
			e.attempted, e.invited = 0, 0
			e.after(lead.PollInterval, e.watch)
			return
		}
		e.askToClose(previous, func(await bool) { e.beginTerm(t, await) })
	})
	if w.pauseTakeover > 0 {
		w.log.Debug("Pausing an entry in its takeover.", "entry", e.number, "for", w.pauseTakeover.String())
		e.pausedUntil = max(e.pausedUntil, w.now.Add(w.pauseTakeover))
		w.pauseTakeover = 0
	}
}

// askToClose finds out whether the previous owner may have started runs without records.
func (e *entry) askToClose(previous ownerRow, done func(await bool)) {
	possible := !slices.Contains(previous.listed, e.process())
	switch {
	case previous.epoch == 0:
		possible = false
	case e.announced == previous.epoch:
		possible = true
	}
	if !possible {
		done(false)
		return
	}
	excluded, wait := false, 2*messageDelay
	for _, listed := range previous.listed {
		p := e.world.entries[listed.entry]
		switch {
		case p == e:
			// This process is not listed, so an earlier one is. It has left no registration to ask at.
		case p.process() == listed && e.answers(p):
			p.closed = max(p.closed, previous.epoch)
			excluded = excluded || p.announced != previous.epoch
		case !p.down:
			wait = closeTimeout
		}
	}
	if excluded {
		wait = 2 * messageDelay
	}
	e.after(wait, func() { done(!excluded) })
}

// beginTerm starts an owner. Like drive.New, it counts its permission from the sending of the takeover, and the leases of earlier
// owners from the time at which this entry first saw the last row of the previous owner.
func (e *entry) beginTerm(t *term, await bool) {
	w := e.world
	o := w.newOwner(e, t.row.epoch, t.began, t.previousCommit)
	if t.previousLeases != nil {
		o.cell.SetForeignLeases(*t.previousLeases)
	}
	o.term = t
	w.owner, e.owner, e.attempted = o, o, 0
	w.log.Debug("An entry owns the pool.", "entry", e.number, "epoch", o.epoch, "await", await)
	o.load(await, func(state loadedState) {
		w.log.Debug("The owner has loaded the jobs.", "entry", e.number, "epoch", o.epoch, "jobs", len(state.jobs), "awaited", len(state.awaited))
		o.setTime()
		o.cell.SetAwaited(state.awaited)
		for _, spec := range state.jobs {
			o.cell.RestoreJob(spec, state.records[spec.ID])
		}
		for id := range state.records {
			o.knownJobs[id] = true
		}
		for _, id := range state.cancels {
			o.knownCancels[id] = o.cell.Cancel(id) || state.records[id].State.Final()
		}
		o.roster()
		o.follow()
		o.tick()
		if p := w.cutTerm; p != nil {
			w.cutTerm = nil
			w.cutTable([]*entry{e}, *p)
		}
	})
}

// endTerm ends the term of an owner, which hands the pool over unless another entry owns it.
func (o *owner) endTerm(handOver bool) {
	if o.dead {
		return
	}
	o.dead = true
	if o.term == nil {
		return
	}
	e, t := o.entry, o.term
	o.world.log.Debug("The term of an owner ends.", "entry", e.number, "epoch", o.epoch, "handOver", handOver)
	resume := func() {
		e.owner, e.invited = nil, 0
		e.after(lead.PollInterval, e.watch)
	}
	if !handOver {
		t.ended = true
		resume()
		return
	}
	release := func() {
		t.ended = false
		next := t.row
		next.count++
		next.entry = noEntry
		bounds := o.leaseBounds()
		next.leases = &bounds
		e.after(releaseTimeout, func() { t.ended = true })
		t.commit(next, func(int64) {}, func(result outcome) {
			if result == outcomeDone {
				o.invite()
			}
			resume()
		})
	}
	if !t.committing {
		release()
		return
	}
	// The commit in progress may finish.
	e.after(finishTimeout, func() { t.ended = true })
	var wait func()
	wait = func() {
		if t.committing {
			e.after(tickTime, wait)
			return
		}
		release()
	}
	wait()
}

// leaseBounds returns bounds of the leases of the owner and earlier ones, as in package drive.
func (o *owner) leaseBounds() lease.Bounds {
	o.setTime()
	return o.cell.LeaseBounds(func(host string) time.Duration {
		if state, ok := o.holds[host]; ok {
			return state.grant.Remaining(o.world.now)
		}
		return 0
	}, maxBoundedHosts)
}

// maxBoundedHosts limits the hosts in leaseBounds, as in package drive.
const maxBoundedHosts = 500

// invite asks the first entry that answers to take over.
func (o *owner) invite() {
	for _, p := range o.entry.respondingPeers() {
		e := o.world.entries[p.entry]
		e.invited = o.epoch
		return
	}
}

// crash ends the process of the entry, which starts again after d.
func (e *entry) crash(d time.Duration) {
	if e.down {
		return
	}
	if e.owner != nil {
		e.owner.dead = true
		e.owner = nil
	}
	e.down = true
	e.world.after(d, func() {
		e.down = false
		e.incarnation++
		e.attempted, e.invited, e.announced, e.closed = 0, 0, 0, 0
		e.row, e.rowVersion, e.rowChangedAt, e.readAt, e.goodReads, e.unanswered = ownerRow{}, 0, 0, 0, 0, 0
		e.after(pingInterval, e.watch)
	})
}

// announcement is what an owner has told the other entries about runs without records, as in package drive.
type announcement struct {
	listed, told          []process
	number                int64
	on, sending, clearDue bool
}

// mayStartUnrecorded reports whether runs may start before they are recorded, as in package drive.
func (o *owner) mayStartUnrecorded() bool {
	stalledFor := o.stalledFor()
	if stalledFor < stalledAfter || !o.permitted() {
		return false
	}
	n := &o.announcement
	if n.on || n.sending {
		return n.on
	}
	n.sending, n.clearDue = true, true
	n.number++
	n.told = n.listed
	recorded := true
	wait := 2 * messageDelay
	for _, told := range n.told {
		p := o.world.entries[told.entry]
		switch {
		case p.process() != told || !o.entry.answers(p):
			recorded, wait = false, closeTimeout
		case p.tableHealthy() || o.epoch <= p.closed || o.epoch < p.row.epoch:
			recorded = false
		default:
			p.announced = o.epoch
		}
	}
	o.after(wait, func() {
		if !recorded && o.stalledFor() > inviteAfter {
			o.invite()
		}
		n.sending, n.on = false, recorded
		if recorded {
			o.decide()
		}
	})
	return false
}

// inviteAfter is how long a commit is stalled before the owner invites another entry.
const inviteAfter = 500 * time.Millisecond

// stalledFor returns how long the commit in progress has been running, or 0.
func (o *owner) stalledFor() time.Duration {
	if o.commitBegan == 0 {
		return 0
	}
	return o.world.now.Sub(o.commitBegan)
}

// entriesToList returns the entries that the next commit lists.
func (o *owner) entriesToList() []process {
	n := &o.announcement
	entries := o.entry.respondingPeers()
	if n.clearDue {
		entries = slices.DeleteFunc(entries, func(p process) bool { return !slices.Contains(n.told, p) })
	}
	for _, p := range entries {
		if !slices.Contains(n.listed, p) {
			n.listed = append(slices.Clone(n.listed), p)
		}
	}
	return entries
}

// revoke revokes an announcement.
func (o *owner) revoke(number int64) {
	n := &o.announcement
	if n.number != number || !n.clearDue {
		return
	}
	n.clearDue = false
	for _, told := range n.told {
		if p := o.world.entries[told.entry]; p.process() == told && o.entry.answers(p) && p.announced == o.epoch && o.epoch > p.closed {
			p.announced = 0
		}
	}
}

// canCommit reports whether the table accepts the owner's commits, as in package drive.
func (o *owner) canCommit() bool {
	return o.rejectedSince == 0 || o.world.now.Sub(o.rejectedSince) < maxRejected
}

// maxRejected is how long the table may reject commits before the owner tells other entries that it cannot commit.
const maxRejected = 350 * time.Millisecond

// batch is what one commit writes. It is idle if it only renews the ownership.
type batch struct {
	writes             []core.Write
	hosts              []core.RecordedHost
	hostsChanged, idle bool
	// announced is the number of the announcement that is revoked once the batch is written, if revocable is set.
	announced int64
	revocable bool
}

// commitRow commits a batch, or nothing if the ownership need not be renewed yet.
func (o *owner) commitRow(b batch) {
	if b.idle && o.world.now.Sub(o.committed) < lead.RenewInterval {
		o.committing = false
		o.runWaiting()
		return
	}
	n := &o.announcement
	b.announced, b.revocable = n.number, n.clearDue && !n.on && !n.sending
	o.commitBegan = o.world.now
	o.writeRow(b)
}

// writeRow commits a batch together with the owner's row, as in package drive.
func (o *owner) writeRow(b batch) {
	w := o.world
	sent := w.now
	next := o.term.row
	next.count++
	next.listed = o.entriesToList()
	var version int64
	o.term.commit(next, func(at int64) {
		version = at
		if b.hostsChanged {
			w.store.used, w.store.usedEpoch = b.hosts, o.epoch
		}
		for _, x := range b.writes {
			w.store.records[x.Job] = x.Record
			w.recordShown(x.Job, x.Record.State)
		}
	}, func(result outcome) {
		if o.dead {
			return
		}
		switch result {
		case outcomeDone:
		case outcomeRefused:
			if o.rejectedSince == 0 {
				o.rejectedSince = w.now
			}
			o.after(tableRetryDelay, func() { o.writeRow(b) })
			return
		case outcomeConflict, outcomeUnknown:
			o.endTerm(false)
			return
		}
		o.setTime()
		o.committed, o.rejectedSince = sent, 0
		o.announcement.listed, o.announcement.on = next.listed, false
		o.cell.SetCommitted(version)
		o.cell.SnapshotRecorded(b.writes)
		if b.hostsChanged {
			o.cell.SetRecordedHosts(b.hosts)
		}
		if b.revocable {
			o.revoke(b.announced)
		}
		o.finishCommit()
	})
}

// permitted reports whether leases may be renewed and runs started.
func (o *owner) permitted() bool {
	return o.world.now.Sub(o.committed) < keepTime
}

// follow reads the jobs and cancellation requests that callers wrote to the table since the last read.
func (o *owner) follow() {
	o.entry.callTable(commitTimeout, func() outcome { return outcomeDone }, func(result outcome) {
		if o.dead {
			return
		}
		if result == outcomeDone {
			o.readJobs()
		}
		o.after(feedPause, o.follow)
	})
}

// feedPause is the delay between two reads of new jobs.
const feedPause = 150 * time.Millisecond

func (o *owner) readJobs() {
	w := o.world
	for _, j := range w.jobs {
		id := j.spec.ID
		if spec, stored := w.store.jobs[id]; stored && !o.knownJobs[id] {
			o.knownJobs[id] = true
			o.update(func(c *core.Cell) { c.AddJob(spec, w.store.jobVersions[id]) })
		}
		if w.store.cancels[id] && o.knownJobs[id] && !o.knownCancels[id] {
			o.knownCancels[id] = true
			o.update(func(c *core.Cell) { c.Cancel(id) })
		}
	}
}

// maxUnanswered returns how many hold calls may get no answer before a host counts as silent.
func (o *owner) maxUnanswered() int {
	if o.term == nil {
		return 0
	}
	return 1
}

// maxBlindAck is how long after an answer of a host ends are acknowledged, as in package relay.
const maxBlindAck = 350 * time.Millisecond

// holdLikeRelay makes the next hold call to a host and schedules the one after it, as in package relay. known reports whether
// the host must be asked for reports.
func (o *owner) holdLikeRelay(h *host, contact core.Contact, known bool) {
	state := o.holds[h.info.ID]
	if !known {
		if *state != (holdState{}) {
			// The host is released, so what the relay knows of its leases is lost.
			o.cell.RecordLease(h.info.ID, lease.MaxDuration(maxLease))
			*state = holdState{}
		}
		o.after(tickTime, func() { o.hold(h) })
		return
	}
	now := o.world.now
	req := fold.HoldRequest{Fence: o.epoch}
	if state.unanswered <= o.maxUnanswered() && o.permitted() {
		req.LeaseEnd = state.grant.Renew(now, maxLease)
	}
	if state.unanswered == 0 {
		if state.grant.ClockKnown() {
			req.Wait = contact.MaxWait
		}
		if contact.Host.Incarnation == state.incarnation && state.answeredAt != 0 && now.Sub(state.answeredAt) <= maxBlindAck {
			req.Acked = contact.Acked
		}
	}
	incarnation := state.incarnation
	execute := func(answer func(func())) {
		h.hold(h.effective(req, incarnation), func(reply fold.HoldReply, err error) {
			answer(func() {
				if err != nil {
					o.stopIfFenced(err)
					return
				}
				state.applyReply(reply, o.world.now)
				state.answeredAt = o.world.now
				o.update(func(c *core.Cell) { c.ApplyReport(h.info.ID, now, reply, state.grant.Remaining(o.world.now)) })
				o.awaitRecord(h)
			})
		})
	}
	call := execute
	if o.world.faults.Float64() < o.world.lateShare {
		call = func(func(func())) { o.holdLate(h, req) }
	}
	o.deliver(h, req.Wait+holdTime, call)(func() {
		state.unanswered++
		if state.unanswered <= o.maxUnanswered() {
			o.hold(h)
			return
		}
		if state.unanswered == o.maxUnanswered()+1 {
			if latest, ok := o.cell.Contact(h.info.ID); ok {
				o.update(func(c *core.Cell) {
					c.RecordSilence(h.info.ID, latest.Host.Incarnation, state.grant.Remaining(o.world.now))
				})
			}
		}
		o.after(holdRetryDelay, func() { o.hold(h) })
	})
}

// holdLate executes a hold call seconds late, without an answer.
func (o *owner) holdLate(h *host, req fold.HoldRequest) {
	incarnation := h.incarnation
	o.world.after(2*time.Second+time.Duration(o.world.faults.Int64N(int64(10*time.Second))), func() {
		// In another incarnation the call would acknowledge ends with the numbers of this one.
		if h.incarnation == incarnation && h.up && !h.cut {
			req.Wait = 0
			h.hold(req, func(fold.HoldReply, error) {})
		}
	})
}

// hostDelay returns how long a message to or from a host takes.
func (w *World) hostDelay() time.Duration {
	if w.day.Entries == 0 || w.faults.Float64() > slowMessages {
		return messageDelay
	}
	return messageDelay + time.Duration(w.faults.ExpFloat64()*float64(slowMessageTime))
}

const (
	// slowMessages is the share of messages to and from hosts that newer ones may overtake.
	slowMessages = 0.03
	// slowMessageTime is the mean time of such a message.
	slowMessageTime = 100 * time.Millisecond
)

// startLikeRelay sends a start. Like package relay, it waits for the host's clock, and reports a refusal a little later. asked
// is when the start was ordered.
func (o *owner) startLikeRelay(s core.Start, asked fold.Instant) {
	refuse := func(why string) {
		o.after(eventDelay, func() {
			o.update(func(c *core.Cell) { c.ApplyStart(s, fold.Refuse(fold.Unavailable, "", "%s", why)) })
		})
	}
	state := o.holds[s.Host.ID]
	switch {
	case state == nil || !state.grant.ClockKnown() && o.world.now.Sub(asked) >= orderTime:
		refuse("the host has not answered yet")
	case !state.grant.ClockKnown():
		o.after(eventDelay, func() { o.startLikeRelay(s, asked) })
	case !o.permitted():
		refuse("not renewed")
	case state.unanswered > o.maxUnanswered():
		refuse("the host does not answer")
	default:
		o.sendStart(o.world.find(s.Host.ID), state, s)
	}
}

// eventDelay is how long a relay gathers events.
const eventDelay = 2 * time.Millisecond
