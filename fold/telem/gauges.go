package telem

import (
	"context"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"plantainfold.example/fold"
)

// gauge is a metric with its value in the status of an entry.
type gauge struct {
	name, unit, description string
	value                   func(fold.Status) float64
}

var gauges = []gauge{
	{"plantainfold.waiting.p50", "ms", "Median time from accept to start over the last starts.", func(s fold.Status) float64 { return float64(s.Measures.Waiting.P50) }},
	{"plantainfold.waiting.p99", "ms", "99th percentile of the time from accept to start over the last starts.", func(s fold.Status) float64 { return float64(s.Measures.Waiting.P99) }},
	{"plantainfold.starts", "1", "Starts since the entry began.", func(s fold.Status) float64 { return float64(s.Measures.Waiting.Starts) }},
	{"plantainfold.packing", "1", "Used fraction of the capacity of the entry's pools.", func(s fold.Status) float64 { return s.Measures.Packing }},
	{"plantainfold.control.cpu", "1", "Processor time of the entry over the last period as a fraction of one core.", func(s fold.Status) float64 { return s.Measures.Control.CPU }},
	{"plantainfold.control.memory", "By", "Peak resident memory of the entry.", func(s fold.Status) float64 { return float64(s.Measures.Control.Memory) }},
	{"plantainfold.control.decision.p99", "us", "99th percentile of the time for one scheduling round.", func(s fold.Status) float64 { return float64(s.Measures.Control.Decision) }},
	{"plantainfold.invariant.excess", "1", "Workers with more work assigned than their capacity; invariant 1, must be 0.", func(s fold.Status) float64 { return float64(s.Measures.OvercommittedWorkers) }},
	{"plantainfold.invariant.over", "1", "Teams that use more than the portion of their limit that the pools hold; invariant 4, must be 0.", func(s fold.Status) float64 { return float64(s.Measures.TeamsOverLimit) }},
	{"plantainfold.invariant.revision", "1", "Revision of the configuration in force at the entry; invariant 10, never decreases.", func(s fold.Status) float64 { return float64(s.Revision) }},
	{"plantainfold.standing", "1", "1 while the entry has standing, that is, permission to act on the cell.", func(s fold.Status) float64 { return boolValue(s.Standing) }},
	{"plantainfold.leaving", "1", "1 while the entry is leaving.", func(s fold.Status) float64 { return boolValue(s.Leaving) }},
	{"plantainfold.entries", "1", "Entries in contact with this one, including itself.", func(s fold.Status) float64 { return float64(len(s.Entries)) }},
	{"plantainfold.pools", "1", "Pools owned by the entry.", func(s fold.Status) float64 { return float64(len(s.Pools)) }},
}

func boolValue(on bool) float64 {
	if on {
		return 1
	}
	return 0
}

// ExportStatus exports the gauges of the status, and the share that each team uses and is entitled to.
func (t *Telemetry) ExportStatus(status func(context.Context) fold.Status) error {
	meter := t.Meter("entry")
	instruments := make([]metric.Observable, 0, len(gauges)+2)
	observers := make([]metric.Float64ObservableGauge, 0, len(gauges)+2)
	add := func(name, unit, description string) error {
		g, err := meter.Float64ObservableGauge(name, metric.WithUnit(unit), metric.WithDescription(description))
		if err != nil {
			return fold.Invalid.Wrap(err, "create metric %s", name)
		}
		instruments = append(instruments, g)
		observers = append(observers, g)
		return nil
	}
	for _, g := range gauges {
		if err := add(g.name, g.unit, g.description); err != nil {
			return err
		}
	}
	if err := add("plantainfold.share.used", "1", "Fraction of the capacity of the entry's pools that a team uses."); err != nil {
		return err
	}
	if err := add("plantainfold.share.due", "1", "Fraction of the capacity that a team is entitled to by its weight."); err != nil {
		return err
	}
	_, err := meter.RegisterCallback(func(ctx context.Context, o metric.Observer) error {
		s := status(ctx)
		for i, g := range gauges {
			o.ObserveFloat64(observers[i], g.value(s))
		}
		for _, share := range s.Measures.Shares {
			team := metric.WithAttributes(attribute.String("team", share.Team))
			o.ObserveFloat64(observers[len(gauges)], share.Used, team)
			o.ObserveFloat64(observers[len(gauges)+1], share.Entitled, team)
		}
		return nil
	}, instruments...)
	if err != nil {
		return fold.Invalid.Wrap(err, "register the metrics of the entry")
	}
	return nil
}
