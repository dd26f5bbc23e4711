package app_test

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"plantainfold.example/fold/drive"
	"plantainfold.example/platform/stand"
)

// head returns the header of a submission. The framing is the header field that declares the body.
func head(key string, i int, framing string) string {
	return requestLine(http.MethodPost, i) + callerFields(key) + framing + "\r\n\r\n"
}

// requestLine returns the first lines of a request about a job.
func requestLine(method string, i int) string {
	return fmt.Sprintf("%s %s%016x HTTP/1.1\r\nHost: h\r\n", method, jobPath, i+1)
}

// callerFields returns the header fields that name the key and the wait of a caller.
func callerFields(key string) string {
	header := make(http.Header)
	stand.SetCaller(header, key, callerWait)
	var text strings.Builder
	_ = header.Write(&text)
	return text.String()
}

var (
	contentLength = fmt.Sprintf("Content-Length: %d", legalBody)
	chunked       = "Transfer-Encoding: chunked"
	// paddedJob is a valid job that fills a legal body.
	paddedJob = padded(`{"spec":"s","steps":[{"count":1}]}`)
)

// padded fills a text with spaces to the size of a legal body.
func padded(text string) []byte {
	return append([]byte(text), bytes.Repeat([]byte(" "), legalBody-len(text))...)
}

// repeated returns a body of the size of a legal body that repeats a text between two others.
func repeated(before, text, after string) []byte {
	n := (legalBody - len(before) - len(after)) / len(text)
	return padded(before + strings.TrimSuffix(strings.Repeat(text, n), ",") + after)
}

// chunks encodes a body in chunks of the given size, without the last chunk.
func chunks(body []byte, size int) []byte {
	var out bytes.Buffer
	for len(body) > 0 {
		n := min(size, len(body))
		fmt.Fprintf(&out, "%x\r\n%s\r\n", n, body[:n])
		body = body[n:]
	}
	return out.Bytes()
}

// sendAll returns a function that sends a request in pieces of the given size, or at once if it is 0. The clients share the
// text of the body.
func sendAll(key, framing string, body []byte, piece int) func(net.Conn, int) error {
	return func(c net.Conn, i int) error {
		text := []byte(head(key, i, framing))
		if piece == 0 {
			_, err := (&net.Buffers{text, body}).WriteTo(c)
			return err
		}
		if _, err := c.Write(text); err != nil {
			return err
		}
		for text := range slices.Chunk(body, piece) {
			if _, err := c.Write(text); err != nil {
				return err
			}
		}
		return nil
	}
}

// Guards against clients that make an entry exceed the memory or the descriptors of its machine, so that it ends or no longer
// answers ordinary callers. All clients keep their connections open while the ordinary request is made.
func TestUntrustedClients(t *testing.T) {
	program, short := buildEntry(t), paddedJob[:legalBody-1]
	steps, predecessors := repeated(`{"steps":[`, "{},", `]}`), repeated(`{"steps":[{"count":1,"after":[`, "0,", `]}]}`)
	longNumber := repeated(`{"repeat_count":`, "1", `}`)
	var manyFields strings.Builder
	for i := 0; manyFields.Len() < 15<<10; i++ {
		fmt.Fprintf(&manyFields, "%x:\r\n", i)
	}
	following := bytes.Repeat([]byte("x"), 4<<20)
	cases := []struct {
		name  string
		count int
		// readDelay is the delay of the reads that requests for the state of a job make.
		readDelay time.Duration
		send      func(net.Conn, int) error
	}{
		{"bodies sent at once and whole", 600, 0, sendAll(apiKey, contentLength, paddedJob, 0)},
		{"bodies sent at once, stalled", 600, 0, sendAll(apiKey, contentLength, short, 0)},
		{"bodies sent in pieces, stalled", 600, 0, sendAll(apiKey, contentLength, short, 4<<10)},
		{"large chunks, stalled", 600, 0, sendAll(apiKey, chunked, chunks(short, 64<<10), 0)},
		{"chunks of a byte, stalled", 400, 0, sendAll(apiKey, chunked, chunks(short, 1), 0)},
		{"thousands of tiny steps", 40, 0, sendAll(apiKey, contentLength, steps, 0)},
		{"thousands of predecessors", 200, 0, sendAll(apiKey, contentLength, predecessors, 0)},
		{"numbers of 262,000 digits", 600, 0, sendAll(apiKey, contentLength, longNumber, 0)},
		{"bodies without a valid key, stalled", 1500, 0, sendAll("unknown", contentLength, short, 0)},
		{"chunks of a byte without a valid key, stalled", 600, 0, sendAll("unknown", chunked, chunks(short[:64<<10], 1), 0)},
		{"bodies above the limit, stalled", 600, 0, sendAll(apiKey, chunked, chunks(append(paddedJob, paddedJob...), 64<<10), 0)},
		{"idle connections", 1500, 0, func(net.Conn, int) error { return nil }},
		{"headers with many fields, stalled", 1500, 0, func(c net.Conn, _ int) error {
			_, err := c.Write([]byte("GET " + jobPath + " HTTP/1.1\r\nHost: h\r\n" + manyFields.String()))
			return err
		}},
		{"headers with many fields before a stalled body", 1500, 0, func(c net.Conn, i int) error {
			_, err := c.Write([]byte(head(apiKey, i, manyFields.String()+contentLength) + "{"))
			return err
		}},
		{"bytes behind a request that waits", 1500, 2 * time.Second, func(c net.Conn, i int) error {
			text := requestLine(http.MethodGet, i) + callerFields(apiKey) + "\r\n"
			_, err := (&net.Buffers{[]byte(text), following}).WriteTo(c)
			return err
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			e := startEntry(t, program, c.readDelay)
			e.flood(t, c.count, c.send)
			e.expectService(t)
		})
	}
}

