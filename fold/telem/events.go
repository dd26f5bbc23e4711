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
	// maxEvents is the maximum number of events that an entry keeps.
	maxEvents = 1024
	// maxReason is the maximum length of the reason of an event in bytes.
	maxReason = 512
	// repeatWindow is the number of newest events that are searched for a duplicate of a new event.
	repeatWindow = 64
	// repeatInterval is the time during which a duplicate of an event is not added again.
	repeatInterval = time.Minute
)

// Events is a bounded list of the actions that an entry took on its own. The events are made of the entry's log lines at
// level info and above, so that the log and the events agree.
type Events struct {
	entry string

	mu         sync.Mutex
	lastNumber int64
	events     []fold.Event
}

var _ hclog.SinkAdapter = &Events{}

// NewEvents returns an empty list for an entry.
func NewEvents(entry string) *Events {
	return &Events{entry: entry}
}

// Follow makes an event of each line that is logged through log or a logger derived from it. It does nothing if log is not
// an InterceptLogger.
func (e *Events) Follow(log hclog.Logger) {
	if source, ok := log.(hclog.InterceptLogger); ok {
		source.RegisterSink(e)
	}
}

// Accept makes an event of one log line. The kind is the logger's name, the subject the first value, and the reason the
// message with all values.
func (e *Events) Accept(name string, level hclog.Level, msg string, args ...any) {
	if level < hclog.Info {
		return
	}
	component := strings.TrimPrefix(strings.TrimPrefix(name, e.entry), ".")
	if component == "" {
		component = "entry"
	}
	var subject string
	reason := msg
	for i := 0; i+1 < len(args); i += 2 {
		if subject == "" {
			subject = fmt.Sprint(args[i+1])
		}
		reason += fmt.Sprintf(" %v=%v", args[i], args[i+1])
	}
	e.add(fold.Event{Kind: component, Subject: subject, Reason: reason[:min(len(reason), maxReason)]})
}

func (e *Events) add(event fold.Event) {
	e.mu.Lock()
	defer e.mu.Unlock()
	event.Time = time.Now().UnixMilli()
	for _, old := range e.events[max(0, len(e.events)-repeatWindow):] {
		if old.Reason == event.Reason && old.Kind == event.Kind && event.Time-old.Time < repeatInterval.Milliseconds() {
			return
		}
	}
	e.lastNumber++
	event.Number = e.lastNumber
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
