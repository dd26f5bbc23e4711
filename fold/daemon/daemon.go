package daemon

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"time"

	"github.com/hashicorp/go-hclog"

	"plantainfold.example/fold/cert"
	"plantainfold.example/fold/entry"
	"plantainfold.example/fold/httpd"
	"plantainfold.example/fold/telem"
)

const flushTime = 5 * time.Second

// Daemon is an assembled entry process.
type Daemon struct {
	settings  entry.Settings
	entry     *entry.Entry
	api       *httpd.API
	telemetry *telem.Telemetry
	log       hclog.Logger
	// secure is nil when the settings name no certificate.
	secure *tls.Config
}

// newDaemon puts the parts together.
func newDaemon(s entry.Settings, e *entry.Entry, api *httpd.API, t *telem.Telemetry, log hclog.Logger) (*Daemon, error) {
	e.CountRequests(api.Unfinished)
	if err := t.ExportStatus(e.Status); err != nil {
		return nil, err
	}
	d := &Daemon{settings: s, entry: e, api: api, telemetry: t, log: log}
	if s.Cert == "" {
		return d, nil
	}
	files := cert.New(s.Cert, s.Certkey, s.CA)
	if _, err := files.Certificate(); err != nil {
		return nil, err
	}
	d.secure = files.Server()
	e.Secure(files.Client)
	return d, nil
}

// Listen opens the listener of the settings.
func (d *Daemon) Listen(ctx context.Context) (net.Listener, error) {
	return httpd.Listen(ctx, d.settings.Listen)
}

// Run serves until ctx ends, then finishes the requests in flight and hands over what the entry owns.
func (d *Daemon) Run(ctx context.Context, listener net.Listener) error {
	d.entry.Start(context.Background())
	d.log.Info("Serving.", "address", listener.Addr().String(), "domain", d.settings.Domain)
	err := httpd.Serve(ctx, listener, d.Handler(), httpd.WithNotice(d.settings.Notice.Std(), d.leave),
		httpd.WithConns(d.settings.Conns), httpd.WithTLS(d.secure))
	d.log.Info("Handing over pools.")
	if closeErr := d.entry.Close(); err == nil {
		err = closeErr
	}
	flush, cancel := context.WithTimeout(context.Background(), flushTime)
	defer cancel()
	if closeErr := d.telemetry.Close(flush); err == nil {
		err = closeErr
	}
	return err
}

// leave tells balancer and callers that the entry is about to stop.
func (d *Daemon) leave() {
	d.log.Info("Stopping. Answering the requests under way.", "requests", d.api.Unfinished())
	d.entry.Leave()
	d.api.Leave()
}

// Handler returns the HTTP routes of the entry.
func (d *Daemon) Handler() http.Handler {
	return d.api.Handler(d.entry.PeerHandler(), d.telemetry.Handler())
}

// Entry returns the entry inside the process.
func (d *Daemon) Entry() *entry.Entry {
	return d.entry
}
