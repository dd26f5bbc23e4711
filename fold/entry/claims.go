package entry

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"plantainfold.example/fold"
	"plantainfold.example/fold/once"
	"plantainfold.example/fold/owner"
	"plantainfold.example/fold/peer"
	"plantainfold.example/fold/store"
)

// claims holds the books of the claim ranges that the entry owns.
type claims struct {
	mu    sync.Mutex
	books map[string]claimBook
}

// claimBook is the book of a range at one epoch.
type claimBook struct {
	epoch int64
	book  *once.Book
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
	return &claims{books: make(map[string]claimBook)}
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
			c.books[unit] = claimBook{epoch: holding.Epoch, book: once.New(sinceOf(holding))}
		}
	}
	for unit := range c.books {
		if _, ok := owned[unit]; !ok {
			delete(c.books, unit)
		}
	}
}

// sinceOf returns from when on the owner knows all claims of a range.
func sinceOf(h owner.Holding) time.Time {
	if h.First {
		return time.Time{}
	}
	return time.Now()
}

func (c *claims) drop(unit string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.books, unit)
}

func (c *claims) claim(call claimCall) (once.Verdict, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	held, ok := c.books[call.Unit]
	if !ok {
		return "", fold.Refuse(fold.Unavailable, "retry", "%s has another owner", call.Unit)
	}
	return held.book.Claim(time.Now(), call.ID, time.UnixMilli(call.Issued)), nil
}

// answerClaim grants a claim while the entry has standing.
func (e *Entry) answerClaim(_ context.Context, _ string, call claimCall) (claimAnswer, error) {
	if err := e.requireStanding(); err != nil {
		return claimAnswer{}, err
	}
	verdict, err := e.claims.claim(call)
	return claimAnswer{Verdict: verdict}, err
}

// claim asks for the right to run a non-idempotent request once.
func (e *Entry) claim(ctx context.Context, account, id string, issued time.Time) error {
	call := claimCall{Unit: claimUnit(once.RangeOf(account, id)), ID: account + "/" + id, Issued: issued.UnixMilli()}
	answer, err := e.askClaim(ctx, call)
	if err != nil {
		return err
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

// askClaim sends the call to the owner of the range. Whatever happens to the call, the request itself has not run.
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
	answer, err := peer.Call[claimCall, claimAnswer](callCtx, e.node, at.Address, kindClaim, call)
	if err != nil {
		return answer, fold.Unavailable.Wrap(err, "claim at %s", at.ID)
	}
	return answer, nil
}
