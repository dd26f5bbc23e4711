package main

import (
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"
)

// stepSpec is a step as its client describes it, and how its tasks behave.
type stepSpec struct {
	Count         int    `json:"count"`
	CPU           int64  `json:"cpu,omitempty"`
	Mem           int64  `json:"mem_mb,omitempty"`
	GPU           int64  `json:"gpu,omitempty"`
	EstimateMs    int64  `json:"estimate_ms,omitempty"`
	After         []int  `json:"after,omitempty"`
	Checkpointing bool   `json:"checkpointing,omitempty"`
	Gang          bool   `json:"gang,omitempty"`
	SameRack      bool   `json:"same_rack,omitempty"`
	Requirements  string `json:"requirements,omitempty"`
	Affinity      string `json:"affinity,omitempty"`
	AntiAffinity  int    `json:"anti_affinity,omitempty"`
	Speculative   bool   `json:"speculative,omitempty"`
	LongRunning   bool   `json:"long_running,omitempty"`
	Image         string `json:"image,omitempty"`

	// took is how long a task works. failures is how many first runs of a task fail.
	took     time.Duration
	failures int
}

// jobSpec is a job as its client submits it.
type jobSpec struct {
	Spec        string     `json:"spec"`
	Steps       []stepSpec `json:"steps"`
	RepeatCount int        `json:"repeat_count,omitempty"`
	StartAtMs   int64      `json:"start_at_ms,omitempty"`
	IntervalMs  int64      `json:"interval_ms,omitempty"`

	id       string
	queue    *queueInfo
	tenant   string
	key      string
	attempts int
}

func (j *jobSpec) times() int { return max(1, j.RepeatCount) }

// runInfo is one run of a task on a worker.
type runInfo struct {
	task     string
	name     taskName
	job      *jobSpec
	step     *stepSpec
	worker   *worker
	born     int64
	run      int
	begun    time.Time // when the order was carried out
	working  time.Time // when the work began
	base     time.Duration
	saved    string
	stopAt   time.Time
	stopping bool
	ended    time.Time
	how      string
	number   int64 // of the end
	noted    time.Time
	// lapsed reports whether the lease of the worker lapsed, or the worker was lost, before the end was taken note of.
	lapsed bool
	// after reports whether all earlier steps were done at the start.
	percent int
}

type taskName struct {
	job           string
	k, step, task int
}

func parseTask(s string) (taskName, bool) {
	p := strings.Split(s, ".")
	if len(p) != 4 {
		return taskName{}, false
	}
	k, e1 := strconv.Atoi(p[1])
	st, e2 := strconv.Atoi(p[2])
	i, e3 := strconv.Atoi(p[3])
	return taskName{p[0], k, st, i}, e1 == nil && e2 == nil && e3 == nil
}

// world holds all workers, jobs and runs, and checks the rules.
type world struct {
	mu      sync.Mutex
	rec     *recorder
	store   *store
	workers []*worker
	jobs    map[string]*jobSpec
	// runs holds all runs by task.
	runs map[string][]*runInfo
	// saves holds the tasks (or gangs) whose checkpoints the texts are, and the work that they hold.
	saves     map[string]saveInfo
	saveCount int
	breaks    []string
	starts    int
}

type saveInfo struct {
	owner string
	work  time.Duration
}

func newWorld(rec *recorder, s *store) *world {
	w := &world{rec: rec, store: s, jobs: map[string]*jobSpec{}, runs: map[string][]*runInfo{}, saves: map[string]saveInfo{}}
	go w.tick()
	return w
}

func (w *world) broken(rule, format string, args ...any) {
	text := rule + ": " + fmt.Sprintf(format, args...)
	w.breaks = append(w.breaks, text)
	w.rec.add("BROKEN %s", text)
}

func (w *world) tick() {
	for {
		time.Sleep(5 * time.Millisecond)
		w.mu.Lock()
		now := time.Now()
		for _, x := range w.workers {
			if x.up {
				x.tick(now)
			}
		}
		w.mu.Unlock()
	}
}

// saveOwner is the name under which a checkpoint may be used: that of the task, or of the gang.
func (r *runInfo) saveOwner() string {
	if r.step.Gang {
		return fmt.Sprintf("%s.%d.%d", r.name.job, r.name.k, r.name.step)
	}
	return r.task
}

func (w *world) save(r *runInfo, work time.Duration) {
	w.saveCount++
	text := fmt.Sprintf("%08x%s", w.saveCount, r.name.job[:6])
	w.saves[text] = saveInfo{r.saveOwner(), work}
	r.saved = text
}

