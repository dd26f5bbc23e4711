package daemon

import (
	"io"

	"github.com/hashicorp/go-hclog"

	"plantainfold.example/fold"
	"plantainfold.example/fold/client"
	"plantainfold.example/fold/entry"
	"plantainfold.example/fold/httpd"
	"plantainfold.example/fold/telem"
)

const (
	// platformConns is the maximum number of connections to the platform.
	platformConns = 16
	// workerConns is the maximum number of connections to each address of workers.
	workerConns = 2
)

// Outputs holds the writers of logs and traces. A nil Traces disables traces.
type Outputs struct {
	Logs   io.Writer
	Traces io.Writer
}

func provideLogger(s entry.Settings, out Outputs) hclog.Logger {
	return telem.NewLogger(s.Name, s.Level, out.Logs)
}

func provideTelemetry(out Outputs) (*telem.Telemetry, error) {
	return telem.New(out.Traces)
}

func providePlatform(s entry.Settings) entry.Platform {
	platform := client.NewHTTP(platformConns)
	return entry.Platform{
		Table:     client.NewTable(s.Table, platform),
		Objects:   client.NewObjects(s.Objects, platform),
		Fleet:     client.NewFleet(s.InstanceList, platform),
		Workers:   client.NewWorkers(client.NewHTTP(workerConns)),
		Endpoints: client.NewEndpoints(),
	}
}

func provideClock() fold.Clock {
	return fold.BootClock{}
}

func provideAPI(s entry.Settings, e *entry.Entry, log hclog.Logger) *httpd.API {
	return httpd.New(e, e, s.MaxBody, log, httpd.WithOperations(e))
}
