package telem

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"

	"github.com/hashicorp/go-hclog"
)

// maxLines bounds the log lines that wait to be written; more are dropped and counted.
const maxLines = 4096

// Writer writes log lines in the background, so that logging never blocks what it describes.
type Writer struct {
	out     io.Writer
	lines   chan []byte
	done    chan struct{}
	dropped atomic.Int64

	mu     sync.RWMutex
	closed bool
}

var _ io.WriteCloser = &Writer{}

// NewWriter returns a writer to out.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, lines: make(chan []byte, maxLines), done: make(chan struct{})}
	go w.run()
	return w
}

// Write queues a line, or drops it when too many wait.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.RLock()
	defer w.mu.RUnlock()
	if w.closed {
		return len(line), nil
	}
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines were dropped since the last report of them.
func (w *Writer) Dropped() int64 {
	return w.dropped.Load()
}

// Close writes what is queued and waits for it.
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
		// There is nowhere to report a failure of the log itself.
		_, _ = w.out.Write(line)
		if n := w.dropped.Swap(0); n > 0 {
			_, _ = fmt.Fprintf(w.out, "{\"@level\":\"warn\",\"@message\":\"Dropped log lines.\",\"lines\":%d}\n", n)
		}
	}
}

// NewJSONLogger returns a logger that writes one JSON object a line, named by the entry.
func NewJSONLogger(name, level string, out io.Writer) hclog.Logger {
	return hclog.New(&hclog.LoggerOptions{Name: name, Level: hclog.LevelFromString(level), Output: out, JSONFormat: true})
}
