package bench_test

import (
	"fmt"
	"testing"
	"time"

	"plantainfold.example/fold/bench"
)

const seed = 11

// row prints one line of the table of measures.
func row(t *testing.T, measure, ours, best, bound string) {
	t.Helper()
	t.Logf("| %s | %s | %s | %s | seed %d |", measure, ours, best, bound, seed)
}

func ms(d time.Duration) string {
	return fmt.Sprintf("%d ms", d.Milliseconds())
}

// Guards against waiting times at 0.8 utilisation above half of the best plain policy's.
func TestWaitingTime(t *testing.T) {
	load := bench.Centinela(seed, 0.8, 10*time.Minute)
	ours := bench.Run(bench.Ours(bench.CentinelaPolicy), load)
	got := bench.Quantile(ours.Waits, 0.99)
	best := time.Duration(1 << 62)
	for _, p := range bench.Baselines(seed) {
		r := bench.Run(p, load)
		q := bench.Quantile(r.Waits, 0.99)
		t.Logf("%s: p50 %s, p99 %s, max %s, urgent p99 %s, packing %.3f", p.Name, ms(bench.Quantile(r.Waits, 0.5)), ms(q),
			ms(bench.Quantile(r.Waits, 1)), ms(bench.Quantile(r.Urgent, 0.99)), r.Packing())
		best = min(best, q)
	}
	t.Logf("ours: p50 %s, max %s, urgent p99 %s max %s, packing %.3f, %d stopped, %.0f core s lost, %d tasks", ms(bench.Quantile(ours.Waits, 0.5)),
		ms(bench.Quantile(ours.Waits, 1)), ms(bench.Quantile(ours.Urgent, 0.99)), ms(bench.Quantile(ours.Urgent, 1)), ours.Packing(), ours.Stopped, ours.Lost, len(ours.Waits))
	row(t, "waiting p99", ms(got), ms(best), ms(best/2))
	if 2*got > best {
		t.Errorf("waiting p99 is %s, want at most half of %s", got, best)
	}
}

// Guards against use that is off the teams' shares by more than 5% in any 30 s, and packing below 0.95.
func TestSharesAndPacking(t *testing.T) {
	load := bench.KerRoz(seed, 2*time.Minute)
	ours := bench.Run(bench.Ours(bench.KerRozPolicy), load)
	bestShare, bestPacking := 1e9, 0.0
	for _, p := range bench.Baselines(seed) {
		r := bench.Run(p, load)
		bestShare, bestPacking = min(bestShare, r.ShareError()), max(bestPacking, r.Packing())
		t.Logf("%s: share error %.3f, packing %.3f, p99 %s", p.Name, r.ShareError(), r.Packing(), ms(bench.Quantile(r.Waits, 0.99)))
	}
	t.Logf("%d stopped, %.0f core s lost", ours.Stopped, ours.Lost)
	for _, w := range ours.Windows {
		t.Logf("%v", w)
	}
	row(t, "share error", fmt.Sprintf("%.3f", ours.ShareError()), fmt.Sprintf("%.3f", bestShare), "0.050")
	row(t, "packing", fmt.Sprintf("%.3f", ours.Packing()), fmt.Sprintf("%.3f", bestPacking), "0.950")
	if ours.ShareError() > 0.05 {
		t.Errorf("a team is off its share by %.3f, want at most 0.05", ours.ShareError())
	}
	if ours.Packing() < 0.95 {
		t.Errorf("packing is %.3f, want at least 0.95", ours.Packing())
	}
}

// Guards against accelerators that idle while work waits for them, because other work fills their workers.
func TestStrandedAccelerators(t *testing.T) {
	load := bench.Accelerated(seed, 2*time.Minute)
	ours := bench.Run(bench.Ours(bench.KerRozPolicy), load)
	best := 1.0
	for _, p := range bench.Baselines(seed) {
		r := bench.Run(p, load)
		best = min(best, 1-r.Accel())
		t.Logf("%s: stranded %.3f", p.Name, 1-r.Accel())
	}
	row(t, "stranded accelerators", fmt.Sprintf("%.3f", 1-ours.Accel()), fmt.Sprintf("%.3f", best), "0.030")
	if 1-ours.Accel() > 0.03 {
		t.Errorf("%.3f of the accelerators are stranded, want at most 0.03", 1-ours.Accel())
	}
}
