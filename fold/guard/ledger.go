package guard

import "plantainfold.example/fold"

// Phase is what a connection is doing.
type Phase int

// Phases of connections. In the phases Checking and Answering the entry does not wait for bytes, so a connection is not closed
// to make place for others.
const (
	// Idle is the phase before the first byte of a request.
	Idle Phase = iota
	// Header is the phase until the header of a request is complete.
	Header
	// Checking is the phase after the header in which a request is checked before its body is read.
	Checking
	// Body is the phase in which the body of a request is read, until it is complete.
	Body
	// Answering is the phase in which a request is carried out.
	Answering
)

// Reason is why a connection is closed or refused.
type Reason string

// Reasons.
const (
	// TooMany means that too many connections are open.
	TooMany Reason = "connections"
	// NoMemory means that the memory for requests is exhausted.
	NoMemory Reason = "memory"
	// TooSlow means that a check or a body was not complete in time.
	TooSlow Reason = "time"
)

// Verdict is the decision on a request for memory.
type Verdict int

// Verdicts.
const (
	// Granted means that the memory may be used.
	Granted Verdict = iota
	// Wait means that closed connections will free the memory soon; the caller repeats the request after a release.
	Wait
	// Refused means that the memory cannot be had.
	Refused
	// Closed means that the connection was closed before.
	Closed
)

// Account is what a Ledger knows about a connection.
type Account struct {
	phase Phase
	// since is when the phase began, and progress is when the connection last received bytes.
	since, progress fold.Instant
	// bytes is the memory that was granted to the connection.
	bytes int64
	// closed is true if the ledger has decided to close the connection.
	closed bool
	// waiting is true while the connection waits for memory; it does not read then.
	waiting bool
}

// Ledger decides which connections may be open and how much memory their requests may use. It is not safe for concurrent use.
// The memory and the place of a closed connection are counted until Remove, because only then they are free.
type Ledger struct {
	limits   Limits
	accounts map[*Account]struct{}
	// used is the sum of the granted memory, and leaving is the part of it that belongs to closed connections.
	used, leaving int64
	// closing is the number of closed connections that are not removed.
	closing int
}

// NewLedger returns a ledger without connections.
func NewLedger(limits Limits) *Ledger {
	return &Ledger{limits: limits, accounts: make(map[*Account]struct{})}
}

// Open adds a connection. It returns nil if the connection must be refused. The returned victim, if any, must be closed.
func (l *Ledger) Open(now fold.Instant) (opened, victim *Account) {
	limit := l.limits.Connections
	// An eighth of the places is kept free by closing stalled connections, so that a new caller does not have to wait until a
	// closed connection is removed.
	if limit > 0 && len(l.accounts)-l.closing >= limit-limit/8 {
		victim = l.longestStalled(now, func(*Account) bool { return true })
		l.close(victim)
	}
	if limit > 0 && len(l.accounts) >= limit {
		return nil, victim
	}
	opened = &Account{since: now, progress: now}
	l.accounts[opened] = struct{}{}
	return opened, victim
}

// Remove removes a connection with all its memory.
func (l *Ledger) Remove(a *Account) {
	if _, ok := l.accounts[a]; !ok {
		return
	}
	l.Release(a, a.bytes)
	if a.closed {
		l.closing--
	}
	// A request that arrives while a stopping server closes the connection is not carried out.
	a.closed = true
	delete(l.accounts, a)
}

// Progress records that a connection has received bytes, which begin a request if it was idle.
func (l *Ledger) Progress(a *Account, now fold.Instant) {
	a.progress = now
	if a.phase == Idle {
		a.phase, a.since = Header, now
	}
}

// Enter begins a phase. It returns false if the connection was closed; its request must then not be carried out.
func (l *Ledger) Enter(a *Account, phase Phase, now fold.Instant) bool {
	if a.closed {
		return false
	}
	if a.phase != phase {
		a.phase, a.since, a.progress = phase, now, now
	}
	return true
}

// Reserve decides whether a connection may use more memory. The returned victims must be closed.
func (l *Ledger) Reserve(a *Account, bytes int64, now fold.Instant) (Verdict, []*Account) {
	a.waiting = false
	if a.closed {
		return Closed, nil
	}
	limit := l.limits.Bytes
	// In the phase Header the growth factor makes a small request look large, and one read may hold bytes of its body as well.
	if a.phase != Header && a.bytes+bytes > smallBody {
		limit -= limit / 4
	}
	if l.limits.Bytes == 0 || l.used+bytes <= limit {
		l.used += bytes
		a.bytes += bytes
		a.progress = now
		return Granted, nil
	}
	var victims []*Account
	for l.used-l.leaving+bytes > limit {
		victim := l.longestStalled(now, func(b *Account) bool { return b != a && b.bytes > 0 })
		if victim == nil {
			victim = l.largest(a.bytes + bytes)
		}
		if victim == nil {
			return Refused, victims
		}
		l.close(victim)
		victims = append(victims, victim)
	}
	a.waiting = true
	return Wait, victims
}

// largestBody returns the size in bytes of the largest body for which there can be memory, or 0 if there is no limit. Reading
// takes one byte more, which shows the end of the body.
func (l *Ledger) largestBody() int64 {
	return max(0, l.limits.Bytes-l.limits.Bytes/4-1)
}

// Release returns memory of a connection.
func (l *Ledger) Release(a *Account, bytes int64) {
	a.bytes -= bytes
	l.used -= bytes
	if a.closed {
		l.leaving -= bytes
	}
}

// Expire returns the connections whose checks or bodies have exceeded their time; they must be closed.
func (l *Ledger) Expire(now fold.Instant) []*Account {
	var victims []*Account
	for a := range l.accounts {
		expired := a.phase == Checking && now.Sub(a.since) > checkTimeout || a.phase == Body && now.Sub(a.since) > bodyTimeout
		if expired && !a.closed {
			l.close(a)
			victims = append(victims, a)
		}
	}
	return victims
}

// close marks a connection as closed, unless it is nil.
func (l *Ledger) close(a *Account) {
	if a == nil {
		return
	}
	a.closed = true
	l.leaving += a.bytes
	l.closing++
}

// longestStalled returns the connection that has made no progress for the longest time, at least stallTime, of those that
// match, or nil.
func (l *Ledger) longestStalled(now fold.Instant, match func(*Account) bool) *Account {
	var found *Account
	for a := range l.accounts {
		if a.closed || a.waiting || a.phase == Checking || a.phase == Answering || now.Sub(a.progress) < stallTime || !match(a) {
			continue
		}
		if found == nil || a.progress < found.progress {
			found = a
		}
	}
	return found
}

// largest returns the connection that uses the most memory for a request that is not read whole, if that is more than the
// given number of bytes, or nil.
func (l *Ledger) largest(than int64) *Account {
	var found *Account
	for a := range l.accounts {
		if !a.closed && a.phase != Answering && a.bytes > than {
			found, than = a, a.bytes
		}
	}
	return found
}
