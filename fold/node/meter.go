package node

import (
	"context"
	"strconv"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"plantainfold.example/fold"
	"plantainfold.example/fold/core"
	"plantainfold.example/fold/drive"
	"plantainfold.example/fold/guard"
	"plantainfold.example/fold/telem"
)

// latencyBuckets are the bucket bounds of the latency histograms, in milliseconds.
var latencyBuckets = []float64{1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000}

// meter records the metrics of an entry.
type meter struct {
	// commits, starts, holds, asks, decides and calls are the durations of commits, start orders, hold calls to hosts, calls to
	// the adviser, decision rounds and requests of callers.
	commits, starts, holds, asks, decides, calls metric.Float64Histogram
	// rows counts the rows that were committed.
	rows metric.Int64Counter
	// messages counts the calls between processes and bytes the size of their bodies, both by purpose.
	messages, bytes metric.Int64Counter
	// closures counts the connections of callers that were closed and the requests that were refused because of a limit.
	closures metric.Int64Counter
}

var _ drive.Meter = &meter{}

func newMeter(t *telem.Telemetry) (*meter, error) {
	source := t.Meter("node")
	m := &meter{}
	histograms := []struct {
		into              *metric.Float64Histogram
		name, description string
	}{
		{&m.commits, "plantainfold.commit", "Duration of a commit to the table."},
		{&m.starts, "plantainfold.start", "Duration of an order to start a task."},
		{&m.holds, "plantainfold.hold", "Duration of a hold call to a host, including its wait for events."},
		{&m.asks, "plantainfold.advice", "Duration of a call to the adviser."},
		{&m.decides, "plantainfold.decide", "Duration of a round of scheduling decisions."},
		{&m.calls, "plantainfold.call", "Duration of a caller's request."},
	}
	for _, h := range histograms {
		histogram, err := source.Float64Histogram(h.name, metric.WithUnit("ms"), metric.WithDescription(h.description), metric.WithExplicitBucketBoundaries(latencyBuckets...))
		if err != nil {
			return nil, fold.Invalid.Wrap(err, "create the histogram %s", h.name)
		}
		*h.into = histogram
	}
	rows, err := source.Int64Counter("plantainfold.rows", metric.WithDescription("Rows committed to the table."))
	if err != nil {
		return nil, fold.Invalid.Wrap(err, "create the counter plantainfold.rows")
	}
	m.rows = rows
	if m.messages, err = source.Int64Counter("plantainfold.messages", metric.WithDescription("Calls that received an answer, by purpose.")); err != nil {
		return nil, fold.Invalid.Wrap(err, "create the counter plantainfold.messages")
	}
	if m.bytes, err = source.Int64Counter("plantainfold.bytes", metric.WithUnit("By"), metric.WithDescription("Bytes of the bodies of calls, by purpose and direction.")); err != nil {
		return nil, fold.Invalid.Wrap(err, "create the counter plantainfold.bytes")
	}
	if m.closures, err = source.Int64Counter("plantainfold.closures", metric.WithDescription("Connections of callers that were closed and requests that were refused, by the limit that was reached.")); err != nil {
		return nil, fold.Invalid.Wrap(err, "create the counter plantainfold.closures")
	}
	return m, nil
}

// exportSpeeds exports gauges of the speeds of the hosts. speeds returns a summary with 0 hosts while this entry does not learn
// speeds or does not own the pool; the gauges then have no values.
func exportSpeeds(t *telem.Telemetry, speeds func() core.SpeedSummary) error {
	source := t.Meter("node")
	known, err := source.Int64ObservableGauge("plantainfold.speed.hosts", metric.WithDescription("Hosts whose speed is known to differ from the usual one."))
	if err != nil {
		return fold.Invalid.Wrap(err, "create the gauge plantainfold.speed.hosts")
	}
	bounds, err := source.Float64ObservableGauge("plantainfold.speed", metric.WithDescription("Speed of the slowest and of the fastest host; 1 is the usual speed."))
	if err != nil {
		return fold.Invalid.Wrap(err, "create the gauge plantainfold.speed")
	}
	_, err = source.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		s := speeds()
		if s.Hosts == 0 {
			return nil
		}
		o.ObserveInt64(known, int64(s.Known))
		o.ObserveFloat64(bounds, s.Slowest, metric.WithAttributes(attribute.String("host", "slowest")))
		o.ObserveFloat64(bounds, s.Fastest, metric.WithAttributes(attribute.String("host", "fastest")))
		return nil
	}, known, bounds)
	if err != nil {
		return fold.Invalid.Wrap(err, "register the gauges of speeds")
	}
	return nil
}

