package guard_test

import (
	"testing"
	"time"

	"plantainfold.example/fold"
	"plantainfold.example/fold/guard"
)

const (
	kib = 1 << 10
	// start is the time at which the tests begin, and stalled a later time at which connections without progress are stalled.
	start, stalled = fold.Instant(time.Hour), fold.Instant(time.Hour + time.Second)
)

// open returns a connection whose body has received the given number of bytes, the last at the given time.
func open(t *testing.T, l *guard.Ledger, bytes int64, at fold.Instant) *guard.Account {
	t.Helper()
	a, _ := l.Open(at)
	if a == nil {
		t.Fatal("the connection was refused")
	}
	l.Progress(a, at)
	l.Enter(a, guard.Body, at)
	if verdict, victims := l.Reserve(a, bytes, at); verdict != guard.Granted || len(victims) > 0 {
		t.Fatalf("verdict %d, %d victims", verdict, len(victims))
	}
	return a
}

// Guards against an exhausted budget that closes a body that makes progress while another one is stalled, that closes a request
// that was read whole, or that refuses a small request because of larger ones.
func TestOrderOfClosing(t *testing.T) {
	cases := []struct {
		name string
		// slow, large and whole are bodies of 200, 400 and 300 KiB. The first is stalled if slowAt is start, and the last was
		// read whole.
		slowAt fold.Instant
		// bytes is the memory that a new body asks for, in KiB.
		bytes   int64
		verdict guard.Verdict
		// closed names the bodies that are closed, in order.
		closed []string
	}{
		{"fits", stalled, 50, guard.Granted, nil},
		{"a stalled body is closed before a larger one", start, 200, guard.Wait, []string{"slow"}},
		{"the largest body is closed if none is stalled", stalled, 200, guard.Wait, []string{"large"}},
		{"a body that is itself the largest is refused", stalled, 500, guard.Refused, nil},
		{"all that is not whole makes place", start, 350, guard.Wait, []string{"slow", "large"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			// Bodies above smallBody may use 1,000 KiB of this.
			l := guard.NewLedger(guard.Limits{Bytes: 1000 * kib * 4 / 3})
			bodies := []*guard.Account{open(t, l, 200*kib, c.slowAt), open(t, l, 400*kib, stalled), open(t, l, 300*kib, start)}
			l.Enter(bodies[2], guard.Answering, start)
			a, _ := l.Open(stalled)
			l.Enter(a, guard.Body, stalled)
			verdict, victims := l.Reserve(a, c.bytes*kib, stalled)
			var closed []string
			for _, v := range victims {
				for i, name := range []string{"slow", "large", "whole"} {
					if v == bodies[i] {
						closed = append(closed, name)
					}
				}
			}
			if verdict != c.verdict || len(closed) != len(c.closed) || len(closed) != len(victims) {
				t.Fatalf("verdict %d, closed %v; want %d, %v", verdict, closed, c.verdict, c.closed)
			}
			for i := range closed {
				if closed[i] != c.closed[i] {
					t.Errorf("closed %v, want %v", closed, c.closed)
				}
			}
		})
	}
}

// Guards against memory that is granted before a closed connection has released it, and against a closed connection whose
// request is carried out all the same.
func TestMemoryOfClosedConnections(t *testing.T) {
	l := guard.NewLedger(guard.Limits{Bytes: 100 * kib})
	a := open(t, l, 60*kib, start)
	b, _ := l.Open(stalled)
	l.Enter(b, guard.Body, stalled)
	if verdict, victims := l.Reserve(b, 60*kib, stalled); verdict != guard.Wait || len(victims) != 1 || victims[0] != a {
		t.Fatalf("verdict %d, %d victims", verdict, len(victims))
	}
	if verdict, victims := l.Reserve(b, 60*kib, stalled); verdict != guard.Wait || len(victims) != 0 {
		t.Errorf("before the release: verdict %d, %d victims", verdict, len(victims))
	}
	if verdict, _ := l.Reserve(a, 1, stalled); verdict != guard.Closed || l.Enter(a, guard.Answering, stalled) {
		t.Error("a closed connection may go on")
	}
	l.Remove(a)
	l.Remove(a)
	if verdict, _ := l.Reserve(b, 60*kib, stalled); verdict != guard.Granted {
		t.Errorf("after the release: verdict %d", verdict)
	}
}

