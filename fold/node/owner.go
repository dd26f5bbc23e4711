package node

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/joomcode/errorx"

	"plantainfold.example/fold"
	"plantainfold.example/fold/drive"
	"plantainfold.example/fold/lead"
)

const (
	// turnTime is the shortest length of a turn: the delay between the takeover attempts of successive entries in the owner's row.
	turnTime = 40 * time.Millisecond
	// turnReads lengthens a turn to the duration of this many reads if the table is slow, so that one attempt ends before the
	// next begins.
	turnReads = 3
	// rowReadInterval is how often the row is read while its owner answers pings. The row also holds the counts of
	// waiting jobs: callers accept counts that are two seconds old, and the last ones are reported until they are
	// maxCountsAge old.
	rowReadInterval = 1200 * time.Millisecond
	// unlistedPollFactor lengthens the poll interval of entries that are missing from a full list in the row, because they take
	// over last and the owner has to answer the pings of hundreds of them.
	unlistedPollFactor = 4
	// firstPollDelay is the delay between the first read of a process and its first ping to the owner.
	firstPollDelay = 20 * time.Millisecond
	// readWeight is the weight of the last read in the moving average of the read time.
	readWeight = 0.3
	// unlistedTurns is the number of turns over which unlisted entries spread their takeover attempts at random.
	unlistedTurns = 8
	// Unlisted entries wait for at most maxListedTurns turns of listed ones, because all listed entries may have failed.
	maxListedTurns = 3
	// strengthDelay, divided by the entry's strength (see Settings.Strength), is the wait of every entry if there is no row
	// yet. It is also added to the wait of unlisted entries. Stronger entries therefore try first.
	strengthDelay = 40 * time.Millisecond
	// minStrength is the lowest strength by which strengthDelay is divided.
	minStrength = 0.05
	// pingTimeout limits a ping, which asks an entry for the epoch that it owns, and other short calls between entries.
	pingTimeout = 250 * time.Millisecond
	// minUnansweredPings is the number of consecutive unanswered pings after which the shorter SilentTakeoverDelay applies.
	minUnansweredPings = 3
	// repeatPingInterval is the interval of pings after an unanswered one.
	repeatPingInterval = 50 * time.Millisecond
	// repeatPingTimeout limits a ping that follows an unanswered one; an owner that works normally answers within it.
	repeatPingTimeout = 120 * time.Millisecond
	// releaseTimeout limits the hand-over of the pool.
	releaseTimeout = 1500 * time.Millisecond
	// heldUpTime is how late a timer must fire for the log to say that the process got no processor time.
	heldUpTime = 250 * time.Millisecond
	// maxCountsAge is the greatest age of the owner's counts of waiting jobs that are reported to callers.
	maxCountsAge = 4 * time.Second
)

// ownerRowState is an entry's last known state of the owner's row.
type ownerRowState struct {
	// owner is the content of the row.
	owner lead.Owner
	// version is the version of the row.
	version int64
	// changedAt is when the row was first seen with this version.
	changedAt fold.Instant
	// readAt is when the row was last read.
	readAt fold.Instant
	// readTime is the moving average of the duration of a read.
	readTime time.Duration
	// lastSlowRead is when a read last took longer than healthyReadTime.
	lastSlowRead fold.Instant
}

// ownLoop watches the owner and takes over the pool when a takeover is due and no other entry is faster, until ctx ends.
func (n *Node) ownLoop(ctx context.Context) {
	lastError := ""
	for ctx.Err() == nil {
		row, err := n.watch(ctx)
		if err != nil {
			return
		}
		owner := row.owner
		term, err := n.takeOver(ctx, owner, row.version)
		if err != nil {
			// The takeover has failed, or ctx has ended.
			n.setAttemptedEpoch(0)
		}
		switch {
		case err == nil:
			n.serveTerm(ctx, term, row, n.unrecordedRunsPossible(owner) && !n.othersExcludeUnrecordedRuns(ctx, owner))
		case ctx.Err() == nil:
			n.forgetInvitation()
			// Without a configuration each attempt fails with the same error, which is logged at Info only once.
			level := hclog.Info
			if err.Error() == lastError {
				level = hclog.Debug
			}
			lastError = err.Error()
			n.log.Log(level, "Could not take over the pool.", "owner", owner.Entry, "epoch", owner.Epoch, "error", err)
		}
	}
}

