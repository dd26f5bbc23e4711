package entry

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// The bounds are the targets of docs/design.md, section 1.3.
const (
	// minGoodput is the minimum goodput under overload, as a fraction of the capacity.
	minGoodput = 0.9
	// maxRecovery is the maximum time from the end of an overload to normal operation.
	maxRecovery = 10 * time.Second
)

const (
	seed  = 7
	warm  = time.Second
	until = 2 * time.Second
)

func (m *model) line(t tally, span time.Duration) string {
	return fmt.Sprintf("goodput %.3f, p50 %3.0f ms, p99 %3.0f ms, refused %.3f, late %d, %.2f sends for each answer",
		goodput(t, span), 1000*t.quantile(0.5), 1000*t.quantile(0.99), float64(t.refused)/float64(t.offered), t.late,
		float64(m.sends)/float64(m.sends-m.full))
}

// goodput is the rate of answers in time, as a fraction of the capacity.
func goodput(t tally, span time.Duration) float64 {
	return float64(t.answered) / span.Seconds() / modelCapacity
}

// Guards against a collapse of goodput under overload, against refusals without overload, and against requests that
// run although they cannot end in time.
func TestGoodputUnderOverload(t *testing.T) {
	for _, times := range []float64{0.5, 0.8, 1, 2, 10} {
		for _, p := range []policy{random, fifo, underTest} {
			m := newModel(p)
			m.offer("crews", times*modelCapacity, 0, until)
			m.run()
			got := m.sum(warm, until)
			t.Logf("load %4.1fx, %-6s: %s", times, p.name, m.line(got, until-warm))
			if p != underTest {
				continue
			}
			if times >= 2 {
				t.Logf("load %4.1fx, goodput %.3f, bound >= %.2f", times, goodput(got, until-warm), minGoodput)
				if goodput(got, until-warm) < minGoodput {
					t.Errorf("seed %d: goodput at %.0fx is below its bound", seed, times)
				}
			}
			if times <= 0.8 && got.refused > 0 {
				t.Errorf("seed %d: %d requests refused at %.1fx", seed, got.refused, times)
			}
			if got.late > 0 {
				t.Errorf("seed %d: %d requests at %.1fx ran past their deadline", seed, got.late, times)
			}
		}
	}
}

// Guards against an overload whose effects last longer than maxRecovery after it ends.
func TestRecoveryAfterOverload(t *testing.T) {
	const end, normal = time.Second, 0.5
	for _, p := range []policy{fifo, underTest} {
		m := newModel(p)
		m.offer("crews", 10*modelCapacity, 0, end)
		m.offer("crews", normal*modelCapacity, end, end+maxRecovery)
		m.run()
		usual := newModel(p)
		usual.offer("crews", normal*modelCapacity, 0, 2*time.Second)
		usual.run()
		limit := 1.1 * usual.sum(warm, 2*time.Second).quantile(0.99)
		took := math.Inf(1)
		for at := end; at < end+maxRecovery-time.Second; at += 100 * time.Millisecond {
			if w := m.sum(at, at+time.Second); w.answered == w.offered && w.quantile(0.99) <= limit {
				took = (at - end).Seconds()
				break
			}
		}
		t.Logf("%-6s: normal %.1f s after a 10x load ended (all answered for 1 s, p99 at most %.0f ms), bound <= %.0f s",
			p.name, took, 1000*limit, maxRecovery.Seconds())
		if p == underTest && took > maxRecovery.Seconds() {
			t.Errorf("seed %d: still not normal after %s", seed, maxRecovery)
		}
	}
}

// Guards against a large account that starves small ones. At twice the capacity, accounts that ask for less than their
// share must get all they ask for.
func TestLargeAccountDoesNotStarveSmall(t *testing.T) {
	small := []string{"small-1", "small-2", "small-3", "small-4", "small-5"}
	for _, p := range []policy{random, fifo, underTest} {
		m := newModel(p)
		m.offer("large", 1.5*modelCapacity, 0, until)
		for _, account := range small {
			m.offer(account, 0.1*modelCapacity, 0, until)
		}
		m.run()
		large := m.byAccount["large"]
		t.Logf("%-6s: large account answered %.3f of its requests", p.name, float64(large.answered)/float64(large.offered))
		for _, account := range small {
			got := m.byAccount[account]
			part := float64(got.answered) / float64(got.offered)
			t.Logf("%-6s: %s answered %.3f (bound of the router >= 0.95), p99 %.0f ms", p.name, account, part, 1000*got.quantile(0.99))
			if p == underTest && part < 0.95 {
				t.Errorf("seed %d: %s is starved", seed, account)
			}
		}
	}
}
