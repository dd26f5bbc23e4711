package guard_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"plantainfold.example/fold"
	"plantainfold.example/fold/guard"
)

// bubbleClock is the clock of a synctest bubble.
type bubbleClock struct{}

func (bubbleClock) Now() fold.Instant                      { return fold.Instant(time.Now().UnixNano()) }
func (bubbleClock) After(d time.Duration) <-chan time.Time { return time.After(d) }

// pipes is a listener whose connections are in memory.
type pipes struct {
	accepted chan net.Conn
	closed   chan struct{}
	once     sync.Once
}

func (p *pipes) Accept() (net.Conn, error) {
	select {
	case c := <-p.accepted:
		return c, nil
	case <-p.closed:
		return nil, net.ErrClosed
	}
}

func (p *pipes) Close() error {
	p.once.Do(func() { close(p.closed) })
	return nil
}

func (*pipes) Addr() net.Addr { return &net.TCPAddr{} }

// site is a server behind a gate in a synctest bubble.
type site struct {
	gate  *guard.Gate
	pipes *pipes
}

// newSite starts a server whose handler gets the gate for its bodies.
func newSite(t *testing.T, limits guard.Limits, handle func(*guard.Gate, http.ResponseWriter, *http.Request)) *site {
	t.Helper()
	s := &site{pipes: &pipes{accepted: make(chan net.Conn), closed: make(chan struct{})}}
	s.gate = guard.New(limits, bubbleClock{}, hclog.NewNullLogger(), func(guard.Reason) {})
	server := &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { handle(s.gate, w, r) })}
	s.gate.Guard(server)
	go func() { _ = server.Serve(s.gate.Wrap(s.pipes)) }()
	ctx, stop := context.WithCancel(t.Context())
	go s.gate.Run(ctx)
	t.Cleanup(func() {
		stop()
		_ = server.Close()
		// A bubble must not end before its handlers, and the server delays closing by itself.
		time.Sleep(2 * time.Minute)
	})
	return s
}

// send opens a connection and sends a text on it in one piece.
func (s *site) send(t *testing.T, text string) net.Conn {
	t.Helper()
	client, server := net.Pipe()
	t.Cleanup(func() { _ = client.Close() })
	s.pipes.accepted <- server
	go func() { _, _ = client.Write([]byte(text)) }()
	synctest.Wait()
	return client
}

// request returns the text of a request whose header declares the given length.
func request(method string, length int, body string) string {
	return fmt.Sprintf("%s /p HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", method, length, body)
}

// post returns the text of a submission of the given size.
func post(size int) string { return request(http.MethodPost, size, strings.Repeat("x", size)) }

// status returns the status of the next answer on a connection, or 0 if the connection was closed without one.
func status(c net.Conn) int {
	answer, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	defer func() { _ = answer.Body.Close() }()
	return answer.StatusCode
}

// decode reads the body of a request and answers 200, or 503 if the gate refuses it.
func decode(g *guard.Gate, w http.ResponseWriter, r *http.Request) error {
	err := g.Decode(r.Context(), r.Body, r.ContentLength, 256*kib, func([]byte) error { return nil })
	if err != nil {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	return err
}

// Guards against small requests that are closed because the bytes of their bodies count as bytes of a header, and thereby as a
// large body, while large bodies are being answered.
func TestSmallRequestsBesideLargeAnswers(t *testing.T) {
	const large = 250 * kib
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, guard.Limits{Bytes: 2 << 20}, func(g *guard.Gate, w http.ResponseWriter, r *http.Request) {
			if err := decode(g, w, r); err == nil && r.ContentLength == large {
				time.Sleep(time.Minute)
			}
		})
		for range 6 {
			s.send(t, post(large))
		}
		for _, size := range []int{100, 700, 2000, 3900} {
			if got := status(s.send(t, post(size))); got != http.StatusOK {
				t.Errorf("a body of %d bytes has status %d, want 200", size, got)
			}
		}
	})
}
