package once

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Limits of claims.
const (
	// Ranges is the number of claim ranges.
	Ranges = 64
	// Window is how old a request may be when it is first claimed.
	Window = 60 * time.Second
	// Skew is the greatest difference of clocks between callers and entries.
	Skew = 5 * time.Second
	// MaxClaims bounds the claims of one range.
	MaxClaims = 200_000
)

// Verdict is the answer to a claim.
type Verdict string

// Verdicts.
const (
	// Granted allows the request to run, once.
	Granted Verdict = "granted"
	// Seen says that the id was granted before.
	Seen Verdict = "seen"
	// Unsure says that an earlier owner may have granted the id.
	Unsure Verdict = "unsure"
	// Expired says that the request is older than Window or from the future.
	Expired Verdict = "expired"
	// Full says that the range holds too many claims; the request did not run.
	Full Verdict = "full"
)

// RangeOf returns the claim range of a request id of an account.
func RangeOf(account, id string) int {
	return int(xxhash.Sum64String(account+"\x00"+id) % Ranges)
}

// Book holds the claims of one range. It is not safe for concurrent use.
type Book struct {
	since  time.Time
	claims map[string]time.Time
	swept  time.Time
	// floor is the newest issue time among forgotten claims. Without it a clock that is set back would let a forgotten
	// claim be granted again.
	floor time.Time
}

// Record is what the next owner of a range must know; times are in Unix milliseconds.
type Record struct {
	Since  int64            `json:"since"`
	Floor  int64            `json:"floor"`
	Claims map[string]int64 `json:"claims"`
}

// New returns a book that does not know the claims granted before the given time.
func New(since time.Time) *Book {
	return &Book{since: since, claims: make(map[string]time.Time), swept: since}
}

// Restore returns a book that goes on where the record ends.
func Restore(r Record) *Book {
	b := New(time.UnixMilli(r.Since))
	b.floor = time.UnixMilli(r.Floor)
	for id, issued := range r.Claims {
		b.claims[id] = time.UnixMilli(issued)
	}
	return b
}

// Record returns what the next owner of the range must know.
func (b *Book) Record() Record {
	r := Record{Since: ceilMilli(b.since), Floor: ceilMilli(b.floor), Claims: make(map[string]int64, len(b.claims))}
	for id, issued := range b.claims {
		r.Claims[id] = ceilMilli(issued)
	}
	return r
}

func ceilMilli(t time.Time) int64 {
	return t.Add(time.Millisecond - 1).UnixMilli()
}

// Claim decides whether the request with the id, first issued at the given time, may run.
func (b *Book) Claim(now time.Time, id string, issued time.Time) Verdict {
	b.sweep(now)
	switch {
	case issued.Before(now.Add(-Window)) || issued.After(now.Add(Skew)):
		return Expired
	case b.has(id):
		return Seen
	case !issued.After(b.floor):
		return Expired
	case issued.Before(b.since.Add(Skew)):
		return Unsure
	case len(b.claims) >= MaxClaims:
		return Full
	default:
		b.claims[id] = issued
		return Granted
	}
}

func (b *Book) has(id string) bool {
	_, ok := b.claims[id]
	return ok
}

// sweep drops claims whose requests are refused as expired anyway.
func (b *Book) sweep(now time.Time) {
	if now.Sub(b.swept) < Window {
		return
	}
	b.swept = now
	for id, issued := range b.claims {
		if issued.Before(now.Add(-Window - 2*Skew)) {
			delete(b.claims, id)
			if issued.After(b.floor) {
				b.floor = issued
			}
		}
	}
}
