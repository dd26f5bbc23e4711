package app

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// report is what a run found.
type report struct {
	plan   plan
	phases []*tally
	// checks is nil if no worker was asked.
	checks *checks
}

// row is the figures of an account, or of all, in one phase; times are in milliseconds.
type row struct {
	Account  string  `json:"account"`
	Offered  int     `json:"offered"`
	Answered int     `json:"answered"`
	Late     int     `json:"late"`
	Refused  int     `json:"refused"`
	Unknown  int     `json:"unknown"`
	Wrong    int     `json:"wrong"`
	Rate     float64 `json:"rate"`
	Goodput  float64 `json:"goodput,omitempty"`
	P50      float64 `json:"p50"`
	P99      float64 `json:"p99"`
	P999     float64 `json:"p999"`
	Max      float64 `json:"max"`
}

// section is one phase.
type section struct {
	Rate     float64 `json:"rate"`
	Seconds  float64 `json:"seconds"`
	Unsent   int64   `json:"unsent"`
	Lag      float64 `json:"lag"`
	All      row     `json:"all"`
	Accounts []row   `json:"accounts"`
}

func (r report) sections() []section {
	var all []section
	for _, t := range r.phases {
		s := section{
			Rate: t.phase.rate, Seconds: t.phase.duration.Seconds(), Unsent: t.unsent.Load(),
			Lag: quantile(t.lag, 99), All: r.row(t.sum(), t.phase),
		}
		for _, c := range t.accounts {
			s.Accounts = append(s.Accounts, r.row(c, t.phase))
		}
		all = append(all, s)
	}
	return all
}

func (r report) row(c *counts, p phase) row {
	out := row{
		Account: c.name, Offered: c.offered, Answered: c.answered, Late: c.late, Refused: c.refused,
		Unknown: c.unknown, Wrong: c.wrong, Rate: float64(c.answered) / p.duration.Seconds(),
		P50: quantile(c.latency, 50), P99: quantile(c.latency, 99), P999: quantile(c.latency, 99.9), Max: quantile(c.latency, 100),
	}
	if r.plan.Capacity > 0 {
		out.Goodput = float64(c.answered-c.late) / p.duration.Seconds() / r.plan.Capacity
	}
	return out
}

func quantile(h *hdrhistogram.Histogram, q float64) float64 {
	return float64(h.ValueAtQuantile(q)) / float64(time.Millisecond/time.Microsecond)
}

// faulty reports whether the run found what must never happen.
func (r report) faulty() bool {
	for _, t := range r.phases {
		if t.sum().wrong > 0 {
			return true
		}
	}
	return r.checks != nil && (r.checks.Doubled > 0 || r.checks.Untrue > 0 || r.checks.Missing > 0)
}

func (r report) json(w io.Writer) error {
	return json.NewEncoder(w).Encode(struct {
		Seed   uint64    `json:"seed"`
		Phases []section `json:"phases"`
		Checks *checks   `json:"checks,omitempty"`
	}{r.plan.Seed, r.sections(), r.checks})
}

func (r report) table(w io.Writer) error {
	out := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	for _, s := range r.sections() {
		_, _ = fmt.Fprintf(out, "phase of %.0f requests/s for %.0f s, seed %d, %d unsent, tool late p99 %.1f ms\n", s.Rate, s.Seconds, r.plan.Seed, s.Unsent, s.Lag)
		_, _ = fmt.Fprintln(out, "account\toffered\tanswered\tlate\trefused\tunknown\twrong\tanswers/s\tgoodput\tp50 ms\tp99 ms\tp99.9 ms\tmax ms\t")
		for _, one := range append(s.Accounts, s.All) {
			_, _ = fmt.Fprintf(out, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%.0f\t%s\t%.1f\t%.1f\t%.1f\t%.1f\t\n", one.Account, one.Offered, one.Answered, one.Late,
				one.Refused, one.Unknown, one.Wrong, one.Rate, goodputText(one.Goodput), one.P50, one.P99, one.P999, one.Max)
		}
		if err := out.Flush(); err != nil {
			return err
		}
	}
	if r.checks == nil {
		_, err := fmt.Fprintln(w, "workers were not asked what they served")
		return err
	}
	_, err := fmt.Fprintf(w, "served: %d ran, %d doubled, %d idempotent repeated, %d ran though refused as not run, %d answered without a run\n",
		r.checks.Ran, r.checks.Doubled, r.checks.Repeated, r.checks.Untrue, r.checks.Missing)
	return err
}

func goodputText(goodput float64) string {
	if goodput == 0 {
		return "-"
	}
	return fmt.Sprintf("%.3f", goodput)
}
