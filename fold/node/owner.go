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
	// takeTurn separates the entries that want to take over, in the order in which the owner's row names them; it is longer
	// where the table is slow, turnReads times a read, so that the first one is done before the second one tries.
	takeTurn  = 40 * time.Millisecond
	turnReads = 3
	// readEvery is how often the row is read while its owner says that it is at work; the counts of waiting jobs in it may
	// be two seconds old for callers.
	readEvery = 1200 * time.Millisecond
	// farPolls is how many times less often entries that the row does not name ask the owner: they take over behind the
	// others, and the owner answers hundreds of them.
	farPolls = 4
	// firstPoll separates the first read of a process from its first question to the owner.
	firstPoll = 20 * time.Millisecond
	// readWeight is the weight of the last read in the usual time of one.
	readWeight = 0.3
	// spareTurns spreads entries that the row does not name; they come behind the first ones that it does, which may all be
	// lost.
	spareTurns = 8
	firstTurns = 3
	// firstWait, divided by the strength of an entry, is how long it lets stronger ones go first where the row does not
	// name it; weakest bounds that time.
	firstWait = 40 * time.Millisecond
	weakest   = 0.05
	// pingTime bounds the question whether the owner is at work.
	pingTime = 250 * time.Millisecond
	// silentPings is how many such questions in a row go unanswered before a shorter lapse counts; after the first one they
	// come silentPoll apart, and are answered within silentTime by an owner at work.
	silentPings = 3
	silentPoll  = 50 * time.Millisecond
	silentTime  = 120 * time.Millisecond
	// releaseTime bounds the hand-over of the pool.
	releaseTime = 1500 * time.Millisecond
	// countsOld is how old the owner's counts of waiting jobs may be when they are told.
	countsOld = 4 * time.Second
)

// seat is what an entry knows of the ownership of the pool.
type seat struct {
	owner   lead.Owner
	version int64
	// changed is when the row was first seen with this version.
	changed fold.Instant
	// read is when the row was last read, usual how long a read usually takes.
	read  fold.Instant
	usual time.Duration
	// slow is when a read last took longer than by a table that serves this entry well.
	slow fold.Instant
}

// own watches the ownership and owns the pool whenever this entry's turn has come, until ctx ends.
func (n *Node) own(ctx context.Context) {
	told := ""
	for ctx.Err() == nil {
		owner, version, err := n.watch(ctx)
		if err != nil {
			return
		}
		term, err := n.take(ctx, owner, version)
		if err != nil {
			n.setAttempt(0)
		}
		switch {
		case err == nil:
			n.serveTerm(ctx, term, n.mustAwait(owner) && !n.othersDeny(ctx, owner))
		case ctx.Err() == nil:
			n.forgetInvitation()
			// While there is no configuration yet, each try ends the same.
			level := hclog.Info
			if err.Error() == told {
				level = hclog.Debug
			}
			told = err.Error()
			n.log.Log(level, "Did not take over the pool.", "owner", owner.Entry, "epoch", owner.Epoch, "error", err)
		}
	}
}

// watch follows the owner until it has lapsed; it returns an error only when ctx ends. An owner that says that it is at
// work spares reads of its row.
func (n *Node) watch(ctx context.Context) (lead.Owner, int64, error) {
	var s seat
	contacts, silent := 0, 0
	for first := true; ; first = false {
		state := ownerKnown
		if !first {
			state = n.probe(ctx, s.owner, contacts > 1, silent > 0)
		}
		if state == ownerSilent {
			silent++
		} else {
			silent = 0
		}
		if state != ownerKnown || s.owner.Entry == "" || n.isInvited(s.owner.Epoch) || n.clock.Now().Sub(s.read) >= readEvery {
			epoch := s.owner.Epoch
			contacts = n.readSeat(ctx, &s, contacts)
			if s.owner.Epoch != epoch {
				state, silent = ownerKnown, 0
			}
			if contacts > 0 && n.lapsed(s, state, silent) {
				return s.owner, s.version, nil
			}
		}
		wait := lead.PollInterval
		switch {
		case first:
			// The row may name an earlier process of this entry.
			wait = firstPoll
		case silent > 0:
			wait = silentPoll
		case len(s.owner.Entries) >= maxNamed && !slices.Contains(s.owner.Entries, n.incarnation):
			wait = farPolls * lead.PollInterval
		}
		select {
		case <-ctx.Done():
			return lead.Owner{}, 0, ctx.Err()
		case <-n.invitedNow:
		case <-n.clock.After(wait):
		}
	}
}

