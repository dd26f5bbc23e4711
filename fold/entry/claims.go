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

// maxHandedClaims is the maximum number of claims of a range that are handed over, so that they fit into one frame.
const maxHandedClaims = 16_384

const (
	// maxClaimTries is the maximum number of attempts to claim a request while its range moves to another owner.
	maxClaimTries = 5
	// claimPause is the delay between two attempts. In a planned stop, a range gets its next owner within about two of them.
	claimPause = 100 * time.Millisecond
)

// claims holds the granted claims of the claim ranges that the entry owns, and those that earlier owners sent.
type claims struct {
	mu sync.Mutex
	// books holds the book of each owned range by unit.
	books map[string]claimBook
	// closedEpochs holds by unit the last epoch whose book was dropped. A book that is opened again at that epoch lacks
	// claims.
	closedEpochs map[string]int64
	// handed holds by unit the claims that earlier owners sent before they handed their ranges over.
	handed map[string]handedClaims
}

// claimBook records the claims of a range that were granted in one epoch.
type claimBook struct {
	epoch int64
	book  *once.Book
}

// handedClaims are the claims of a range that its owner had granted when it handed the range over.
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
	return &claims{books: make(map[string]claimBook), closedEpochs: make(map[string]int64), handed: make(map[string]handedClaims)}
}

// claimUnit returns the unit name of the claim range with this number.
func claimUnit(n int) string {
	return fmt.Sprintf("%s%02d", store.OncePrefix, n)
}

// syncBooks opens books for newly owned ranges and drops the books of ranges that the entry no longer owns.
func (c *claims) syncBooks(owned map[string]owner.Holding) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for unit, holding := range owned {
		if strings.HasPrefix(unit, store.OncePrefix) && c.books[unit].epoch != holding.Epoch {
			c.books[unit] = claimBook{epoch: holding.Epoch, book: c.openBook(unit, holding)}
		}
	}
	for unit, held := range c.books {
		if _, ok := owned[unit]; !ok {
			delete(c.books, unit)
			c.closedEpochs[unit] = held.epoch
		}
	}
}

// openBook returns the book of a range at a new epoch. After a takeover, the earlier owner may have granted claims for up to
// MaxHeartbeatAge, the maximum age of the heartbeats that gave it standing; ids issued in that time are answered as unsure.
func (c *claims) openBook(unit string, h owner.Holding) *once.Book {
	handed, ok := c.handed[unit]
	delete(c.handed, unit)
	switch {
	case c.closedEpochs[unit] == h.Epoch:
		return once.New(time.Now().Add(owner.MaxHeartbeatAge))
	case ok && h.HandedOverAt != 0 && handed.Epoch == h.HandedOverAt:
		return once.Restore(handed.Book)
	case h.First:
		return once.New(time.Time{})
	default:
		return once.New(time.Now().Add(owner.MaxHeartbeatAge))
	}
}

// closeBooks drops the books of ranges that are to be handed over and returns their claims.
func (c *claims) closeBooks(handovers []owner.HandOver) map[string]handedClaims {
	c.mu.Lock()
	defer c.mu.Unlock()
	ended := make(map[string]handedClaims)
	for _, g := range handovers {
		held, ok := c.books[g.Unit]
		if !ok || held.epoch != g.Version {
			continue
		}
		delete(c.books, g.Unit)
		c.closedEpochs[g.Unit] = held.epoch
		if record := held.book.Record(); len(record.Claims) <= maxHandedClaims {
			ended[g.Unit] = handedClaims{Unit: g.Unit, Epoch: held.epoch, Book: record}
		}
	}
	return ended
}

// storeHanded stores claims that were handed over until the entry owns their ranges. It keeps the last record of each range.
func (c *claims) storeHanded(all []handedClaims) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, h := range all {
		if isClaimUnit(h.Unit) {
			c.handed[h.Unit] = h
		}
	}
}

// isClaimUnit reports whether the unit is a claim range.
func isClaimUnit(unit string) bool {
	for n := range once.Ranges {
		if unit == claimUnit(n) {
			return true
		}
	}
	return false
}

