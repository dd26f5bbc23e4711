package httpd

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"time"

	"golang.org/x/net/netutil"

	"plantainfold.example/fold"
)

// finishTime bounds how long a stopping server waits for requests under way; it exceeds the longest deadline that a
// caller may ask for.
const finishTime = 70 * time.Second

// writeTime bounds the time from the request to the end of the answer; it exceeds the longest deadline, too.
const writeTime = 90 * time.Second

// server is a listener's server and how it stops.
type server struct {
	http   *http.Server
	notice time.Duration
	leave  func()
	conns  int
	tls    *tls.Config
}

// WithConns bounds the connections that are open at the same time; more wait to be accepted.
func WithConns(n int) ServeOption {
	return func(s *server) { s.conns = n }
}

// WithTLS serves over TLS; a nil configuration serves in the clear.
func WithTLS(c *tls.Config) ServeOption {
	return func(s *server) { s.tls = c }
}

// ServeOption changes how a listener is served.
type ServeOption func(*server)

// WithNotice calls leave when the server is told to stop, and goes on accepting requests for the time of notice, in
// which balancers learn that it is leaving.
func WithNotice(notice time.Duration, leave func()) ServeOption {
	return func(s *server) { s.notice, s.leave = notice, leave }
}

// Serve answers on the listener until ctx ends, then finishes the requests in flight.
func Serve(ctx context.Context, listener net.Listener, handler http.Handler, opts ...ServeOption) error {
	s := &server{
		http: &http.Server{
			Handler:           handler,
			ReadHeaderTimeout: headerTime,
			ReadTimeout:       bodyTime,
			WriteTimeout:      writeTime,
			IdleTimeout:       idleTime,
			MaxHeaderBytes:    maxHeader,
		},
		leave: func() {},
	}
	for _, opt := range opts {
		opt(s)
	}
	if s.conns > 0 {
		listener = netutil.LimitListener(listener, s.conns)
	}
	if s.tls != nil {
		listener = tls.NewListener(listener, s.tls)
	}
	failed := make(chan error, 1)
	go func() { failed <- s.http.Serve(listener) }()
	select {
	case err := <-failed:
		return fold.Unavailable.Wrap(err, "serve")
	case <-ctx.Done():
	}
	s.leave()
	select {
	case err := <-failed:
		return fold.Unavailable.Wrap(err, "serve")
	case <-time.After(s.notice):
	}
	return s.finish()
}

// finish waits for the requests under way and closes what is still open at the end.
func (s *server) finish() error {
	stop, cancel := context.WithTimeout(context.Background(), finishTime)
	defer cancel()
	err := s.http.Shutdown(stop)
	if errors.Is(err, context.DeadlineExceeded) {
		_ = s.http.Close()
		return fold.Unknown.Wrap(err, "requests were still under way after %s", finishTime)
	}
	return err
}