// checkStart checks an order to start that a worker carries out.
func (w *world) checkStart(x *worker, task, spec, saved string, run int) (*runInfo, string) {
	name, ok := parseTask(task)
	job := w.jobs[name.job]
	if !ok || job == nil || name.k >= job.times() || name.step >= len(job.Steps) || name.task >= job.Steps[name.step].Count {
		w.broken("UNASKED", "start of %s that no client sent", task)
		return nil, "unknown"
	}
	st := &job.Steps[name.step]
	r := &runInfo{task: task, name: name, job: job, step: st, worker: x, born: x.born, run: run, begun: time.Now()}
	if spec != job.Spec {
		w.broken("UNASKED", "start of %s with another spec (%d bytes instead of %d)", task, len(spec), len(job.Spec))
	}
	if saved != "" {
		s, ok := w.saves[saved]
		if !ok || s.owner != r.saveOwner() {
			w.broken("UNASKED", "start of %s run %d with a checkpoint %q that is not the task's", task, run, saved)
		}
		r.base, r.saved = s.work, saved
	}
	for _, a := range st.After {
		for i := range job.Steps[a].Count {
			if !w.done(fmt.Sprintf("%s.%d.%d.%d", name.job, name.k, a, i)) && !(job.Steps[a].Gang && w.gangDone(name.job, name.k, a)) {
				w.broken("ORDER", "start of %s run %d before step %d is done", task, run, a)
				break
			}
		}
	}
	if job.RepeatCount > 0 {
		due := job.StartAtMs + int64(name.k)*job.IntervalMs
		if early := due - time.Now().UnixMilli(); early > 250 {
			w.broken("ORDER", "start of %s run %d %d ms early", task, run, early)
		}
	}
	if st.Requirements != "" && st.Requirements != x.kind && st.Requirements != x.rack {
		w.broken("ROUTE", "start of %s on %s without the label %s", task, x.id, st.Requirements)
	}
	if job.queue.service != x.service {
		w.broken("ROUTE", "start of %s on %s of service %s", task, x.id, x.service)
	}
	if st.AntiAffinity > 0 {
		n := 1
		for _, o := range x.running {
			if o.name.job == name.job && o.name.k == name.k && o.name.step == name.step {
				n++
			}
		}
		if n > st.AntiAffinity {
			w.broken("ROUTE", "start of %s: %d tasks of the step on %s, at most %d", task, n, x.id, st.AntiAffinity)
		}
	}
	cpu, mem, gpu := st.CPU, st.Mem, st.GPU
	for _, o := range x.running {
		cpu, mem, gpu = cpu+o.step.CPU, mem+o.step.Mem, gpu+o.step.GPU
	}
	if cpu > x.cpu || mem > x.mem || gpu > x.gpu {
		w.broken("LIMIT", "start of %s brings %s over its capacity: cpu %d of %d, memory %d of %d", task, x.id, cpu, x.cpu, mem, x.mem)
	}
	failed := 0
	for _, o := range w.runs[task] {
		if o.how == "failed" && !o.lapsed {
			failed++
		}
		if st.Speculative {
			continue
		}
		if o.how == "" && o.worker.up && o.worker.born == o.born {
			w.broken("TWICE", "start of %s run %d on %s while run %d works on %s", task, run, x.id, o.run, o.worker.id)
		}
		if o.how == "done" && !st.LongRunning && !o.noted.IsZero() && !o.lapsed {
			w.broken("TWICE", "start of %s run %d on %s, %v after run %d ended done on %s and was taken note of", task, run, x.id, time.Since(o.ended).Round(time.Millisecond), o.run, o.worker.id)
		}
	}
	w.runs[task] = append(w.runs[task], r)
	w.starts++
	w.rec.add("start %s run %d on %s saved %q", task, run, x.id, saved)
	return r, ""
}

func (w *world) done(task string) bool {
	for _, r := range w.runs[task] {
		if r.how == "done" {
			return true
		}
	}
	return false
}

func (w *world) gangDone(job string, k, step int) bool {
	for i := range w.jobs[job].Steps[step].Count {
		if w.done(fmt.Sprintf("%s.%d.%d.%d", job, k, step, i)) {
			return true
		}
	}
	return false
}

// jobDone reports whether all tasks of the job have ended done.
func (w *world) jobDone(j *jobSpec) (bool, string) {
	for k := range j.times() {
		for s := range j.Steps {
			if j.Steps[s].Gang {
				if !w.gangDone(j.id, k, s) {
					return false, fmt.Sprintf("%s.%d.%d", j.id, k, s)
				}
				continue
			}
			for i := range j.Steps[s].Count {
				task := fmt.Sprintf("%s.%d.%d.%d", j.id, k, s, i)
				if !w.done(task) {
					return false, task
				}
			}
		}
	}
	return true, ""
}

// maxFailed returns the highest number of failed runs of a task (or gang) of the job.
func (w *world) maxFailed(j *jobSpec) int {
	most := 0
	for k := range j.times() {
		for s := range j.Steps {
			gang := map[int]bool{}
			for i := range j.Steps[s].Count {
				n := 0
				for _, r := range w.runs[fmt.Sprintf("%s.%d.%d.%d", j.id, k, s, i)] {
					if r.how == "failed" {
						n++
						gang[r.run] = true
					}
				}
				if !j.Steps[s].Gang {
					most = max(most, n)
				}
			}
			if j.Steps[s].Gang {
				most = max(most, len(gang))
			}
		}
	}
	return most
}

// checkLate finds starts after an end that was taken note of later than the start.
func (w *world) checkLate() {
	for task, runs := range w.runs {
		for _, d := range runs {
			if d.how != "done" || d.step.Speculative || d.step.LongRunning || d.noted.IsZero() || d.lapsed {
				continue
			}
			for _, o := range runs {
				if o != d && o.begun.After(d.ended) && o.begun.Before(d.noted) {
					w.broken("TWICE", "run %d of %s started after run %d had ended done, which was taken note of later", o.run, task, d.run)
				}
			}
		}
	}
}