// lapsed reports whether another entry may take over from the owner, which was found in the given state and was silent to
// a number of questions in a row.
func (n *Node) lapsed(s seat, state ownerState, silent int) bool {
	unchanged := n.clock.Now().Sub(s.changed)
	return s.owner.Entry == "" || state == ownerGone || n.isInvited(s.owner.Epoch) || unchanged > lead.TakeoverDelayFor(s.usual, silent >= silentPings)
}

// readSeat reads the row of the owner and returns how many times in a row the table has answered now.
func (n *Node) readSeat(ctx context.Context, s *seat, contacts int) int {
	ctx, cancel := context.WithTimeout(ctx, tableTime)
	defer cancel()
	sent := n.clock.Now()
	owner, version, err := lead.Read(ctx, n.parts.Table)
	now := n.clock.Now()
	if err != nil {
		return 0
	}
	if s.changed == 0 || version != s.version {
		if s.owner.Epoch != owner.Epoch {
			n.log.Info("The pool has an owner.", "owner", owner.Entry, "epoch", owner.Epoch)
		}
		s.changed = now
	}
	s.owner, s.version, s.read = owner, version, now
	s.usual += time.Duration(readWeight * float64(now.Sub(sent)-s.usual))
	if now.Sub(sent) > servedTime {
		s.slow = now
	}
	n.setSeat(*s)
	return contacts + 1
}

// isInvited reports whether the owner of the epoch asked this entry to take over.
func (n *Node) isInvited(epoch int64) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return epoch > 0 && n.invitation == epoch
}

// forgetInvitation drops an invitation that led to nothing: its owner works on, or another entry was faster.
func (n *Node) forgetInvitation() {
	n.mu.Lock()
	n.invitation = 0
	n.mu.Unlock()
}

// wait is how long this entry lets others try first: those that the row names as fit go first, in its order.
func (n *Node) wait(owner lead.Owner, usual time.Duration) time.Duration {
	if n.isInvited(owner.Epoch) {
		return 0
	}
	turn := max(takeTurn, turnReads*usual)
	if owner.Epoch == 0 {
		// At the first start nobody knows the others: a weak entry lets others go first.
		return time.Duration(float64(firstWait) / max(weakest, n.settings.Strength()))
	}
	place := slices.Index(owner.Entries, n.incarnation)
	switch {
	case place < 0:
		after := min(len(owner.Entries), firstTurns) + rand.IntN(spareTurns)
		return time.Duration(after)*turn + time.Duration(float64(firstWait)/max(weakest, n.settings.Strength()))
	case place < owner.Strong:
		return time.Duration(place) * turn
	default:
		return lead.PollInterval + time.Duration(place)*turn
	}
}

// ownerState is what an entry learns of the owner by asking it.
type ownerState int

const (
	// ownerKnown is an owner that answers, or that cannot be asked now.
	ownerKnown ownerState = iota
	// ownerSilent does not answer; it may still be at work.
	ownerSilent
	// ownerGone does not own the pool any more.
	ownerGone
)

