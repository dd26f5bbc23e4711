package app

import (
	"errors"
	"fmt"
	"io"
	"net/http"

	"plantainfold.example/fold/remote"
)

var errHeld = errors.New("held back by --dry-run")

// dryRun is a Sender that lets reads through and prints what would change state. The key is not printed.
type dryRun struct {
	next    remote.Sender
	out     io.Writer
	stopped bool
}

var _ remote.Sender = &dryRun{}

// Do sends a read, or prints any other request and returns an error.
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
	return nil, errHeld
}

// held reports whether a request was held back.
func (d *dryRun) held() bool {
	return d != nil && d.stopped
}
