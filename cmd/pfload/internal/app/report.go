package app

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// report is the result of a run.
type report struct {
	plan   plan
	phases []*phaseStats
	// verification is nil if no worker was queried.
	verification *verification
}

// accountReport holds the figures of one account, or of all accounts, in one phase. Rate is in answers per second, Goodput
// is a fraction of the capacity, and latencies are in milliseconds.
type accountReport struct {
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

// phaseReport holds the figures of one phase. Rate is in requests per second, and StartDelay is the 99th percentile in
// milliseconds.
type phaseReport struct {
	Rate       float64         `json:"rate"`
	Seconds    float64         `json:"seconds"`
	Unsent     int64           `json:"unsent"`
	StartDelay float64         `json:"lag"`
	All        accountReport   `json:"all"`
	Accounts   []accountReport `json:"accounts"`
}

func (r report) phaseReports() []phaseReport {
	var reports []phaseReport
	for _, stats := range r.phases {
		p := phaseReport{
			Rate: stats.phase.rate, Seconds: stats.phase.duration.Seconds(), Unsent: stats.unsent.Load(),
			StartDelay: percentileMillis(stats.startDelay, 99), All: r.accountReport(stats.total(), stats.phase),
		}
		for _, a := range stats.accounts {
			p.Accounts = append(p.Accounts, r.accountReport(a, stats.phase))
		}
		reports = append(reports, p)
	}
	return reports
}

func (r report) accountReport(a *accountStats, p phase) accountReport {
	out := accountReport{
		Account: a.name, Offered: a.offered, Answered: a.answered, Late: a.late, Refused: a.refused,
		Unknown: a.unknown, Wrong: a.wrong, Rate: float64(a.answered) / p.duration.Seconds(),
		P50: percentileMillis(a.latency, 50), P99: percentileMillis(a.latency, 99), P999: percentileMillis(a.latency, 99.9), Max: percentileMillis(a.latency, 100),
	}
	if r.plan.Capacity > 0 {
		out.Goodput = float64(a.answered-a.late) / p.duration.Seconds() / r.plan.Capacity
	}
	return out
}

// percentileMillis returns a percentile of a histogram of microseconds, in milliseconds.
func percentileMillis(h *hdrhistogram.Histogram, percent float64) float64 {
	return float64(h.ValueAtQuantile(percent)) / float64(time.Millisecond/time.Microsecond)
}

// hasViolations reports whether the run found a wrong answer, a non-idempotent request that ran twice, a request that ran
// although it was refused as not run, or an answered request that did not run.
func (r report) hasViolations() bool {
	for _, stats := range r.phases {
		if stats.total().wrong > 0 {
			return true
		}
	}
	return r.verification != nil &&
		(r.verification.RepeatedNonIdempotent > 0 || r.verification.RanThoughRefused > 0 || r.verification.AnsweredWithoutRun > 0)
}

func (r report) writeJSON(w io.Writer) error {
	return json.NewEncoder(w).Encode(struct {
		Seed         uint64        `json:"seed"`
		Phases       []phaseReport `json:"phases"`
		Verification *verification `json:"checks,omitempty"`
	}{r.plan.Seed, r.phaseReports(), r.verification})
}

func (r report) writeTable(w io.Writer) error {
	out := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	for _, p := range r.phaseReports() {
		_, _ = fmt.Fprintf(out, "phase of %.0f requests/s for %.0f s, seed %d, %d unsent, start delay p99 %.1f ms\n",
			p.Rate, p.Seconds, r.plan.Seed, p.Unsent, p.StartDelay)
		_, _ = fmt.Fprintln(out, "account\toffered\tanswered\tlate\trefused\tunknown\twrong\tanswers/s\tgoodput\tp50 ms\tp99 ms\tp99.9 ms\tmax ms\t")
		for _, a := range append(p.Accounts, p.All) {
			_, _ = fmt.Fprintf(out, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%.0f\t%s\t%.1f\t%.1f\t%.1f\t%.1f\t\n", a.Account, a.Offered, a.Answered, a.Late,
				a.Refused, a.Unknown, a.Wrong, a.Rate, formatGoodput(a.Goodput), a.P50, a.P99, a.P999, a.Max)
		}
		if err := out.Flush(); err != nil {
			return err
		}
	}
	if r.verification == nil {
		_, err := fmt.Fprintln(w, "workers were not asked what they served")
		return err
	}
	_, err := fmt.Fprintf(w, "served: %d ran, %d doubled, %d idempotent repeated, %d ran though refused as not run, %d answered without a run\n",
		r.verification.Ran, r.verification.RepeatedNonIdempotent, r.verification.RepeatedIdempotent,
		r.verification.RanThoughRefused, r.verification.AnsweredWithoutRun)
	return err
}

func formatGoodput(goodput float64) string {
	if goodput == 0 {
		return "-"
	}
	return fmt.Sprintf("%.3f", goodput)
}
