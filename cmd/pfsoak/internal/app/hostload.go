package app

import (
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
)

// hostLoad is a processor that all hosts share: each call takes it for a time, one after the other, also if its caller no longer
// waits.
type hostLoad struct {
	// perCall is the time that a call takes, or 0 if calls do not wait for each other.
	perCall time.Duration

	mu   sync.Mutex
	free time.Time
	// calls counts the calls and longest is the longest wait since the last report.
	calls   int
	longest time.Duration
}

// use waits until the processor has handled a call that arrives now.
func (l *hostLoad) use() {
	now := time.Now()
	l.mu.Lock()
	l.calls++
	wait := time.Duration(0)
	if l.perCall > 0 {
		wait = max(0, l.free.Sub(now)) + l.perCall
		l.free = now.Add(wait)
	}
	l.longest = max(l.longest, wait)
	l.mu.Unlock()
	time.Sleep(wait)
}

// report logs the calls since the last report.
func (l *hostLoad) report(log hclog.Logger) {
	l.mu.Lock()
	calls, longest := l.calls, l.longest
	l.calls, l.longest = 0, 0
	l.mu.Unlock()
	log.Info("Calls to the hosts.", "calls", calls, "longestWait", longest.String())
}
