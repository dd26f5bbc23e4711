package cell_test

import (
	"fmt"
	"os"
	"regexp"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"plantainfold.example/fold"
	"plantainfold.example/fold/plat"
)

// runsVariable is the environment variable that enables the recovery table. Its value is the number of runs of each fault.
const runsVariable = "PLANTAINFOLD_RECOVERY"

// namesVariable is the environment variable with a regular expression. Only faults whose names match it are run.
const namesVariable = "PLANTAINFOLD_FAULTS"

// recoveryResult is the measured cost of one run of a scenario.
type recoveryResult struct {
	time time.Duration
	// lost is the total run time of runs that did not complete.
	lost time.Duration
	// cut is the number of these runs.
	cut int
	// doubled is the number of tasks that completed twice.
	doubled int
	// peak is the maximum number of commits in one second within 10 s after the reference instant.
	peak int64
}

// Guards against faults and pairs of faults from which the cell does not recover, and against violations of its
// guarantees meanwhile. It prints the table of docs/measurements.md.
func TestRecoveryTable(t *testing.T) {
	runs, err := strconv.Atoi(os.Getenv(runsVariable))
	if err != nil || runs < 1 {
		t.Skipf("recovery table is disabled; set %s to the number of runs", runsVariable)
	}
	names, err := regexp.Compile(os.Getenv(namesVariable))
	if err != nil {
		t.Fatal(err)
	}
	all := faults()
	rows := make([][]recoveryResult, len(all))
	var mu sync.Mutex
	t.Run("runs", func(t *testing.T) {
		for n := range runs {
			t.Run(strconv.Itoa(n), func(t *testing.T) {
				t.Parallel()
				p := startProcesses(t)
				l := newLoad(t, p, wideCores)
				t.Logf("seed %d", n)
				l.begin(uint64(n))
				l.withdraw(t)
				for i, f := range faults() {
					if !names.MatchString(f.name) {
						continue
					}
					r := f.measure(p, l)
					t.Logf("%s: %+v", f.name, r)
					mu.Lock()
					rows[i] = append(rows[i], r)
					mu.Unlock()
				}
				for _, finding := range finish(t, p, l) {
					t.Error(finding)
				}
			})
		}
	})
	for i, f := range all {
		fmt.Println(tableRow(f.name, rows[i]))
	}
}

// tableRow formats one row of the table.
func tableRow(name string, runs []recoveryResult) string {
	if len(runs) == 0 {
		return "| " + name + " | not recovered | | | | |"
	}
	slices.SortFunc(runs, func(a, b recoveryResult) int { return int(a.time - b.time) })
	worst := runs[len(runs)-1]
	var lost time.Duration
	cut, doubled := 0, 0
	var peak int64
	for _, r := range runs {
		lost, cut, doubled, peak = max(lost, r.lost), max(cut, r.cut), max(doubled, r.doubled), max(peak, r.peak)
	}
	median := runs[(len(runs)-1)/2].time
	return fmt.Sprintf("| %s | %.1f s | %.1f s | %d runs, %.1f s | %d | %d |", name, median.Seconds(), worst.time.Seconds(), cut, lost.Seconds(), doubled, peak)
}

// measure runs the scenario and returns its measured cost.
func (s scenario) measure(p *processes, l *load) recoveryResult {
	p.t.Helper()
	begin := now()
	from := s.inject(p)
	resumed, err := p.resumed(l, from)
	if err != nil {
		p.t.Errorf("%s: %v", s.name, err)
	}
	rest := 10*time.Second - now().Sub(from)
	time.Sleep(max(rest, 0))
	r := recoveryResult{time: resumed.Sub(from), peak: p.peakCommits(from)}
	if s.heal != nil {
		s.heal(p)
	}
	p.settled()
	done := make(map[fold.TaskID]int)
	for _, run := range p.runs() {
		switch {
		case run.State == fold.Done:
			done[run.Task]++
			if done[run.Task] == 2 && run.End >= begin {
				r.doubled++
			}
		case run.End >= begin:
			r.cut++
			r.lost += run.End.Sub(run.Begin)
		}
	}
	return r
}

// peakCommits returns the maximum number of commits in one second at the table service within 10 s after an instant.
func (p *processes) peakCommits(from fold.Instant) int64 {
	p.t.Helper()
	var stats plat.Stats
	p.read(p.fleet+"/v1/stats", &stats)
	first := int64(from.Sub(stats.Began) / time.Second)
	return stats.Peak(first, first+10)
}
