package telem

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"

	"github.com/hashicorp/go-hclog"
)

// maxQueuedLines is the maximum number of queued log lines. Further lines are dropped and counted.
const maxQueuedLines = 4096

// maxQueuedBytes is the maximum size of the queued log lines in bytes. A line can hold a path or an id of a caller, which can
// have some 16 KB.
const maxQueuedBytes = 4 << 20

// Writer writes log lines in the background, so that a slow log destination does not block the callers of the logger.
type Writer struct {
	out     io.Writer
	lines   chan []byte
	done    chan struct{}
	dropped atomic.Int64
	// queued is the size of the queued lines in bytes.
	queued atomic.Int64

	mu     sync.RWMutex
	closed bool
}

var _ io.WriteCloser = &Writer{}

// NewWriter returns a writer that writes to out.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, lines: make(chan []byte, maxQueuedLines), done: make(chan struct{})}
	go w.run()
	return w
}

// Write queues a line. It drops the line if the queue has too many lines or bytes.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.RLock()
	defer w.mu.RUnlock()
	if w.closed {
		return len(line), nil
	}
	size := int64(len(line))
	if w.queued.Add(size) <= maxQueuedBytes {
		select {
		case w.lines <- append([]byte(nil), line...):
			return len(line), nil
		default:
		}
	}
	w.queued.Add(-size)
	w.dropped.Add(1)
	return len(line), nil
}

// Dropped returns the number of lines dropped since the last line that reported drops.
func (w *Writer) Dropped() int64 {
	return w.dropped.Load()
}

// Close waits until all queued lines are written. Lines written afterwards are discarded.
func (w *Writer) Close() error {
	w.mu.Lock()
	if !w.closed {
		w.closed = true
		close(w.lines)
	}
	w.mu.Unlock()
	<-w.done
	return nil
}

func (w *Writer) run() {
	defer close(w.done)
	for line := range w.lines {
		// An error is ignored because there is no other log to report it to.
		_, _ = w.out.Write(line)
		w.queued.Add(-int64(len(line)))
		if n := w.dropped.Swap(0); n > 0 {
			_, _ = fmt.Fprintf(w.out, "{\"@level\":\"warn\",\"@message\":\"Dropped log lines.\",\"lines\":%d}\n", n)
		}
	}
}

// NewJSONLogger returns a logger with the given name that writes one JSON object per line.
func NewJSONLogger(name, level string, out io.Writer) hclog.Logger {
	return hclog.New(&hclog.LoggerOptions{Name: name, Level: hclog.LevelFromString(level), Output: out, JSONFormat: true})
}
