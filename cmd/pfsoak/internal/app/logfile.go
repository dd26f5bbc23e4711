package app

import (
	"bytes"
	"errors"
	"os"
	"sync"
	"time"
)

// flushInterval is the time between two writes to a log file.
const flushInterval = 200 * time.Millisecond

// logFile writes a log to a file in a goroutine of its own, so that the simulated hosts do not wait for the disk.
type logFile struct {
	file       *os.File
	stop, done chan struct{}

	// err holds the errors of the goroutine, which Close returns.
	err error

	mu      sync.Mutex
	pending bytes.Buffer
}

func newLogFile(path string) (*logFile, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	l := &logFile{file: file, stop: make(chan struct{}), done: make(chan struct{})}
	go l.run()
	return l, nil
}

// Write keeps data for the next write to the file.
func (l *logFile) Write(data []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.pending.Write(data)
}

func (l *logFile) run() {
	defer close(l.done)
	for stopped := false; !stopped; {
		select {
		case <-l.stop:
			stopped = true
		case <-time.After(flushInterval):
		}
		l.mu.Lock()
		data := bytes.Clone(l.pending.Bytes())
		l.pending.Reset()
		l.mu.Unlock()
		if _, err := l.file.Write(data); err != nil {
			l.err = errors.Join(l.err, err)
		}
	}
}

// Close writes what is pending and closes the file.
func (l *logFile) Close() error {
	close(l.stop)
	<-l.done
	return errors.Join(l.err, l.file.Close())
}