// probe asks the owner that the row names whether it is at work. It is gone when its process is, or when it says so
// itself. One that the table turns away says that it is not at work; that counts only while the table serves this entry
// steadily.
func (n *Node) probe(ctx context.Context, owner lead.Owner, steady, silent bool) ownerState {
	if owner.Entry == n.settings.Name {
		if owner.Incarnation != n.incarnation {
			// An earlier process of this entry.
			return ownerGone
		}
		return ownerKnown
	}
	if owner.Entry == "" || n.peers.link() == nil {
		return ownerKnown
	}
	limit := pingTime
	if silent {
		limit = silentTime
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	epoch, err := n.peers.owns(ctx, owner.Address)
	switch {
	case err == nil && epoch < owner.Epoch && steady, errors.Is(err, syscall.ECONNREFUSED):
		return ownerGone
	case err != nil:
		return ownerSilent
	default:
		return ownerKnown
	}
}

func (n *Node) setSeat(s seat) {
	n.mu.Lock()
	n.seat = s
	n.mu.Unlock()
}

// take takes the pool over when this entry's turn has come and the row is still unchanged.
func (n *Node) take(ctx context.Context, owner lead.Owner, version int64) (*lead.Term, error) {
	n.mu.Lock()
	usual := n.seat.usual
	n.mu.Unlock()
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-n.clock.After(n.wait(owner, usual)):
	}
	if b, _, _ := n.rules.Current(); b == nil {
		return nil, fold.Refuse(fold.Unavailable, "wait for the configuration", "the configuration is not known yet")
	}
	call, cancel := context.WithTimeout(ctx, tableTime)
	_, found, err := lead.Read(call, n.parts.Table)
	cancel()
	if err != nil {
		return nil, err
	}
	if found != version {
		return nil, fold.Refuse(fold.Conflict, "follow the new owner", "the owner's row has changed")
	}
	n.closeEpoch(owner.Epoch)
	n.setAttempt(owner.Epoch + 1)
	next := lead.Owner{Entry: n.settings.Name, Incarnation: n.incarnation, Address: n.settings.Peers}
	return lead.TakeOver(ctx, n.parts.Table, n.clock, owner, version, next)
}

func (n *Node) setAttempt(epoch int64) {
	n.mu.Lock()
	n.attempt = epoch
	n.mu.Unlock()
}

// serveTerm owns the pool until another entry takes over or ctx ends; then it hands over.
func (n *Node) serveTerm(ctx context.Context, term *lead.Term, await bool) {
	n.log.Info("Owner of the pool.", "epoch", term.Epoch(), "await", await)
	b, _, _ := n.rules.Current()
	driver := drive.New(drive.Parts{
		Table: n.parts.Table, Log: n.parts.Log, Runner: n.parts.Runner, Roster: n.parts.Roster,
		RelayCapacity: n.settings.RelayCapacity(), Domain: n.settings.Domain, RelayEntries: n.peers.helpers,
		AdviceCallers: n.peers.askers, Entries: n.peers.entries, StrongerEntry: n.peers.stronger, Announce: n.peers.announce, Invite: n.peers.invite, AwaitUnrecorded: await, Clock: n.clock, Logger: n.log, Times: n.settings.Times(), Meter: n.meter,
	}, term, b.Rules())
	following, stop := context.WithCancel(ctx)
	defer stop()
	go n.peers.follow(following)
	n.setDriver(driver)
	n.setAttempt(0)
	err := driver.Run(ctx)
	n.setDriver(nil)
	if err != nil {
		n.log.Warn("No longer owner of the pool.", "epoch", term.Epoch(), "error", err)
	}
	if errorx.IsOfType(err, fold.Fenced) || errorx.IsOfType(err, fold.HostFenced) {
		return
	}
	release, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseTime)
	defer cancel()
	if err := term.Release(release); err != nil {
		n.log.Warn("Could not hand the pool over.", "epoch", term.Epoch(), "error", err)
		return
	}
	n.log.Info("Handed the pool over.", "epoch", term.Epoch())
	n.peers.invite(release, term.Epoch())
}

func (n *Node) setDriver(d *drive.Driver) {
	n.mu.Lock()
	n.driver = d
	n.mu.Unlock()
}

// waiting returns how many jobs of a queue have not begun, by this entry's own count or the owner's.
func (n *Node) waiting(queue string) (int, bool) {
	n.mu.Lock()
	driver, s := n.driver, n.seat
	n.mu.Unlock()
	if driver != nil {
		return driver.Waiting()[queue], true
	}
	if s.version == 0 || n.clock.Now().Sub(s.read) > countsOld {
		return 0, false
	}
	return s.owner.Waiting[queue], true
}

// ruled gives a new configuration to the driver, if there is one.
func (n *Node) ruled(rules fold.Rules) {
	n.mu.Lock()
	driver := n.driver
	n.mu.Unlock()
	if driver != nil {
		driver.SetRules(rules)
	}
}
