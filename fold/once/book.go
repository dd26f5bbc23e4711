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
}

// New returns a book of a range that was taken over at the given time.
func New(since time.Time) *Book {
	return &Book{since: since, claims: make(map[string]time.Time), swept: since}
}

// Claim decides whether the request with the id, first issued at the given time, may run.
func (b *Book) Claim(now time.Time, id string, issued time.Time) Verdict {
	b.sweep(now)
	switch {
	case issued.Before(now.Add(-Window)) || issued.After(now.Add(Skew)):
		return Expired
	case b.has(id):
		return Seen
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
		}
	}
}
