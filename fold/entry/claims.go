package entry

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/joomcode/errorx"
	"golang.org/x/sync/errgroup"

	"plantainfold.example/fold"
	"plantainfold.example/fold/once"
	"plantainfold.example/fold/owner"
	"plantainfold.example/fold/peer"
	"plantainfold.example/fold/store"
)

// maxHanded bounds the claims of a range that are handed over, so that they fit into one frame.
const maxHanded = 16_384

// A range that moves in a planned stop has its next owner within about two of these pauses.
const (
	claimTries = 5
	claimPause = 100 * time.Millisecond
)

// claims holds the books of the claim ranges that the entry owns.
type claims struct {
	mu    sync.Mutex
	books map[string]claimBook
	// closed holds the last epoch at which a book was dropped; a book opened again at that epoch has forgotten claims.
	closed map[string]int64
	// handed holds the claims that earlier owners sent before they handed their ranges over.
	handed map[string]handedClaims
}

// claimBook is the book of a range at one epoch.
type claimBook struct {
	epoch int64
	book  *once.Book
}

// handedClaims are the claims of a range that an owner granted up to the end of its epoch.
type handedClaims struct {
	Unit  string      `json:"unit"`
	Epoch int64       `json:"epoch"`
	Book  once.Record `json:"book"`
}

// claimCall asks the owner of a range for a claim.
type claimCall struct {
	Unit   string `json:"unit"`
	ID     string `json:"id"`
	Issued int64  `json:"issued"`
}

// claimAnswer is the answer to a claimCall.
type claimAnswer struct {
	Verdict once.Verdict `json:"verdict"`
}

func newClaims() *claims {
	return &claims{books: make(map[string]claimBook), closed: make(map[string]int64), handed: make(map[string]handedClaims)}
}

func claimUnit(n int) string {
	return fmt.Sprintf("%s%02d", store.OncePrefix, n)
}

// sync opens books for newly owned ranges and drops those of lost ones.
func (c *claims) sync(owned map[string]owner.Holding) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for unit, holding := range owned {
		if strings.HasPrefix(unit, store.OncePrefix) && c.books[unit].epoch != holding.Epoch {
			c.books[unit] = claimBook{epoch: holding.Epoch, book: c.open(unit, holding)}
		}
	}
	for unit, held := range c.books {
		if _, ok := owned[unit]; !ok {
			delete(c.books, unit)
			c.closed[unit] = held.epoch
		}
	}
}

// open returns the book of a range at a new epoch. After a takeover the earlier owner may still have granted claims
// for HeardTime, which is the greatest age of the heartbeats that gave it standing.
func (c *claims) open(unit string, h owner.Holding) *once.Book {
	handed, ok := c.handed[unit]
	delete(c.handed, unit)
	switch {
	case c.closed[unit] == h.Epoch:
		return once.New(time.Now().Add(owner.HeardTime))
	case ok && h.Handed != 0 && handed.Epoch == h.Handed:
		return once.Restore(handed.Book)
	case h.First:
		return once.New(time.Time{})
	default:
		return once.New(time.Now().Add(owner.HeardTime))
	}
}

// end drops the books of ranges that are given away and returns their claims.
func (c *claims) end(gives []owner.Give) map[string]handedClaims {
	c.mu.Lock()
	defer c.mu.Unlock()
	ended := make(map[string]handedClaims)
	for _, g := range gives {
		held, ok := c.books[g.Unit]
		if !ok || held.epoch != g.Version {
			continue
		}
		delete(c.books, g.Unit)
		c.closed[g.Unit] = held.epoch
		if record := held.book.Record(); len(record.Claims) <= maxHanded {
			ended[g.Unit] = handedClaims{Unit: g.Unit, Epoch: held.epoch, Book: record}
		}
	}
	return ended
}

// inherit keeps the claims of ranges until the entry owns them; a range has room for one record.
func (c *claims) inherit(all []handedClaims) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, h := range all {
		if isClaimUnit(h.Unit) {
			c.handed[h.Unit] = h
		}
	}
}

func isClaimUnit(unit string) bool {
	for n := range once.Ranges {
		if unit == claimUnit(n) {
			return true
		}
	}
	return false
}

