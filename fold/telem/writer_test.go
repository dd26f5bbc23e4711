package telem_test

import (
	"bytes"
	"testing"

	"plantainfold.example/fold/telem"
)

// stalledOutput is a log destination that does not accept lines until it is opened.
type stalledOutput struct {
	opened chan struct{}
	lines  bytes.Buffer
}

func (s *stalledOutput) Write(line []byte) (int, error) {
	<-s.opened
	return s.lines.Write(line)
}

// Guards against long log lines, such as those with a path of a caller, that fill the memory while the log destination stalls,
// and against a queue that stays full afterwards.
func TestQueuedBytes(t *testing.T) {
	const size, count, most = 16 << 10, 1000, 4 << 20
	out := &stalledOutput{opened: make(chan struct{})}
	w := telem.NewWriter(out)
	line := bytes.Repeat([]byte("x"), size)
	for range count {
		if _, err := w.Write(line); err != nil {
			t.Fatal(err)
		}
	}
	if kept := count - w.Dropped(); kept != most/size {
		t.Errorf("%d lines of %d bytes were kept, want %d", kept, size, most/size)
	}
	close(out.opened)
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
	if got := bytes.Count(out.lines.Bytes(), []byte("x")); got != most {
		t.Errorf("%d bytes of lines were written, want %d", got, most)
	}
}
