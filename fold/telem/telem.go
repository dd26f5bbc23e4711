package telem

import (
	"context"
	"io"
	"net/http"

	"github.com/hashicorp/go-hclog"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.opentelemetry.io/otel"
	otelprom "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/metric"
	"go.opentelemetry.io/otel/propagation"
	sdkmetric "go.opentelemetry.io/otel/sdk/metric"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"

	"plantainfold.example/fold"
)

// Telemetry holds the metrics and traces of one entry.
type Telemetry struct {
	registry *prometheus.Registry
	meters   *sdkmetric.MeterProvider
	traces   *sdktrace.TracerProvider
}

// New sets up metrics. If traceOut is not nil, it also sets up traces and makes the tracer the default of the process.
func New(traceOut io.Writer) (*Telemetry, error) {
	registry := prometheus.NewRegistry()
	exporter, err := otelprom.New(otelprom.WithRegisterer(registry))
	if err != nil {
		return nil, fold.Invalid.Wrap(err, "set up metrics")
	}
	t := &Telemetry{
		registry: registry,
		meters:   sdkmetric.NewMeterProvider(sdkmetric.WithReader(exporter)),
	}
	otel.SetTextMapPropagator(propagation.TraceContext{})
	if traceOut == nil {
		return t, nil
	}
	spans, err := stdouttrace.New(stdouttrace.WithWriter(traceOut))
	if err != nil {
		return nil, fold.Invalid.Wrap(err, "set up traces")
	}
	t.traces = sdktrace.NewTracerProvider(sdktrace.WithBatcher(spans))
	otel.SetTracerProvider(t.traces)
	return t, nil
}

// Meter returns the meter of a component.
func (t *Telemetry) Meter(component string) metric.Meter {
	return t.meters.Meter("plantainfold/" + component)
}

// Handler returns a handler that serves the metrics in the Prometheus format.
func (t *Telemetry) Handler() http.Handler {
	return promhttp.HandlerFor(t.registry, promhttp.HandlerOpts{})
}

// Close flushes the traces and metrics and shuts them down.
func (t *Telemetry) Close(ctx context.Context) error {
	if t.traces != nil {
		if err := t.traces.Shutdown(ctx); err != nil {
			return err
		}
	}
	return t.meters.Shutdown(ctx)
}

// NewLogger returns a logger with the given name. Events.Follow accepts it.
func NewLogger(name, level string, out io.Writer) hclog.Logger {
	return hclog.NewInterceptLogger(&hclog.LoggerOptions{Name: name, Level: hclog.LevelFromString(level), Output: out})
}