// watch follows the owner until a takeover is due, and returns the last read state of its row. It returns an error only when
// ctx ends. While the owner answers pings, its row is read less often.
func (n *Node) watch(ctx context.Context) (ownerRowState, error) {
	var s ownerRowState
	goodReads, unansweredPings := 0, 0
	for first := true; ; first = false {
		state := ownerNotSuspected
		if !first {
			state = n.probe(ctx, s.owner, goodReads > 1, unansweredPings > 0)
		}
		if state == ownerSilent {
			unansweredPings++
		} else {
			unansweredPings = 0
		}
		if state != ownerNotSuspected || s.owner.Entry == "" || n.isInvited(s.owner.Epoch) || n.clock.Now().Sub(s.readAt) >= rowReadInterval {
			epoch := s.owner.Epoch
			goodReads = n.readOwnerRow(ctx, &s, goodReads)
			if s.owner.Epoch != epoch {
				state, unansweredPings = ownerNotSuspected, 0
			}
			if due, why := n.takeoverDue(s, state, unansweredPings); goodReads > 0 && due {
				n.logDue(s, why, unansweredPings)
				return s, nil
			}
		}
		wait := lead.PollInterval
		switch {
		case first:
			// If the row names an earlier process of this entry, the next probe detects it.
			wait = firstPollDelay
		case unansweredPings > 0:
			wait = repeatPingInterval
		case len(s.owner.Entries) >= maxListed && !slices.Contains(s.owner.Entries, n.incarnation):
			wait = unlistedPollFactor * lead.PollInterval
		}
		if err := n.awaitPoll(ctx, wait); err != nil {
			return ownerRowState{}, err
		}
	}
}

// awaitPoll waits until it is time to ask for the owner again, or until this entry is invited to take over.
func (n *Node) awaitPoll(ctx context.Context, wait time.Duration) error {
	began := n.clock.Now()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-n.invited:
	case <-n.clock.After(wait):
	}
	if late := n.clock.Now().Sub(began) - wait; late > heldUpTime {
		n.log.Warn("This process was held up.", "for", late.String())
	}
	return nil
}

// logDue logs that a takeover is due. Without a configuration no takeover succeeds, and each round would repeat the line.
func (n *Node) logDue(s ownerRowState, why string, unansweredPings int) {
	level := hclog.Info
	if index, _, _ := n.rules.Current(); index == nil {
		level = hclog.Debug
	}
	n.log.Log(level, "A takeover of the pool is due.", "owner", s.owner.Entry, "epoch", s.owner.Epoch, "why", why, "unchanged", n.clock.Now().Sub(s.changedAt).String(), "unanswered", unansweredPings)
}

// takeoverDue reports whether an entry other than the owner may take over, and why. The last probe found the owner in the
// given state.
func (n *Node) takeoverDue(s ownerRowState, state ownerState, unansweredPings int) (due bool, why string) {
	switch {
	case s.owner.Entry == "":
		return true, "no entry owns the pool"
	case state == ownerGone:
		return true, "the owner is gone"
	case n.isInvited(s.owner.Epoch):
		return true, "the owner has invited this entry"
	default:
		return n.clock.Now().Sub(s.changedAt) > lead.TakeoverDelayFor(s.readTime, unansweredPings >= minUnansweredPings), "the owner does not commit"
	}
}

// readOwnerRow reads the owner's row into s and returns the number of consecutive successful reads, 0 after a failed one.
func (n *Node) readOwnerRow(ctx context.Context, s *ownerRowState, goodReads int) int {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	sent := n.clock.Now()
	owner, version, err := lead.Read(ctx, n.parts.Table)
	now := n.clock.Now()
	if err != nil {
		return 0
	}
	if s.changedAt == 0 || version != s.version {
		if s.owner.Epoch != owner.Epoch {
			// This is also logged for the first owner that this process learns of.
			n.log.Info("The pool has a new owner.", "owner", owner.Entry, "epoch", owner.Epoch)
		}
		s.changedAt = now
	}
	s.owner, s.version, s.readAt = owner, version, now
	s.readTime += time.Duration(readWeight * float64(now.Sub(sent)-s.readTime))
	if now.Sub(sent) > healthyReadTime {
		s.lastSlowRead = now
	}
	n.setOwnerRow(*s)
	return goodReads + 1
}