func (c *claims) claim(call claimCall, epoch int64) (once.Verdict, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	held, ok := c.books[call.Unit]
	if !ok || held.epoch != epoch {
		return "", fold.Refuse(fold.Unavailable, "retry", "%s has another owner", call.Unit)
	}
	return held.book.Claim(time.Now(), call.ID, time.UnixMilli(call.Issued)), nil
}

// handClaims stops the ranges here and sends their claims to the next owners. When that fails, the next owner answers
// unsure for ids issued before it took over.
func (e *Entry) handClaims(ctx context.Context, gives []owner.Give) {
	ended := e.claims.end(gives)
	var calls errgroup.Group
	calls.SetLimit(maxCalls)
	for _, g := range gives {
		h, ok := ended[g.Unit]
		if !ok {
			continue
		}
		calls.Go(func() error {
			callCtx, cancel := context.WithTimeout(ctx, peerTime)
			defer cancel()
			_, err := peer.Call[ownerCall, ownerAnswer](callCtx, e.node, g.To.Address, kindOwner, ownerCall{Claims: []handedClaims{h}})
			e.report("Cannot hand claims over.", err)
			return nil
		})
	}
	_ = calls.Wait()
}

// answerClaim grants a claim while the entry has standing and owns the range at the epoch of its book.
func (e *Entry) answerClaim(_ context.Context, _ string, call claimCall) (claimAnswer, error) {
	if err := e.requireStanding(); err != nil {
		return claimAnswer{}, err
	}
	var epoch int64
	e.member(func(m *owner.Machine) { epoch = m.EpochOf(call.Unit) })
	verdict, err := e.claims.claim(call, epoch)
	return claimAnswer{Verdict: verdict}, err
}

// claim asks for the right to run a non-idempotent request once.
func (e *Entry) claim(ctx context.Context, account, id string, issued time.Time) error {
	call := claimCall{Unit: claimUnit(once.RangeOf(account, id)), ID: account + "/" + id, Issued: issued.UnixMilli()}
	answer, err := e.askOwner(ctx, call)
	if err != nil {
		// Whatever happened to the call, the request itself has not run.
		return fold.Unavailable.Wrap(err, "claim %s", call.Unit)
	}
	switch answer.Verdict {
	case once.Granted:
		return nil
	case once.Expired:
		return fold.Refuse(fold.Invalid, "send a new request with the present time", "Request-Time is more than %s old or in the future", once.Window)
	case once.Full:
		return fold.Refuse(fold.Overload, "retry later", "too many non-idempotent requests")
	case once.Seen:
		return fold.Refuse(fold.Unknown, "look up the effect before sending it under a new id", "request %s was sent before", id)
	default:
		return fold.Refuse(fold.Unknown, "look up the effect before sending it under a new id", "request %s may have run under an earlier owner", id)
	}
}

// askOwner asks again while the range moves to another owner. It does not ask again after a lost answer, because the
// claim may have been granted and would then be answered as seen.
func (e *Entry) askOwner(ctx context.Context, call claimCall) (claimAnswer, error) {
	for try := 1; ; try++ {
		answer, err := e.askClaim(ctx, call)
		if !errorx.IsOfType(err, fold.Unavailable) || try == claimTries {
			return answer, err
		}
		wake(e.wakeups.units)
		select {
		case <-e.clock.After(claimPause):
		case <-ctx.Done():
			return answer, err
		}
	}
}

// askClaim sends the call to the owner of the range.
func (e *Entry) askClaim(ctx context.Context, call claimCall) (claimAnswer, error) {
	var at owner.Entry
	var known bool
	var self string
	e.member(func(m *owner.Machine) {
		at, known = m.OwnerOf(call.Unit)
		self = m.Self().ID
	})
	if !known {
		return claimAnswer{}, fold.Refuse(fold.Unavailable, "retry in a second", "%s has no owner yet", call.Unit)
	}
	if at.ID == self {
		return e.answerClaim(ctx, self, call)
	}
	callCtx, cancel := context.WithTimeout(ctx, peerTime)
	defer cancel()
	return peer.Call[claimCall, claimAnswer](callCtx, e.node, at.Address, kindClaim, call)
}
