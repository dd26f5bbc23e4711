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

// flushTime is the maximum time for exporting telemetry when the process stops.
const flushTime = 5 * time.Second

// Daemon is an assembled entry process.
type Daemon struct {
	settings  entry.Settings
	entry     *entry.Entry
	api       *httpd.API
	telemetry *telem.Telemetry
	log       hclog.Logger
	// tlsConfig is the TLS configuration of the server, or nil if the settings name no certificate.
	tlsConfig *tls.Config
}

// newDaemon connects the parts of the process and loads the certificate if the settings name one.
func newDaemon(s entry.Settings, e *entry.Entry, api *httpd.API, t *telem.Telemetry, log hclog.Logger) (*Daemon, error) {
	e.SetRequestCounter(api.UnfinishedRequests)
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
	d.tlsConfig = files.Server()
	e.UseTLS(files.Client)
	return d, nil
}

// Listen opens a listener at the address in the settings.
func (d *Daemon) Listen(ctx context.Context) (net.Listener, error) {
	return httpd.Listen(ctx, d.settings.Listen)
}

// Run serves until ctx ends, then finishes the requests in flight and hands over what the entry owns.
func (d *Daemon) Run(ctx context.Context, listener net.Listener) error {
	d.entry.Start(context.Background())
	d.log.Info("Serving requests.", "address", listener.Addr().String(), "domain", d.settings.Domain)
	err := httpd.Serve(ctx, listener, d.Handler(), httpd.WithLeaveNotice(d.settings.ShutdownNotice.Std(), d.leave),
		httpd.WithMaxConns(d.settings.MaxConns), httpd.WithTLS(d.tlsConfig))
	d.log.Info("Handing over pools to other entries.")
	if closeErr := d.entry.Close(); err == nil {
		err = closeErr
	}
	flushCtx, cancel := context.WithTimeout(context.Background(), flushTime)
	defer cancel()
	if closeErr := d.telemetry.Close(flushCtx); err == nil {
		err = closeErr
	}
	return err
}

// leave tells load balancers and callers that the entry is about to stop.
func (d *Daemon) leave() {
	d.log.Info("Stopping after the requests in flight are answered.", "requests", d.api.UnfinishedRequests())
	d.entry.ReportLeaving()
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
