package telem

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"plantainfold.example/fold"
)

const (
	// maxEvents bounds the events that an entry remembers.
	maxEvents = 1024
	// maxReason bounds the reason of an event, in bytes.
	maxReason = 512
	// repeatWindow is how many of the newest events are searched for an equal one, which then is not added again.
	repeatWindow = 64
	// repeatTime is how long an equal event is not added again.
	repeatTime = time.Minute
)

// Events is a bounded record of what an entry did by itself and why. It takes what the parts of the entry log at
// level info and above, so that logs and events cannot tell different stories.
type Events struct {
	entry string

	mu     sync.Mutex
	next   int64
	events []fold.Event
}

var _ hclog.SinkAdapter = &Events{}

// NewEvents returns an empty record of an entry.
func NewEvents(entry string) *Events {
	return &Events{entry: entry}
}

// Follow records what is logged through log and the loggers made of it.
func (e *Events) Follow(log hclog.Logger) {
	if source, ok := log.(hclog.InterceptLogger); ok {
		source.RegisterSink(e)
	}
}

// Accept records one log line.
func (e *Events) Accept(name string, level hclog.Level, msg string, args ...any) {
	if level < hclog.Info {
		return
	}
	part := strings.TrimPrefix(strings.TrimPrefix(name, e.entry), ".")
	if part == "" {
		part = "entry"
	}
	var subject string
	reason := msg
	for i := 0; i+1 < len(args); i += 2 {
		if subject == "" {
			subject = fmt.Sprint(args[i+1])
		}
		reason += fmt.Sprintf(" %v=%v", args[i], args[i+1])
	}
	e.add(fold.Event{Kind: part, Subject: subject, Reason: reason[:min(len(reason), maxReason)]})
}

func (e *Events) add(event fold.Event) {
	e.mu.Lock()
	defer e.mu.Unlock()
	event.Time = time.Now().UnixMilli()
	for _, old := range e.events[max(0, len(e.events)-repeatWindow):] {
		if old.Reason == event.Reason && old.Kind == event.Kind && event.Time-old.Time < repeatTime.Milliseconds() {
			return
		}
	}
	e.next++
	event.Number = e.next
	event.Entry = e.entry
	if len(e.events) == maxEvents {
		e.events = append(e.events[:0], e.events[1:]...)
	}
	e.events = append(e.events, event)
}

// List returns the events, oldest first.
func (e *Events) List() []fold.Event {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]fold.Event(nil), e.events...)
}
