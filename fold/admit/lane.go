package admit

import (
	"container/list"
	"time"

	"plantainfold.example/fold"
)

// overloadTime is how long an account must have waiting requests without a gap to count as overloaded, and how long none of
// its requests must be refused before the overload ends. Requests of shorter bursts are queued.
const overloadTime = 500 * time.Millisecond

// minOverloadLength is the least number of waiting requests of an overloaded account. An account with a small share gets
// few turns, so that a few of its requests wait long even if it sends less than its share.
const minOverloadLength = 4

// lane holds the waiting requests of one account.
type lane struct {
	account string
	share   float64
	// turnsPerShare is the number of the account's turns divided by its share. The lane with the least has the next turn.
	turnsPerShare  float64
	urgent, normal list.List
	// activeSince is when the lane last stopped being empty. lastRefused is when the account became overloaded, or when a
	// request of it was last refused for its expected wait.
	activeSince, lastRefused fold.Instant
	// isOverloaded is set while the account is overloaded.
	isOverloaded bool
}

func (l *lane) length() int {
	return l.urgent.Len() + l.normal.Len()
}

func (l *lane) listFor(urgent bool) *list.List {
	if urgent {
		return &l.urgent
	}
	return &l.normal
}

func (l *lane) overloaded(now fold.Instant) bool {
	switch {
	case l.isOverloaded:
		l.isOverloaded = now.Sub(l.lastRefused) <= overloadTime
	case l.length() > 0 && now.Sub(l.activeSince) > overloadTime:
		l.isOverloaded, l.lastRefused = true, now
	}
	return l.isOverloaded && l.length() >= minOverloadLength
}
