package bench

import (
	"slices"
	"time"

	"plantainfold.example/fold"
)

// shareWindow is the time over which the use of the teams is compared with their shares.
const shareWindow = 30 * time.Second

// Result holds the measurements of one run.
type Result struct {
	Policy string
	// Waits holds the times from arrival to first start of the tasks that arrived after the warm-up, in no order. A task that
	// never started counts as waiting until the end.
	Waits []time.Duration
	// UrgentWaits holds the waits of the urgent tasks among them.
	UrgentWaits []time.Duration
	// WaitsByKind holds the waits by kind of task: urgent, gang, large or batch.
	WaitsByKind map[string][]time.Duration
	// Stopped counts the attempts that the scheduler stopped.
	Stopped int
	// LostCoreSeconds is the processor time that the stopped attempts had reserved.
	LostCoreSeconds float64
	// Windows holds the mean dominant share of each team in consecutive windows of 30 s.
	Windows  []map[string]float64
	capacity fold.Resources
	workload Workload
	// cpuSeconds is the integral of the CPU in use, in thousandths of a core times seconds.
	cpuSeconds float64
	// memorySeconds is the integral of the memory in use, in MiB times seconds.
	memorySeconds float64
	// accelSeconds is the integral of the accelerators in use, in accelerators times seconds.
	accelSeconds float64
}

func newResult(policy string, w Workload) Result {
	r := Result{Policy: policy, workload: w, WaitsByKind: make(map[string][]time.Duration)}
	for _, n := range w.Workers {
		r.capacity = r.capacity.Add(n.Capacity)
	}
	return r
}

// recordStart records the wait of a task, unless it arrived during the warm-up.
func (r *Result) recordStart(a Arrival, at fold.Instant) {
	if a.At < r.workload.WarmupEnd {
		return
	}
	r.recordWait(a, at)
}

func (r *Result) recordWait(a Arrival, at fold.Instant) {
	r.Waits = append(r.Waits, at.Sub(a.At))
	r.WaitsByKind[taskKind(a.Job)] = append(r.WaitsByKind[taskKind(a.Job)], at.Sub(a.At))
	if a.Job.Priority >= fold.UrgentPriority {
		r.UrgentWaits = append(r.UrgentWaits, at.Sub(a.At))
	}
}

// taskKind returns the kind under which WaitsByKind lists the tasks of a job.
func taskKind(j fold.Job) string {
	switch {
	case j.Priority >= fold.UrgentPriority:
		return "urgent"
	case j.Kind == fold.Gang:
		return "gang"
	case j.Resources.CPU >= minLargeCPU:
		return "large"
	default:
		return "batch"
	}
}

// minLargeCPU is the CPU of the smallest large task, in thousandths of a core.
const minLargeCPU = 16_000

// recordUnstarted records the tasks that never started as waiting until the end.
func (r *Result) recordUnstarted(w Workload, started map[fold.TaskID]bool) {
	for _, a := range w.Arrivals {
		for i := range a.Job.Count {
			if a.At >= w.WarmupEnd && a.At < w.End && !started[fold.TaskID{Job: a.Job.ID, Index: i}] {
				r.recordWait(a, w.End)
			}
		}
	}
}

func (r *Result) recordStop(a attempt, at fold.Instant) {
	r.LostCoreSeconds += at.Sub(a.started).Seconds() * float64(a.resources.CPU) / 1000
}

// recordUse records a period in which the use of the teams does not change.
func (r *Result) recordUse(byTeam map[string]fold.Resources, total fold.Resources, from, to fold.Instant) {
	seconds := to.Sub(from).Seconds()
	r.cpuSeconds += float64(total.CPU) * seconds
	r.memorySeconds += float64(total.Memory) * seconds
	r.accelSeconds += float64(total.Accel) * seconds
	for from < to {
		at := int(from.Sub(r.workload.WarmupEnd) / shareWindow)
		until := min(to, r.workload.WarmupEnd.Add(time.Duration(at+1)*shareWindow))
		for len(r.Windows) <= at {
			r.Windows = append(r.Windows, make(map[string]float64))
		}
		for team, use := range byTeam {
			r.Windows[at][team] += use.Dominant(r.capacity) * until.Sub(from).Seconds() / shareWindow.Seconds()
		}
		from = until
	}
}

// Packing returns the mean utilisation of CPU or memory, whichever is higher. It is 1 if that resource is always fully used.
func (r *Result) Packing() float64 {
	seconds := r.workload.End.Sub(r.workload.WarmupEnd).Seconds()
	return max(r.cpuSeconds/float64(r.capacity.CPU), r.memorySeconds/float64(r.capacity.Memory)) / seconds
}

// AcceleratorUse returns the mean utilisation of the accelerators.
func (r *Result) AcceleratorUse() float64 {
	return r.accelSeconds / float64(max(r.capacity.Accel, 1)) / r.workload.End.Sub(r.workload.WarmupEnd).Seconds()
}

// ShareError returns the largest relative deviation, over all windows and teams, of a team's part of the total use from the
// team's share.
func (r *Result) ShareError() float64 {
	total := 0
	for _, t := range r.workload.Teams {
		total += t.Weight
	}
	worst := 0.0
	for _, w := range r.Windows {
		var sum float64
		for _, u := range w {
			sum += u
		}
		for _, t := range r.workload.Teams {
			share := float64(t.Weight) / float64(total)
			deviation := w[t.Name]/sum/share - 1
			worst = max(worst, deviation, -deviation)
		}
	}
	return worst
}

// Quantile returns the q-quantile of the waits, or 0 if there are none.
func Quantile(waits []time.Duration, q float64) time.Duration {
	if len(waits) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(waits))
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}