// Guards against large bodies that are being answered and leave no memory for small requests.
func TestSmallBodiesBesideLargeOnes(t *testing.T) {
	l := guard.NewLedger(guard.Limits{Bytes: 1000 * kib})
	for range 3 {
		l.Enter(open(t, l, 250*kib, start), guard.Answering, start)
	}
	large, _ := l.Open(stalled)
	if verdict, _ := l.Reserve(large, 50*kib, stalled); verdict != guard.Refused {
		t.Errorf("a large body beyond three quarters of the memory has verdict %d", verdict)
	}
	open(t, l, 4*kib, stalled)
}

// Guards against a new caller that is refused although another connection is stalled, against open connections beyond the
// limit, and against a connection that is closed while its request is answered.
func TestLimitOfConnections(t *testing.T) {
	l := guard.NewLedger(guard.Limits{Connections: 16})
	var opened []*guard.Account
	for i := range 16 {
		a, victim := l.Open(start.Add(time.Duration(i)))
		if a == nil || victim != nil {
			t.Fatalf("connection %d: opened %v, victim %v", i, a, victim)
		}
		opened = append(opened, a)
	}
	if a, victim := l.Open(start.Add(time.Millisecond)); a != nil || victim != nil {
		t.Error("a connection beyond the limit was opened, or one without a stall was closed")
	}
	l.Enter(opened[0], guard.Answering, start)
	// The first one is being answered, so the second one is the first to be closed. Its place is free once it is removed.
	if a, victim := l.Open(stalled); a != nil || victim != opened[1] {
		t.Errorf("opened %v, victim %v, want the second connection", a, victim)
	}
	l.Remove(opened[1])
	if a, _ := l.Open(stalled); a == nil {
		t.Error("a new caller was refused beside stalled connections")
	}
}

// Guards against a body that keeps its connection and memory for any time by sending a byte now and then, and against a time
// limit for requests that are being answered.
func TestTimeOfBodies(t *testing.T) {
	l := guard.NewLedger(guard.Limits{Bytes: 1000 * kib})
	slow, whole := open(t, l, kib, start), open(t, l, kib, start)
	l.Enter(whole, guard.Answering, start)
	for at := start; at < start.Add(10*time.Second); at = at.Add(time.Second) {
		l.Progress(slow, at)
		if victims := l.Expire(at); len(victims) > 0 {
			t.Fatalf("closed after %s", at.Sub(start))
		}
	}
	if victims := l.Expire(start.Add(11 * time.Second)); len(victims) != 1 || victims[0] != slow {
		t.Errorf("closed %d connections, want the slow one", len(victims))
	}
}

// Guards against limits that ordinary callers reach on the smallest machine, and against limits without a setting.
func TestNewLimits(t *testing.T) {
	cases := []struct {
		memory float64
		fds    int
		want   guard.Limits
	}{
		{0, 0, guard.Limits{}},
		{184, 4100, guard.Limits{Connections: 736, Bytes: 23 << 20}},
		{536, 4100, guard.Limits{Connections: 1950, Bytes: 67 << 20}},
		{0, 8192, guard.Limits{Connections: 3996}},
		{1, 100, guard.Limits{Connections: 16, Bytes: 2 << 20}},
	}
	for _, c := range cases {
		if got := guard.NewLimits(c.memory, c.fds); got != c.want {
			t.Errorf("%v MiB, %d descriptors: %+v, want %+v", c.memory, c.fds, got, c.want)
		}
	}
}