// isInvited reports whether the owner of the epoch has invited this entry to take over.
func (n *Node) isInvited(epoch int64) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return epoch > 0 && n.invitation == epoch
}

// forgetInvitation drops an invitation after a failed takeover: the owner that sent it continues, or another entry
// was faster.
func (n *Node) forgetInvitation() {
	n.mu.Lock()
	n.invitation = 0
	n.mu.Unlock()
}

// turnDelay returns how long this entry waits so that others try first. An invited entry does not wait. Listed entries try
// in the order of the list; those that do not belong to the first FitCount ones wait for an additional PollInterval.
// Unlisted entries let the first listed ones try and then wait for a random turn.
func (n *Node) turnDelay(owner lead.Owner, readTime time.Duration) time.Duration {
	if n.isInvited(owner.Epoch) {
		return 0
	}
	turn := max(turnTime, turnReads*readTime)
	if owner.Epoch == 0 {
		// There is no row yet: weaker entries wait longer.
		return time.Duration(float64(strengthDelay) / max(minStrength, n.settings.Strength()))
	}
	rank := slices.Index(owner.Entries, n.incarnation)
	switch {
	case rank < 0:
		after := min(len(owner.Entries), maxListedTurns) + rand.IntN(unlistedTurns)
		return time.Duration(after)*turn + time.Duration(float64(strengthDelay)/max(minStrength, n.settings.Strength()))
	case rank < owner.FitCount:
		return time.Duration(rank) * turn
	default:
		return lead.PollInterval + time.Duration(rank)*turn
	}
}

// ownerState is what this entry concludes about the owner, usually from a ping.
type ownerState int

const (
	// ownerNotSuspected is an owner that answers, or that this entry does not ask.
	ownerNotSuspected ownerState = iota
	// ownerSilent is an owner that does not answer but may still own the pool.
	ownerSilent
	// ownerGone is an owner that no longer owns the pool.
	ownerGone
)

// probe asks the owner named in the row for the epoch that it owns. The owner is gone if its port refuses connections, or if
// the epoch is lower than that in the row. An owner also answers 0 while it cannot commit to the table; a lower epoch
// therefore counts only if tableSteady is true: the table has answered at least the last two reads of this entry. The
// argument repeated is true if the last ping was not answered.
func (n *Node) probe(ctx context.Context, owner lead.Owner, tableSteady, repeated bool) ownerState {
	if owner.Entry == n.settings.Name {
		if owner.Incarnation != n.incarnation {
			// The owner was an earlier process of this entry.
			return ownerGone
		}
		return ownerNotSuspected
	}
	if owner.Entry == "" || n.peers.peerTransport() == nil {
		return ownerNotSuspected
	}
	limit := pingTimeout
	if repeated {
		limit = repeatPingTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	epoch, err := n.peers.ownedEpoch(ctx, owner.Address)
	switch {
	case err == nil && epoch < owner.Epoch && tableSteady, errors.Is(err, syscall.ECONNREFUSED):
		return ownerGone
	case err != nil:
		return ownerSilent
	default:
		return ownerNotSuspected
	}
}

func (n *Node) setOwnerRow(s ownerRowState) {
	n.mu.Lock()
	n.ownerRow = s
	n.mu.Unlock()
}

// takeOver waits for this entry's turn and takes over the pool if the row is still unchanged.
func (n *Node) takeOver(ctx context.Context, owner lead.Owner, version int64) (*lead.Term, error) {
	n.mu.Lock()
	readTime := n.ownerRow.readTime
	n.mu.Unlock()
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-n.clock.After(n.turnDelay(owner, readTime)):
	}
	if index, _, _ := n.rules.Current(); index == nil {
		return nil, fold.Refuse(fold.Unavailable, "wait for the configuration", "cannot take over the pool: the configuration is not known yet")
	}
	readCtx, cancel := context.WithTimeout(ctx, tableTimeout)
	_, found, err := lead.Read(readCtx, n.parts.Table)
	cancel()
	if err != nil {
		return nil, err
	}
	if found != version {
		return nil, fold.Refuse(fold.Conflict, "follow the new owner", "cannot take over the pool: the owner's row has changed")
	}
	n.closeEpoch(owner.Epoch)
	n.setAttemptedEpoch(owner.Epoch + 1)
	next := lead.Owner{Entry: n.settings.Name, Incarnation: n.incarnation, Address: n.settings.Peers}
	return lead.TakeOver(ctx, n.parts.Table, n.clock, owner, version, next)
}

