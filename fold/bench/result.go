package bench

import (
	"slices"
	"time"

	"plantainfold.example/fold"
)

// window is the time over which shares are compared.
const window = 30 * time.Second

// Result is what one run measured.
type Result struct {
	Policy string
	// Waits are the times from arrival to first start of the tasks that arrived in the measured time, sorted once asked.
	Waits []time.Duration
	// Urgent are the waits of urgent tasks among them.
	Urgent []time.Duration
	// Kinds are the waits by kind of work: urgent, gang, large or batch.
	Kinds map[string][]time.Duration
	// Stopped counts stopped attempts; Lost is the processor time, in core seconds, that they had run.
	Stopped int
	Lost    float64
	// Windows holds the mean use of each team in consecutive times of 30 s.
	Windows  []map[string]float64
	capacity fold.Resources
	load     Load
	// cpu, memory and accel are sums of use times seconds.
	cpu    float64
	memory float64
	accel  float64
}

func newResult(policy string, l Load) Result {
	r := Result{Policy: policy, load: l, Kinds: make(map[string][]time.Duration)}
	for _, n := range l.Nodes {
		r.capacity = r.capacity.Add(n.Capacity)
	}
	return r
}

func (r *Result) started(a Arrival, at fold.Instant) {
	if a.At < r.load.Warm {
		return
	}
	r.wait(a, at)
}

func (r *Result) wait(a Arrival, at fold.Instant) {
	r.Waits = append(r.Waits, at.Sub(a.At))
	r.Kinds[kindOf(a.Job)] = append(r.Kinds[kindOf(a.Job)], at.Sub(a.At))
	if a.Job.Priority >= fold.UrgentPriority {
		r.Urgent = append(r.Urgent, at.Sub(a.At))
	}
}

// kindOf names the sort of work for tables of waiting times.
func kindOf(j fold.Job) string {
	switch {
	case j.Priority >= fold.UrgentPriority:
		return "urgent"
	case j.Kind == fold.Gang:
		return "gang"
	case j.Resources.CPU >= largeCPU:
		return "large"
	default:
		return "batch"
	}
}

// largeCPU is the size from which a task counts as large, in thousandths of a core.
const largeCPU = 16_000

// unstarted counts the tasks that never started as waiting until the end.
func (r *Result) unstarted(l Load, seen map[fold.TaskID]bool) {
	for _, a := range l.Arrivals {
		for i := range a.Job.Count {
			if a.At >= l.Warm && a.At < l.End && !seen[fold.TaskID{Job: a.Job.ID, Index: i}] {
				r.wait(a, l.End)
			}
		}
	}
}

func (r *Result) lost(a attempt, at fold.Instant) {
	r.Lost += at.Sub(a.begin).Seconds() * float64(a.size.CPU) / 1000
}

// hold adds a time in which the use does not change.
func (r *Result) hold(used map[string]fold.Resources, total fold.Resources, from, to fold.Instant) {
	seconds := to.Sub(from).Seconds()
	r.cpu += float64(total.CPU) * seconds
	r.memory += float64(total.Memory) * seconds
	r.accel += float64(total.Accel) * seconds
	for from < to {
		at := int(from.Sub(r.load.Warm) / window)
		until := min(to, r.load.Warm.Add(time.Duration(at+1)*window))
		for len(r.Windows) <= at {
			r.Windows = append(r.Windows, make(map[string]float64))
		}
		for team, u := range used {
			r.Windows[at][team] += u.Dominant(r.capacity) * until.Sub(from).Seconds() / window.Seconds()
		}
		from = until
	}
}

// Packing is the mean used part of the scarcest resource, which is 1 at the volume bound.
func (r *Result) Packing() float64 {
	seconds := r.load.End.Sub(r.load.Warm).Seconds()
	return max(r.cpu/float64(r.capacity.CPU), r.memory/float64(r.capacity.Memory)) / seconds
}

// Accel is the mean used part of the accelerators.
func (r *Result) Accel() float64 {
	return r.accel / float64(max(r.capacity.Accel, 1)) / r.load.End.Sub(r.load.Warm).Seconds()
}

// ShareError is the greatest part by which the use of a team was off its share of what all teams used, in any window.
func (r *Result) ShareError() float64 {
	total := 0
	for _, t := range r.load.Teams {
		total += t.Weight
	}
	worst := 0.0
	for _, w := range r.Windows {
		var sum float64
		for _, u := range w {
			sum += u
		}
		for _, t := range r.load.Teams {
			share := float64(t.Weight) / float64(total)
			off := w[t.Name]/sum/share - 1
			worst = max(worst, off, -off)
		}
	}
	return worst
}

// Quantile returns the q-th quantile of waits.
func Quantile(waits []time.Duration, q float64) time.Duration {
	if len(waits) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(waits))
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}
