package app

import (
	"errors"
	"fmt"
	"io"
	"net/http"

	"plantainfold.example/fold/remote"
)

// errNotSent is the error of requests that dryRun does not send.
var errNotSent = errors.New("held back by --dry-run")

// dryRun is a Sender that sends GET requests and prints all others, which would change state, without the key.
type dryRun struct {
	next remote.Sender
	out  io.Writer
	// stopped is true once a request has been printed instead of sent.
	stopped bool
}

var _ remote.Sender = &dryRun{}

// Do sends a GET request. It prints any other request and returns errNotSent.
func (d *dryRun) Do(r *http.Request) (*http.Response, error) {
	if r.Method == http.MethodGet {
		return d.next.Do(r)
	}
	d.stopped = true
	_, _ = fmt.Fprintf(d.out, "%s %s\n", r.Method, r.URL)
	if match := r.Header.Get("If-Match"); match != "" {
		_, _ = fmt.Fprintf(d.out, "If-Match: %s\n", match)
	}
	if r.Body != nil {
		if _, err := io.Copy(d.out, r.Body); err != nil {
			return nil, err
		}
		_, _ = fmt.Fprintln(d.out)
	}
	return nil, errNotSent
}

// skipped reports whether a request was printed instead of sent; d may be nil.
func (d *dryRun) skipped() bool {
	return d != nil && d.stopped
}