func (n *Node) setAttemptedEpoch(epoch int64) {
	n.mu.Lock()
	n.attemptedEpoch = epoch
	n.mu.Unlock()
}

// serveTerm runs a driver for the pool until the driver stops. Unless another entry has taken over, it then hands the pool
// over. previous is the row of the previous owner, which it replaced. awaitUnrecorded is true if that owner may have started
// unrecorded runs.
func (n *Node) serveTerm(ctx context.Context, term *lead.Term, previous ownerRowState, awaitUnrecorded bool) {
	now := n.clock.Now()
	// The last commit of the previous owner was sent before its row was first seen.
	previousCommit := previous.changedAt
	n.log.Info("This entry owns the pool.", "epoch", term.Epoch(), "await", awaitUnrecorded, "sinceTakeover", now.Sub(term.Began()).String(), "sincePreviousCommit", now.Sub(previousCommit).String(), "leases", previous.owner.Leases != nil)
	index, _, _ := n.rules.Current()
	driver := drive.New(drive.Parts{
		Table: n.parts.Table, Log: n.parts.Log, Runner: n.parts.Runner, Roster: n.parts.Roster,
		RelayCapacity: n.settings.RelayCapacity(), MaxRow: n.settings.MaxRow(), Domain: n.settings.Domain, RelayEntries: n.peers.relayEntries,
		AdviceCallers: n.peers.adviceCallers, Entries: n.peers.entries, FitterEntry: n.peers.fitterExists, Announce: n.peers.announceUnrecorded, Invite: n.peers.invite, AwaitUnrecorded: awaitUnrecorded, PreviousCommit: previousCommit, PreviousLeases: previous.owner.Leases, Clock: n.clock, Logger: n.log, Times: n.settings.Times(), Options: n.settings.Options(), Meter: n.meter,
	}, term, index.Rules())
	following, stop := context.WithCancel(ctx)
	defer stop()
	go n.peers.follow(following)
	n.setDriver(driver)
	// The rules may have changed since they were read for the driver.
	n.rules.Resend()
	n.setAttemptedEpoch(0)
	err := driver.Run(ctx)
	n.setDriver(nil)
	if err != nil {
		// After an error other than Fenced and HostFenced, this entry may own the pool until Release.
		n.log.Warn("This entry no longer owns the pool.", "epoch", term.Epoch(), "sinceCommit", driver.SinceCommit().String(), "error", err)
	}
	if errorx.IsOfType(err, fold.Fenced) || errorx.IsOfType(err, fold.HostFenced) {
		return
	}
	release, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
	defer cancel()
	if err := term.Release(release, driver.LeaseBounds()); err != nil {
		n.log.Warn("Could not hand over the pool.", "epoch", term.Epoch(), "error", err)
		return
	}
	n.log.Info("Handed over the pool.", "epoch", term.Epoch())
	n.peers.invite(release, term.Epoch())
}

func (n *Node) setDriver(d *drive.Driver) {
	n.mu.Lock()
	n.driver = d
	n.mu.Unlock()
}

// waiting returns how many jobs of a queue have not begun. It asks this entry's driver or, if there is none or it has not loaded
// all jobs, uses the owner's row as last read. It returns false if no row is known or the last read was more than maxCountsAge
// ago.
func (n *Node) waiting(queue string) (int, bool) {
	if driver, err := n.loadedDriver(); err == nil {
		return driver.Waiting()[queue], true
	}
	n.mu.Lock()
	s := n.ownerRow
	n.mu.Unlock()
	if s.version == 0 || n.clock.Now().Sub(s.readAt) > maxCountsAge {
		return 0, false
	}
	return s.owner.Waiting[queue], true
}

// setDriverRules passes a new configuration to the driver, if this entry has one.
func (n *Node) setDriverRules(rules fold.Rules) {
	n.mu.Lock()
	driver := n.driver
	n.mu.Unlock()
	if driver != nil {
		driver.SetRules(rules)
	}
}
