package admit_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"plantainfold.example/fold"
	"plantainfold.example/fold/admit"
)

func push(t *testing.T, q *admit.Queue[string], account string, share float64, urgent bool, value string) *admit.Ticket[string] {
	t.Helper()
	ticket, err := q.Push(0, account, share, urgent, value)
	if err != nil {
		t.Fatal(err)
	}
	return ticket
}

func pop(t *testing.T, q *admit.Queue[string]) *admit.Ticket[string] {
	t.Helper()
	ticket, ok := q.Pop()
	if !ok {
		t.Fatal("the queue is empty")
	}
	return ticket
}

// Guards against turns that do not follow the shares of accounts with a backlog. The bound is the target for shares in
// docs/design.md, section 1.3.
func TestTurnsFollowShares(t *testing.T) {
	q := admit.New[string]()
	shares := map[string]float64{"a": 1, "b": 2, "c": 4, "d": 1}
	turns := make(map[string]float64)
	refill := func(account string) { push(t, q, account, shares[account], false, account) }
	for _, account := range []string{"a", "b", "c", "d"} {
		for range 10 {
			refill(account)
		}
	}
	const count = 8000
	for range count {
		account := pop(t, q).Value
		turns[account]++
		refill(account)
	}
	for account, share := range shares {
		want := count * share / 8
		if off := math.Abs(turns[account]-want) / want; off > 0.05 {
			t.Errorf("%s had %.0f turns, want %.0f within 5%%", account, turns[account], want)
		}
	}
}

// Guards against an account that gains turns because its queue is empty between its turns.
func TestEmptyQueueGainsNoTurns(t *testing.T) {
	q := admit.New[string]()
	turns := make(map[string]int)
	push(t, q, "short", 1, false, "short")
	for range 4 {
		push(t, q, "long", 1, false, "long")
	}
	for range 1000 {
		account := pop(t, q).Value
		turns[account]++
		push(t, q, account, 1, false, account)
	}
	if turns["short"] > 501 {
		t.Errorf("the account with at most one waiting had %d of 1000 turns", turns["short"])
	}
}

// Guards against urgent requests that wait behind others of their account, and against accounts that gain turns by
// marking all their requests as urgent.
func TestUrgentGoesFirstWithinAccount(t *testing.T) {
	q := admit.New[string]()
	for n := range 3 {
		push(t, q, "a", 1, false, fmt.Sprintf("a%d", n))
		push(t, q, "b", 1, true, fmt.Sprintf("b%d", n))
	}
	push(t, q, "a", 1, true, "urgent")
	var got []string
	for q.Len() > 0 {
		got = append(got, pop(t, q).Value)
	}
	if want := "[urgent b0 a0 b1 a1 b2 a2]"; fmt.Sprint(got) != want {
		t.Errorf("turns %v, want %s", got, want)
	}
}

// Guards against queues of unbounded length, and against one account that uses the whole queue.
func TestWaitingIsBounded(t *testing.T) {
	q := admit.New[string]()
	fill := func(account string) int {
		for n := 0; ; n++ {
			if _, err := q.Push(0, account, 1, false, ""); err != nil {
				if !fold.DidNotRun(err) {
					t.Errorf("error %v, want a refusal which shows that the request did not run", err)
				}
				return n
			}
		}
	}
	if n := fill("large"); n != admit.MaxWaiting {
		t.Errorf("%d requests of the first account wait, want %d", n, admit.MaxWaiting)
	}
	if n := fill("small"); n != admit.MaxWaiting/2 {
		t.Errorf("%d requests of the second account wait, want %d", n, admit.MaxWaiting/2)
	}
}

// Guards against removed requests that still get a turn, and against a second removal that removes another request.
func TestRemovedGetsNoTurn(t *testing.T) {
	q := admit.New[string]()
	gone := push(t, q, "a", 1, false, "gone")
	push(t, q, "a", 1, false, "stays")
	q.Remove(gone)
	q.Remove(gone)
	if got := pop(t, q).Value; got != "stays" || q.Len() != 0 {
		t.Errorf("got request %s with %d still waiting, want \"stays\" and none", got, q.Len())
	}
}

// Guards against a returned request that no longer goes before the others of its account.
func TestReturnedIsNext(t *testing.T) {
	q := admit.New[string]()
	for _, value := range []string{"1", "2"} {
		push(t, q, "a", 1, false, value)
		push(t, q, "b", 1, false, value)
	}
	first := pop(t, q)
	q.PutBack(0, first)
	if got := pop(t, q); got != first {
		t.Errorf("got %s, want the returned request", got.Value)
	}
}

// Guards against an expected wait that ignores the shares of other accounts or exceeds the length of the queue.
func TestAheadFollowsShares(t *testing.T) {
	q := admit.New[string]()
	for range 100 {
		push(t, q, "large", 1, false, "")
	}
	for _, c := range []struct {
		account string
		share   float64
		want    float64
	}{{"large", 1, 101}, {"small", 1, 2}, {"heavy", 4, 1.25}, {"light", 0.001, 101}} {
		if got := q.TurnsUntilServed(c.account, c.share, false); got != c.want {
			t.Errorf("%s with share %v: %v turns, want %v", c.account, c.share, got, c.want)
		}
	}
}

// Guards against short bursts that count as overload, against an overload that does not end, and against accounts that
// count as overloaded with only a few waiting requests.
func TestOverloadIsStanding(t *testing.T) {
	q := admit.New[string]()
	at := func(d time.Duration) fold.Instant { return fold.Instant(0).Add(d) }
	for range 4 {
		push(t, q, "a", 1, false, "")
	}
	push(t, q, "b", 1, false, "")
	for _, c := range []struct {
		at, refused time.Duration
		want        bool
	}{
		{at: 100 * time.Millisecond},
		{at: 600 * time.Millisecond, refused: 700 * time.Millisecond, want: true},
		{at: 1100 * time.Millisecond, want: true},
		{at: 1300 * time.Millisecond},
	} {
		if got := q.Overloaded(at(c.at), "a"); got != c.want {
			t.Errorf("after %s: %v, want %v", c.at, got, c.want)
		}
		if c.refused > 0 {
			q.RecordRefusal(at(c.refused), "a")
		}
		if q.Overloaded(at(c.at), "b") {
			t.Errorf("after %s: an account with one request waiting counts as overloaded", c.at)
		}
	}
}
