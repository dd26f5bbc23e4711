package admit

import (
	"plantainfold.example/fold"
)

// MaxWaiting bounds the requests of one account that wait.
const MaxWaiting = 512

// Ticket is one waiting request.
type Ticket struct {
	Account  string
	Deadline fold.Instant
	// Ready is closed when it is the request's turn.
	Ready chan struct{}
}

// Queue gives turns to accounts one after the other. It is not safe for concurrent use.
type Queue struct {
	accounts map[string][]*Ticket
	turns    []string
}

// New returns an empty queue.
func New() *Queue {
	return &Queue{accounts: make(map[string][]*Ticket)}
}

// Push adds a request, or returns an Overload error when too many requests of the account wait.
func (q *Queue) Push(account string, deadline fold.Instant) (*Ticket, error) {
	waiting := q.accounts[account]
	if len(waiting) >= MaxWaiting {
		return nil, fold.Refuse(fold.Overload, "retry later", "%d requests of account %s wait", len(waiting), account)
	}
	if len(waiting) == 0 {
		q.turns = append(q.turns, account)
	}
	t := &Ticket{Account: account, Deadline: deadline, Ready: make(chan struct{})}
	q.accounts[account] = append(waiting, t)
	return t, nil
}

// Pop removes the request whose turn it is; requests past their deadline are dropped.
func (q *Queue) Pop(now fold.Instant) (*Ticket, bool) {
	for len(q.turns) > 0 {
		account := q.turns[0]
		q.turns = q.turns[1:]
		waiting := q.accounts[account]
		first := waiting[0]
		if len(waiting) == 1 {
			delete(q.accounts, account)
		} else {
			q.accounts[account] = waiting[1:]
			q.turns = append(q.turns, account)
		}
		if first.Deadline > now {
			return first, true
		}
	}
	return nil, false
}

// Waiting returns the number of requests that wait.
func (q *Queue) Waiting() int {
	n := 0
	for _, waiting := range q.accounts {
		n += len(waiting)
	}
	return n
}
