package admit

import (
	"container/list"

	"plantainfold.example/fold"
)

const (
	// MaxWaiting is the maximum number of waiting requests of an account while no other account has any. With n accounts,
	// each is limited to its share of it, so that at most MaxWaiting x (1 + 1/2 + ... + 1/n) requests wait in all.
	MaxWaiting = 1024
	// minWaiting is the number of requests that every account may have waiting, whatever its share.
	minWaiting = 16
	// maxLanes is the maximum number of accounts with a lane, whether requests of theirs wait or not.
	maxLanes = 1024
)

// Ticket is one waiting request.
type Ticket[T any] struct {
	Value  T
	urgent bool
	lane   *lane
	// element is the ticket's element in the lane, or nil if the request does not wait.
	element *list.Element
}

// Queue gives turns to accounts in proportion to their shares. It is not safe for concurrent use.
type Queue[T any] struct {
	// lanes maps each account to its lane.
	lanes map[string]*lane
	// active lists the lanes with waiting requests.
	active []*lane
	// shares is the sum of the shares of the active lanes.
	shares float64
	// length is the number of waiting requests in all lanes.
	length int
	// virtualTime is the highest turnsPerShare of a lane when it got a turn. A lane that becomes active starts at least
	// there.
	virtualTime float64
}

// New returns an empty queue.
func New[T any]() *Queue[T] {
	return &Queue[T]{lanes: make(map[string]*lane)}
}

// Len returns the number of waiting requests.
func (q *Queue[T]) Len() int {
	return q.length
}

// Push adds a request of an account with a share, or returns an Overload error if too many requests of the account wait.
// Urgent requests go before other requests of the same account only, so that no account gains turns by marking requests
// as urgent.
func (q *Queue[T]) Push(now fold.Instant, account string, share float64, urgent bool, value T) (*Ticket[T], error) {
	l := q.lane(account, share)
	if l == nil {
		return nil, fold.Refuse(fold.Overload, "retry later", "requests of %d accounts wait", maxLanes)
	}
	if waiting := l.length(); waiting >= q.maxLength(l) {
		return nil, fold.Refuse(fold.Overload, "retry later", "%d requests of account %s wait", waiting, account)
	}
	t := &Ticket[T]{Value: value, urgent: urgent, lane: l}
	q.activate(now, l)
	t.element = l.listFor(urgent).PushBack(t)
	q.length++
	return t, nil
}

// PutBack puts back a request that could not use its turn. It goes before all others of its account and priority, and the
// turn is not counted.
func (q *Queue[T]) PutBack(now fold.Instant, t *Ticket[T]) {
	q.activate(now, t.lane)
	t.lane.turnsPerShare -= 1 / t.lane.share
	t.element = t.lane.listFor(t.urgent).PushFront(t)
	q.length++
}

// Pop removes the request whose turn it is.
func (q *Queue[T]) Pop() (*Ticket[T], bool) {
	if len(q.active) == 0 {
		return nil, false
	}
	next := q.active[0]
	for _, l := range q.active[1:] {
		if l.turnsPerShare < next.turnsPerShare {
			next = l
		}
	}
	from := &next.urgent
	if from.Len() == 0 {
		from = &next.normal
	}
	t, _ := from.Front().Value.(*Ticket[T])
	q.virtualTime = max(q.virtualTime, next.turnsPerShare)
	next.turnsPerShare += 1 / next.share
	q.Remove(t)
	return t, true
}

// Remove removes a waiting request. It does nothing if the request no longer waits.
func (q *Queue[T]) Remove(t *Ticket[T]) {
	if t.element == nil {
		return
	}
	t.lane.listFor(t.urgent).Remove(t.element)
	t.element = nil
	q.length--
	if t.lane.length() == 0 {
		q.deactivate(t.lane)
	}
}

// TurnsUntilServed estimates the number of turns until a new request of the account has had its turn, which is included.
func (q *Queue[T]) TurnsUntilServed(account string, share float64, urgent bool) float64 {
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

// Overloaded reports whether requests of the account have been arriving faster than their turns for some time.
func (q *Queue[T]) Overloaded(now fold.Instant, account string) bool {
	l, ok := q.lanes[account]
	return ok && l.overloaded(now)
}

// RecordRefusal records that a request of the account was refused because of its expected wait.
func (q *Queue[T]) RecordRefusal(now fold.Instant, account string) {
	if l, ok := q.lanes[account]; ok {
		l.lastRefused = now
	}
}

// lane returns the lane of an account. It creates a missing lane, or returns nil if there are maxLanes lanes.
func (q *Queue[T]) lane(account string, share float64) *lane {
	l, ok := q.lanes[account]
	if !ok {
		q.prune()
		if len(q.lanes) >= maxLanes {
			return nil
		}
		l = &lane{account: account, share: share, turnsPerShare: q.virtualTime}
		q.lanes[account] = l
	}
	if l.length() == 0 {
		l.share = share
	}
	return l
}

// prune deletes the empty lanes when there are maxLanes lanes.
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
	l.activeSince = now
	l.turnsPerShare = max(l.turnsPerShare, q.virtualTime)
	q.active = append(q.active, l)
	q.shares += l.share
}

func (q *Queue[T]) deactivate(l *lane) {
	for i, other := range q.active {
		if other == l {
			q.active = append(q.active[:i], q.active[i+1:]...)
			q.shares -= l.share
			return
		}
	}
}

// maxLength returns the maximum number of waiting requests of the lane, by its share among the active lanes.
func (q *Queue[T]) maxLength(l *lane) int {
	active := q.shares
	if l.length() == 0 {
		active += l.share
	}
	return max(int(MaxWaiting*l.share/active), minWaiting)
}
