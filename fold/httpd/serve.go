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

// shutdownTimeout bounds the time for which a stopping server waits for its unfinished requests. It exceeds the longest
// deadline of a request.
const shutdownTimeout = 70 * time.Second

// writeTimeout bounds the time from the headers of a request to the end of its answer. It exceeds the longest deadline of
// a request.
const writeTimeout = 90 * time.Second

// server is the HTTP server of one listener with its options.
type server struct {
	http *http.Server
	// notice is the time for which a stopping server still accepts requests.
	notice time.Duration
	// onStop is called when the server begins to stop.
	onStop func()
	// maxConns bounds the open connections; 0 means no bound.
	maxConns int
	// tls is nil for a server without TLS.
	tls *tls.Config
}

// WithMaxConns limits the server to n open connections. The kernel queues further ones until a connection closes.
func WithMaxConns(n int) ServeOption {
	return func(s *server) { s.maxConns = n }
}

// WithTLS makes the server use TLS; with a nil configuration the server uses plain HTTP.
func WithTLS(c *tls.Config) ServeOption {
	return func(s *server) { s.tls = c }
}

// ServeOption configures Serve.
type ServeOption func(*server)

// WithLeaveNotice makes a stopping server call onStop and then accept requests for the time of notice, so that load
// balancers notice that the entry is leaving before its listener closes.
func WithLeaveNotice(notice time.Duration, onStop func()) ServeOption {
	return func(s *server) { s.notice, s.onStop = notice, onStop }
}

// Serve serves HTTP on the listener until ctx ends, then waits for the unfinished requests.
func Serve(ctx context.Context, listener net.Listener, handler http.Handler, opts ...ServeOption) error {
	s := &server{
		http: &http.Server{
			Handler:           handler,
			ReadHeaderTimeout: headerTimeout,
			ReadTimeout:       bodyTimeout,
			WriteTimeout:      writeTimeout,
			IdleTimeout:       idleTimeout,
			MaxHeaderBytes:    maxHeaderBytes,
		},
		onStop: func() {},
	}
	for _, opt := range opts {
		opt(s)
	}
	if s.maxConns > 0 {
		listener = netutil.LimitListener(listener, s.maxConns)
	}
	if s.tls != nil {
		listener = tls.NewListener(listener, s.tls)
	}
	serveError := make(chan error, 1)
	go func() { serveError <- s.http.Serve(listener) }()
	select {
	case err := <-serveError:
		return fold.Unavailable.Wrap(err, "serve")
	case <-ctx.Done():
	}
	s.onStop()
	select {
	case err := <-serveError:
		return fold.Unavailable.Wrap(err, "serve")
	case <-time.After(s.notice):
	}
	return s.shutdown()
}

// shutdown closes the listener, waits up to shutdownTimeout for unfinished requests and then closes their connections.
func (s *server) shutdown() error {
	stop, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	err := s.http.Shutdown(stop)
	if errors.Is(err, context.DeadlineExceeded) {
		_ = s.http.Close()
		return fold.Unknown.Wrap(err, "shutdown: requests were unfinished after %s", shutdownTimeout)
	}
	return err
}
