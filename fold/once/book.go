package once

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Limits of claims.
const (
	// Ranges is the number of claim ranges.
	Ranges = 64
	// MaxRequestAge is the maximum age of a request when it is first claimed.
	MaxRequestAge = 60 * time.Second
	// MaxClockSkew is the maximum difference between the clocks of callers and entries.
	MaxClockSkew = 5 * time.Second
	// MaxClaims is the maximum number of claims in one range.
	MaxClaims = 200_000
)

// Verdict is the answer to a claim.
type Verdict string

// Verdicts on claims.
const (
	// Granted permits the request to run once.
	Granted Verdict = "granted"
	// AlreadyGranted means that the id was granted before.
	AlreadyGranted Verdict = "seen"
	// Uncertain means that an earlier owner of the range may have granted the id.
	Uncertain Verdict = "unsure"
	// Expired means that the request is too old to be checked, or was issued more than MaxClockSkew in the future.
	Expired Verdict = "expired"
	// Full means that the range holds MaxClaims claims. The request did not run.
	Full Verdict = "full"
)

// RangeOf returns the claim range of a request id of a client account.
func RangeOf(account, id string) int {
	return int(xxhash.Sum64String(account+"\x00"+id) % Ranges)
}

// Book holds the claims of one range. It is not safe for concurrent use.
type Book struct {
	// knownSince is the time from which all granted claims are known.
	knownSince time.Time
	// claims maps each granted id to the time when its request was issued.
	claims map[string]time.Time
	// lastSweep is when old claims were last deleted.
	lastSweep time.Time
	// newestDeleted is the newest issue time of a deleted claim. Without it a deleted claim could be granted again after a
	// clock is set back.
	newestDeleted time.Time
}

// Record is the state of a book that is handed to the next owner of the range. Times are in Unix milliseconds.
type Record struct {
	Since  int64            `json:"since"`
	Floor  int64            `json:"floor"`
	Claims map[string]int64 `json:"claims"`
}

// New returns an empty book for a range whose claims from before the given time are unknown.
func New(since time.Time) *Book {
	return &Book{knownSince: since, claims: make(map[string]time.Time), lastSweep: since}
}

// Restore returns a book with the state of the record.
func Restore(r Record) *Book {
	b := New(time.UnixMilli(r.Since))
	b.newestDeleted = time.UnixMilli(r.Floor)
	for id, issued := range r.Claims {
		b.claims[id] = time.UnixMilli(issued)
	}
	return b
}

// Record returns the state that is handed to the next owner of the range.
func (b *Book) Record() Record {
	r := Record{Since: ceilMilli(b.knownSince), Floor: ceilMilli(b.newestDeleted), Claims: make(map[string]int64, len(b.claims))}
	for id, issued := range b.claims {
		r.Claims[id] = ceilMilli(issued)
	}
	return r
}

func ceilMilli(t time.Time) int64 {
	return t.Add(time.Millisecond - 1).UnixMilli()
}

// Claim decides whether the request with the id, first issued at the given time, is permitted to run.
func (b *Book) Claim(now time.Time, id string, issued time.Time) Verdict {
	b.sweep(now)
	switch {
	case issued.Before(now.Add(-MaxRequestAge)) || issued.After(now.Add(MaxClockSkew)):
		return Expired
	case b.has(id):
		return AlreadyGranted
	case !issued.After(b.newestDeleted):
		return Expired
	case issued.Before(b.knownSince.Add(MaxClockSkew)):
		return Uncertain
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

// sweep deletes claims whose requests would be refused as expired in any case.
func (b *Book) sweep(now time.Time) {
	if now.Sub(b.lastSweep) < MaxRequestAge {
		return
	}
	b.lastSweep = now
	for id, issued := range b.claims {
		if issued.Before(now.Add(-MaxRequestAge - 2*MaxClockSkew)) {
			delete(b.claims, id)
			if issued.After(b.newestDeleted) {
				b.newestDeleted = issued
			}
		}
	}
}
