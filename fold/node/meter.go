package node

import (
	"context"
	"strconv"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"plantainfold.example/fold"
	"plantainfold.example/fold/drive"
	"plantainfold.example/fold/telem"
)

// bounds are the buckets of latency histograms, in milliseconds.
var bounds = []float64{1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000}

// meter counts and times what the entry does.
type meter struct {
	commits, starts, holds, asks, decides, calls metric.Float64Histogram
	rows                                         metric.Int64Counter
	// messages and bytes count what calls carry, by purpose.
	messages, bytes metric.Int64Counter
}

var _ drive.Meter = &meter{}

func newMeter(t *telem.Telemetry) (*meter, error) {
	source := t.Meter("node")
	m := &meter{}
	histograms := []struct {
		into              *metric.Float64Histogram
		name, description string
	}{
		{&m.commits, "plantainfold.commit", "Time of a commit to the table."},
		{&m.starts, "plantainfold.start", "Time of an order to start a task."},
		{&m.holds, "plantainfold.hold", "Time of a look at a host, its wait included."},
		{&m.asks, "plantainfold.advice", "Time of a call to the adviser."},
		{&m.decides, "plantainfold.decide", "Time of a round of decisions."},
		{&m.calls, "plantainfold.call", "Time of a caller's request."},
	}
	for _, h := range histograms {
		made, err := source.Float64Histogram(h.name, metric.WithUnit("ms"), metric.WithDescription(h.description), metric.WithExplicitBucketBoundaries(bounds...))
		if err != nil {
			return nil, fold.Invalid.Wrap(err, "make the histogram %s", h.name)
		}
		*h.into = made
	}
	rows, err := source.Int64Counter("plantainfold.rows", metric.WithDescription("Rows that were committed."))
	if err != nil {
		return nil, fold.Invalid.Wrap(err, "make the counter of rows")
	}
	m.rows = rows
	if m.messages, err = source.Int64Counter("plantainfold.messages", metric.WithDescription("Calls with an answer, by purpose.")); err != nil {
		return nil, fold.Invalid.Wrap(err, "make the counter of calls")
	}
	if m.bytes, err = source.Int64Counter("plantainfold.bytes", metric.WithUnit("By"), metric.WithDescription("Bytes of the bodies of calls, by purpose and direction.")); err != nil {
		return nil, fold.Invalid.Wrap(err, "make the counter of bytes")
	}
	return m, nil
}

func record(h metric.Float64Histogram, took time.Duration, attributes ...attribute.KeyValue) {
	h.Record(context.Background(), float64(took)/float64(time.Millisecond), metric.WithAttributes(attributes...))
}

func outcome(err error) attribute.KeyValue {
	return attribute.Bool("failed", err != nil)
}

// traffic takes what a call has carried, in bytes.
func (m *meter) traffic(purpose string, sent, received int) {
	by := attribute.String("purpose", purpose)
	m.messages.Add(context.Background(), 1, metric.WithAttributes(by))
	m.bytes.Add(context.Background(), int64(sent), metric.WithAttributes(by, attribute.String("direction", "sent")))
	m.bytes.Add(context.Background(), int64(received), metric.WithAttributes(by, attribute.String("direction", "received")))
}

// Commit takes the time of a commit.
func (m *meter) Commit(took time.Duration, rows int) {
	record(m.commits, took)
	m.rows.Add(context.Background(), int64(rows))
}

// Start takes the time of an order to start.
func (m *meter) Start(took time.Duration, err error) { record(m.starts, took, outcome(err)) }

// Hold takes the time of a look at a host.
func (m *meter) Hold(took time.Duration, err error) { record(m.holds, took, outcome(err)) }

// Ask takes the time of a call to the adviser.
func (m *meter) Ask(took time.Duration, err error) { record(m.asks, took, outcome(err)) }

// Decide takes the time of a round of decisions.
func (m *meter) Decide(took time.Duration) { record(m.decides, took) }

// call takes the time and the status of a caller's request.
func (m *meter) call(call string, status int, took time.Duration) {
	record(m.calls, took, attribute.String("call", call), attribute.String("status", strconv.Itoa(status)))
}