// claim grants or refuses a claim in the book of its range, if the book is open at the epoch.
func (c *claims) claim(call claimCall, epoch int64) (once.Verdict, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	held, ok := c.books[call.Unit]
	if !ok || held.epoch != epoch {
		return "", fold.Refuse(fold.Unavailable, "retry", "%s has another owner", call.Unit)
	}
	return held.book.Claim(time.Now(), call.ID, time.UnixMilli(call.Issued)), nil
}

// handOverClaims closes the books of ranges that are handed over and sends their claims to the next owners. If sending
// fails, the next owner answers unsure for ids that were issued before it became the owner.
func (e *Entry) handOverClaims(ctx context.Context, handovers []owner.HandOver) {
	ended := e.claims.closeBooks(handovers)
	var calls errgroup.Group
	calls.SetLimit(maxPeerCalls)
	for _, g := range handovers {
		h, ok := ended[g.Unit]
		if !ok {
			continue
		}
		calls.Go(func() error {
			callCtx, cancel := context.WithTimeout(ctx, peerTimeout)
			defer cancel()
			_, err := peer.Call[ownerCall, ownerAnswer](callCtx, e.node, g.To.Address, kindOwner, ownerCall{Claims: []handedClaims{h}})
			e.logError("Cannot send claims to the next owner of their range.", err)
			return nil
		})
	}
	_ = calls.Wait()
}

// answerClaim answers a claimCall if the entry has standing and owns the range at the epoch of its book.
func (e *Entry) answerClaim(_ context.Context, _ string, call claimCall) (claimAnswer, error) {
	if err := e.requireStanding(); err != nil {
		return claimAnswer{}, err
	}
	var epoch int64
	e.withMachine(func(m *owner.Machine) { epoch = m.EpochOf(call.Unit) })
	verdict, err := e.claims.claim(call, epoch)
	return claimAnswer{Verdict: verdict}, err
}

// claim asks the owner of the range for permission to run a non-idempotent request once.
func (e *Entry) claim(ctx context.Context, account, id string, issued time.Time) error {
	call := claimCall{Unit: claimUnit(once.RangeOf(account, id)), ID: account + "/" + id, Issued: issued.UnixMilli()}
	answer, err := e.claimWithRetry(ctx, call)
	if err != nil {
		// The request itself has not run, whether or not the claim was granted.
		return fold.Unavailable.Wrap(err, "claim %s", call.Unit)
	}
	switch answer.Verdict {
	case once.Granted:
		return nil
	case once.Expired:
		return fold.Refuse(fold.Invalid, "send a new request with the present time", "Request-Time is more than %s old or in the future", once.MaxRequestAge)
	case once.Full:
		return fold.Refuse(fold.Overload, "retry later", "too many non-idempotent requests")
	case once.AlreadyGranted:
		return fold.Refuse(fold.Unknown, "look up the effect before sending it under a new id", "request %s was sent before", id)
	default:
		return fold.Refuse(fold.Unknown, "look up the effect before sending it under a new id", "request %s may have run under an earlier owner", id)
	}
}

// claimWithRetry sends a claim and repeats it while the range moves to another owner. It does not repeat a claim whose
// answer was lost: the claim may have been granted, and the repeated one would be answered as seen.
func (e *Entry) claimWithRetry(ctx context.Context, call claimCall) (claimAnswer, error) {
	for try := 1; ; try++ {
		answer, err := e.sendClaim(ctx, call)
		if !errorx.IsOfType(err, fold.Unavailable) || try == maxClaimTries {
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

// sendClaim sends a claim once to the owner of its range.
func (e *Entry) sendClaim(ctx context.Context, call claimCall) (claimAnswer, error) {
	var rangeOwner owner.Entry
	var known bool
	var self string
	e.withMachine(func(m *owner.Machine) {
		rangeOwner, known = m.OwnerOf(call.Unit)
		self = m.Self().ID
	})
	if !known {
		return claimAnswer{}, fold.Refuse(fold.Unavailable, "retry in a second", "%s has no owner yet", call.Unit)
	}
	if rangeOwner.ID == self {
		return e.answerClaim(ctx, self, call)
	}
	callCtx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	return peer.Call[claimCall, claimAnswer](callCtx, e.node, rangeOwner.Address, kindClaim, call)
}