// Guards against limits that refuse a single legal request on an entry without overload: a body of the greatest size, whole or in
// chunks of a byte, and the greatest header.
func TestLegalRequestsAreServed(t *testing.T) {
	e := startEntry(t, buildEntry(t), 0)
	longHeader := "X-Note: " + strings.Repeat("x", 15<<10) + "\r\n" + contentLength
	sends := []func(net.Conn, int) error{
		sendAll(apiKey, contentLength, paddedJob, 0), sendAll(apiKey, longHeader, paddedJob, 4<<10),
		sendAll(apiKey, chunked, append(chunks(paddedJob, 1), "0\r\n\r\n"...), 0),
	}
	for i, send := range sends {
		for _, c := range e.flood(t, 1, func(c net.Conn, _ int) error { return send(c, i) }) {
			if status, _ := readReply(c); status != http.StatusOK {
				t.Errorf("request %d has status %d, want 200", i, status)
			}
		}
	}
}

// Guards against a stopping entry that leaves a request that it has read without a complete answer because of stalled clients,
// and against one that does not stop.
func TestStopWithUntrustedClients(t *testing.T) {
	e := startEntry(t, buildEntry(t), time.Second)
	e.flood(t, 100, sendAll(apiKey, contentLength, paddedJob[:legalBody-1], 0))
	connections := e.flood(t, 50, func(c net.Conn, i int) error {
		_, err := io.WriteString(c, requestLine(http.MethodGet, i)+callerFields(apiKey)+"\r\n")
		return err
	})
	if err := e.process.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	for i, c := range connections {
		if status, _ := readReply(c); status == 0 {
			t.Errorf("request %d has no complete answer", i)
		}
	}
	select {
	case <-e.exited:
	case <-time.After(hangTime):
		t.Fatalf("the entry has not stopped within %s", hangTime)
	}
	if !e.process.ProcessState.Success() {
		t.Errorf("the entry stopped with %s", e.process.ProcessState)
	}
}

// Guards against a refusal of a job that is stored all the same, and against a refusal without a time to retry.
func TestRefusalsAreTrue(t *testing.T) {
	e := startEntry(t, buildEntry(t), 0)
	// Most bodies stall so that the entry has to refuse or close some of the others.
	e.flood(t, 300, sendAll(apiKey, contentLength, paddedJob[:legalBody-1], 0))
	connections := e.flood(t, 300, func(c net.Conn, i int) error { return sendAll(apiKey, contentLength, paddedJob, 0)(c, 1000+i) })
	for i, c := range connections {
		status, retry := readReply(c)
		if status != http.StatusServiceUnavailable && status != http.StatusTooManyRequests {
			continue
		}
		if !retry {
			t.Error("a refusal has no Retry-After")
		}
		for _, prefix := range []string{drive.InboxPrefix, drive.JobPrefix, drive.StatePrefix} {
			if _, err := e.table.Get(t.Context(), fmt.Sprintf("%s%016x", prefix, 1000+i+1)); err == nil {
				t.Errorf("the refused job %d has a row %s", i, prefix)
			}
		}
	}
	e.expectService(t)
}
