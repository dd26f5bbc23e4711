package admit

import (
	"container/list"

	"plantainfold.example/fold"
)

const (
	// MaxWaiting bounds the requests of one account that wait while no other account does. With n accounts each is
	// bounded to its share of it, so that at most MaxWaiting x (1 + 1/2 + ... + 1/n) wait in all.
	MaxWaiting = 1024
	// minWaiting is what every account may have waiting, however many there are.
	minWaiting = 16
	// maxLanes bounds the accounts that wait or whose past use is remembered.
	maxLanes = 1024
)

// Ticket is one waiting request.
type Ticket[T any] struct {
	Value  T
	urgent bool
	lane   *lane
	spot   *list.Element
}

// Queue gives turns to accounts in proportion to their shares. It is not safe for concurrent use.
type Queue[T any] struct {
	lanes  map[string]*lane
	active []*lane
	shares float64
	length int
	// used is that of the last lane that had a turn; a lane that was empty starts there.
	used float64
}

// New returns an empty queue.
func New[T any]() *Queue[T] {
	return &Queue[T]{lanes: make(map[string]*lane)}
}

// Len returns the number of waiting requests.
func (q *Queue[T]) Len() int {
	return q.length
}

// Push adds a request of an account with a share, or returns an Overload error when too many of the account wait.
// Urgent requests go before others of their account, so that no account gains turns by calling its requests urgent.
func (q *Queue[T]) Push(now fold.Instant, account string, share float64, urgent bool, value T) (*Ticket[T], error) {
	l := q.lane(account, share)
	if l == nil {
		return nil, fold.Refuse(fold.Overload, "retry later", "requests of %d accounts wait", maxLanes)
	}
	if waiting := l.length(); waiting >= q.bound(l) {
		return nil, fold.Refuse(fold.Overload, "retry later", "%d requests of account %s wait", waiting, account)
	}
	t := &Ticket[T]{Value: value, urgent: urgent, lane: l}
	q.activate(now, l)
	t.spot = l.of(urgent).PushBack(t)
	q.length++
	return t, nil
}

// Return puts a request whose turn came to nothing before all others of its account and gives the turn back.
func (q *Queue[T]) Return(now fold.Instant, t *Ticket[T]) {
	q.activate(now, t.lane)
	t.lane.used -= 1 / t.lane.share
	t.spot = t.lane.of(t.urgent).PushFront(t)
	q.length++
}

// Pop removes the request whose turn it is.
func (q *Queue[T]) Pop() (*Ticket[T], bool) {
	if len(q.active) == 0 {
		return nil, false
	}
	next := q.active[0]
	for _, l := range q.active[1:] {
		if l.used < next.used {
			next = l
		}
	}
	from := &next.urgent
	if from.Len() == 0 {
		from = &next.normal
	}
	t, _ := from.Front().Value.(*Ticket[T])
	q.used = max(q.used, next.used)
	next.used += 1 / next.share
	q.Remove(t)
	return t, true
}

// Remove takes a waiting request out; it does nothing if the request no longer waits.
func (q *Queue[T]) Remove(t *Ticket[T]) {
	if t.spot == nil {
		return
	}
	t.lane.of(t.urgent).Remove(t.spot)
	t.spot = nil
	q.length--
	if t.lane.length() == 0 {
		q.deactivate(t.lane)
	}
}

// Ahead estimates how many turns pass until a new request of the account has had its own, itself included.
func (q *Queue[T]) Ahead(account string, share float64, urgent bool) float64 {
	own, active := 1.0, q.shares
	if l, ok := q.lanes[account]; ok && l.length() > 0 {
		active -= l.share
		own += float64(l.urgent.Len())
		if !urgent {
			own += float64(l.normal.Len())
		}
	}
	return min(own*(active+share)/share, float64(q.length+1))
}

// Overloaded reports whether more requests of the account have come for some time than had a turn.
func (q *Queue[T]) Overloaded(now fold.Instant, account string) bool {
	l, ok := q.lanes[account]
	return ok && l.overloaded(now)
}

// Refused takes note that a request of the account was refused for its expected wait.
func (q *Queue[T]) Refused(now fold.Instant, account string) {
	if l, ok := q.lanes[account]; ok {
		l.refused = now
	}
}

// lane returns the lane of an account, new if need be, or nil when there are too many.
func (q *Queue[T]) lane(account string, share float64) *lane {
	l, ok := q.lanes[account]
	if !ok {
		q.prune()
		if len(q.lanes) >= maxLanes {
			return nil
		}
		l = &lane{account: account, share: share, used: q.used}
		q.lanes[account] = l
	}
	if l.length() == 0 {
		l.share = share
	}
	return l
}

// prune forgets the empty lanes once there are too many lanes.
func (q *Queue[T]) prune() {
	if len(q.lanes) < maxLanes {
		return
	}
	for name, l := range q.lanes {
		if l.length() == 0 {
			delete(q.lanes, name)
		}
	}
}

func (q *Queue[T]) activate(now fold.Instant, l *lane) {
	if l.length() > 0 {
		return
	}
	l.since = now
	l.used = max(l.used, q.used)
	q.active = append(q.active, l)
	q.shares += l.share
}

func (q *Queue[T]) deactivate(l *lane) {
	for i, one := range q.active {
		if one == l {
			q.active = append(q.active[:i], q.active[i+1:]...)
			q.shares -= l.share
			return
		}
	}
}

// bound returns how many requests of the lane may wait, by its share among the lanes in use.
func (q *Queue[T]) bound(l *lane) int {
	active := q.shares
	if l.length() == 0 {
		active += l.share
	}
	return max(int(MaxWaiting*l.share/active), minWaiting)
}
