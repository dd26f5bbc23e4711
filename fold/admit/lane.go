package admit

import (
	"container/list"
	"time"

	"plantainfold.example/fold"
)

// standing is how long requests of an account must wait without a break to count as an overload that lasts, and how
// long none may be refused to count as its end. Shorter bursts are worth queueing.
const standing = 500 * time.Millisecond

// lane holds the waiting requests of one account.
type lane struct {
	account string
	share   float64
	// used is the account's turns divided by its share; the lane with the least has the next turn.
	used           float64
	urgent, normal list.List
	// since is when the lane was last empty, refused when a request was last refused for its expected wait.
	since, refused fold.Instant
	overload       bool
}

func (l *lane) length() int {
	return l.urgent.Len() + l.normal.Len()
}

func (l *lane) of(urgent bool) *list.List {
	if urgent {
		return &l.urgent
	}
	return &l.normal
}

func (l *lane) overloaded(now fold.Instant) bool {
	switch {
	case l.overload:
		l.overload = now.Sub(l.refused) <= standing
	case l.length() > 0 && now.Sub(l.since) > standing:
		l.overload, l.refused = true, now
	}
	return l.overload
}
