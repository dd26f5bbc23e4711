package bench_test

import (
	"fmt"
	"testing"
	"time"

	"plantainfold.example/fold/bench"
)

const seed = 11

// logRow logs one row of a Markdown table of measures.
func logRow(t *testing.T, measure, ours, best, bound string) {
	t.Helper()
	t.Logf("| %s | %s | %s | %s | seed %d |", measure, ours, best, bound, seed)
}

func ms(d time.Duration) string {
	return fmt.Sprintf("%d ms", d.Milliseconds())
}

// Guards against a 99th percentile of waiting times that is more than half of the best plain policy's at 0.8 utilisation.
func TestWaitingTime(t *testing.T) {
	workload := bench.PlanningWorkload(seed, 0.8, 10*time.Minute)
	ours := bench.Run(bench.PoolScheduler(bench.PlanningPolicy), workload)
	got := bench.Quantile(ours.Waits, 0.99)
	best := time.Duration(1 << 62)
	for _, p := range bench.Baselines(seed) {
		r := bench.Run(p, workload)
		q := bench.Quantile(r.Waits, 0.99)
		t.Logf("%s: p50 %s, p99 %s, max %s, urgent p99 %s, packing %.3f", p.Name, ms(bench.Quantile(r.Waits, 0.5)), ms(q),
			ms(bench.Quantile(r.Waits, 1)), ms(bench.Quantile(r.UrgentWaits, 0.99)), r.Packing())
		best = min(best, q)
	}
	t.Logf("ours: p50 %s, max %s, urgent p99 %s max %s, packing %.3f, %d stopped, %.0f core s lost, %d tasks", ms(bench.Quantile(ours.Waits, 0.5)),
		ms(bench.Quantile(ours.Waits, 1)), ms(bench.Quantile(ours.UrgentWaits, 0.99)), ms(bench.Quantile(ours.UrgentWaits, 1)), ours.Packing(), ours.Stopped, ours.LostCoreSeconds, len(ours.Waits))
	logRow(t, "waiting p99", ms(got), ms(best), ms(best/2))
	if 2*got > best {
		t.Errorf("waiting p99 is %s, want at most half of %s", got, best)
	}
}

// Guards against a team whose use deviates from its share by more than 5% in any 30 s, and against packing below 0.95.
func TestSharesAndPacking(t *testing.T) {
	workload := bench.PhotoWorkload(seed, 2*time.Minute)
	ours := bench.Run(bench.PoolScheduler(bench.PhotoPolicy), workload)
	bestShare, bestPacking := 1e9, 0.0
	for _, p := range bench.Baselines(seed) {
		r := bench.Run(p, workload)
		bestShare, bestPacking = min(bestShare, r.ShareError()), max(bestPacking, r.Packing())
		t.Logf("%s: share error %.3f, packing %.3f, p99 %s", p.Name, r.ShareError(), r.Packing(), ms(bench.Quantile(r.Waits, 0.99)))
	}
	t.Logf("%d stopped, %.0f core s lost", ours.Stopped, ours.LostCoreSeconds)
	for _, w := range ours.Windows {
		t.Logf("%v", w)
	}
	logRow(t, "share error", fmt.Sprintf("%.3f", ours.ShareError()), fmt.Sprintf("%.3f", bestShare), "0.050")
	logRow(t, "packing", fmt.Sprintf("%.3f", ours.Packing()), fmt.Sprintf("%.3f", bestPacking), "0.950")
	if ours.ShareError() > 0.05 {
		t.Errorf("a team is off its share by %.3f, want at most 0.05", ours.ShareError())
	}
	if ours.Packing() < 0.95 {
		t.Errorf("packing is %.3f, want at least 0.95", ours.Packing())
	}
}

// Guards against accelerators that stay idle while tasks wait for them, because other tasks fill the CPU and memory of their
// workers.
func TestStrandedAccelerators(t *testing.T) {
	workload := bench.AcceleratorWorkload(seed, 2*time.Minute)
	ours := bench.Run(bench.PoolScheduler(bench.PhotoPolicy), workload)
	best := 1.0
	for _, p := range bench.Baselines(seed) {
		r := bench.Run(p, workload)
		best = min(best, 1-r.AcceleratorUse())
		t.Logf("%s: stranded %.3f", p.Name, 1-r.AcceleratorUse())
	}
	logRow(t, "stranded accelerators", fmt.Sprintf("%.3f", 1-ours.AcceleratorUse()), fmt.Sprintf("%.3f", best), "0.030")
	if 1-ours.AcceleratorUse() > 0.03 {
		t.Errorf("%.3f of the accelerators are stranded, want at most 0.03", 1-ours.AcceleratorUse())
	}
}