// exportHostConns exports the connections to hosts.
func exportHostConns(t *telem.Telemetry, stats func() fold.ConnStats) error {
	source := t.Meter("node")
	open, err := source.Int64ObservableGauge("plantainfold.host.conns", metric.WithDescription("Open connections to hosts."))
	if err != nil {
		return fold.Invalid.Wrap(err, "create the gauge plantainfold.host.conns")
	}
	most, err := source.Int64ObservableGauge("plantainfold.host.conns.most", metric.WithDescription("Highest number of open connections to one host."))
	if err != nil {
		return fold.Invalid.Wrap(err, "create the gauge plantainfold.host.conns.most")
	}
	failures, err := source.Int64ObservableCounter("plantainfold.host.conns.failures", metric.WithDescription("Connections to hosts that could not be opened, by whether the host turned them away."))
	if err != nil {
		return fold.Invalid.Wrap(err, "create the counter plantainfold.host.conns.failures")
	}
	_, err = source.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		s := stats()
		o.ObserveInt64(open, int64(s.Open))
		o.ObserveInt64(most, int64(s.Most))
		o.ObserveInt64(failures, s.Refused, metric.WithAttributes(attribute.Bool("refused", true)))
		o.ObserveInt64(failures, s.Failed, metric.WithAttributes(attribute.Bool("refused", false)))
		return nil
	}, open, most, failures)
	if err != nil {
		return fold.Invalid.Wrap(err, "register the metrics of connections to hosts")
	}
	return nil
}

func record(h metric.Float64Histogram, took time.Duration, attributes ...attribute.KeyValue) {
	h.Record(context.Background(), float64(took)/float64(time.Millisecond), metric.WithAttributes(attributes...))
}

func outcome(err error) attribute.KeyValue {
	return attribute.Bool("failed", err != nil)
}

// maxMeasuredTeams is the maximum number of teams whose past use is exported.
const maxMeasuredTeams = 50

// exportPastUse exports the past use that the function returns for at most the given number of teams.
func exportPastUse(t *telem.Telemetry, uses func(limit int) []core.TeamUse) error {
	source := t.Meter("node")
	gauge, err := source.Float64ObservableGauge("plantainfold.pastuse", metric.WithUnit("s"), metric.WithDescription("Decayed core-seconds of a team divided by its weight, for the teams with the most."))
	if err != nil {
		return fold.Invalid.Wrap(err, "create the gauge plantainfold.pastuse")
	}
	_, err = source.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		for _, u := range uses(maxMeasuredTeams) {
			o.ObserveFloat64(gauge, u.Weighted, metric.WithAttributes(attribute.String("team", u.Team)))
		}
		return nil
	}, gauge)
	if err != nil {
		return fold.Invalid.Wrap(err, "register the gauge plantainfold.pastuse")
	}
	return nil
}

// traffic counts a call and the bytes that it sent and received.
func (m *meter) traffic(purpose string, sent, received int) {
	by := attribute.String("purpose", purpose)
	m.messages.Add(context.Background(), 1, metric.WithAttributes(by))
	m.bytes.Add(context.Background(), int64(sent), metric.WithAttributes(by, attribute.String("direction", "sent")))
	m.bytes.Add(context.Background(), int64(received), metric.WithAttributes(by, attribute.String("direction", "received")))
}

// closed counts a connection that was closed, or a request that was refused, because of a limit.
func (m *meter) closed(reason guard.Reason) {
	m.closures.Add(context.Background(), 1, metric.WithAttributes(attribute.String("limit", string(reason))))
}

// Commit records the duration of a commit and the number of its rows.
func (m *meter) Commit(took time.Duration, rows int) {
	record(m.commits, took)
	m.rows.Add(context.Background(), int64(rows))
}

// Start records the duration of an order to start a task.
func (m *meter) Start(took time.Duration, err error) { record(m.starts, took, outcome(err)) }

// Hold records the duration of a hold call to a host.
func (m *meter) Hold(took time.Duration, err error) { record(m.holds, took, outcome(err)) }

// Ask records the duration of a call to the adviser.
func (m *meter) Ask(took time.Duration, err error) { record(m.asks, took, outcome(err)) }

// Decide records the duration of a round of scheduling decisions.
func (m *meter) Decide(took time.Duration) { record(m.decides, took) }

// call records the duration and the status of a caller's request.
func (m *meter) call(call string, status int, took time.Duration) {
	record(m.calls, took, attribute.String("call", call), attribute.String("status", strconv.Itoa(status)))
}
