package sched_test

import (
	"fmt"
	"slices"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"plantainfold.example/fold"
	"plantainfold.example/fold/place"
	"plantainfold.example/fold/sched"
)

// modelTask is a task that a model worker runs.
type modelTask struct {
	task         fold.WorkerTask
	stopReceived bool
}

// model drives a pool with random events from workers that behave like those of the platform.
type model struct {
	t       *rapid.T
	pool    *sched.Pool
	now     fold.Instant
	workers []*modelWorker
	jobs    map[string]fold.Job
	// allotments holds the allotment of each team.
	allotments map[string]fold.Resources
}

type modelWorker struct {
	name     string
	capacity fold.Resources
	adopted  bool
	running  map[fold.TaskID]*modelTask
	events   []fold.TaskEvent
	// replyLost is set while the pool has not received the reply to a start.
	replyLost bool
}

func newModel(t *rapid.T) *model {
	m := &model{t: t, pool: sched.New("a0"), jobs: make(map[string]fold.Job), allotments: make(map[string]fold.Resources)}
	for i := range 6 {
		w := &modelWorker{
			name: "w" + strconv.Itoa(i), capacity: fold.Resources{CPU: 8_000, Memory: 16_384, Accel: int64(i % 2)},
			running: make(map[fold.TaskID]*modelTask),
		}
		m.workers = append(m.workers, w)
		m.adopt(w)
	}
	for i := range 3 {
		team := "t" + strconv.Itoa(i)
		m.allotments[team] = fold.Resources{CPU: int64(8_000 * (i + 1)), Memory: 65_536, Accel: 2}
		m.pool.SetTeam(sched.Team{Name: team, Weight: 1 + i, Allotment: m.allotments[team]})
	}
	return m
}

func (m *model) adopt(w *modelWorker) {
	adoption := fold.Adoption{Capacity: w.capacity, Events: slices.Clone(w.events)}
	for _, r := range w.running {
		adoption.Tasks = append(adoption.Tasks, r.task)
	}
	m.pool.Adopt(m.now, place.Worker{Name: w.name, Domain: "a", Rack: "r" + w.name[1:]}, adoption)
	w.adopted, w.replyLost = true, false
}

func (m *model) worker(name string) *modelWorker {
	for _, w := range m.workers {
		if w.name == name {
			return w
		}
	}
	m.t.Fatalf("the pool named an unknown worker %q", name)
	return nil
}

func (m *model) submit() {
	n := len(m.jobs)
	j := fold.Job{
		ID:         "j" + strconv.Itoa(n),
		Team:       "t" + strconv.Itoa(n%3),
		Kind:       rapid.SampledFrom([]fold.Kind{fold.Batch, fold.Batch, fold.Gang, fold.Service}).Draw(m.t, "kind"),
		Count:      rapid.IntRange(1, 5).Draw(m.t, "count"),
		Duration:   rapid.Int64Range(100, 5_000).Draw(m.t, "duration"),
		Priority:   rapid.SampledFrom([]int{0, 0, 5, 100}).Draw(m.t, "priority"),
		Retries:    rapid.IntRange(0, 4).Draw(m.t, "retries"),
		Idempotent: rapid.Bool().Draw(m.t, "idempotent"),
		Accepted:   int64(n),
		Resources: fold.Resources{
			CPU:    rapid.Int64Range(500, 9_000).Draw(m.t, "cpu"),
			Memory: rapid.Int64Range(500, 17_000).Draw(m.t, "memory"),
			Accel:  rapid.SampledFrom([]int64{0, 0, 0, 1}).Draw(m.t, "accel"),
		},
	}
	m.jobs[j.ID] = j
	m.pool.Submit(m.now, j)
}

// decide delivers the starts and stops of one decision. Calls and replies may be lost.
func (m *model) decide() {
	used := make(map[string]fold.Resources)
	for team := range m.allotments {
		used[team] = m.pool.Used(team)
	}
	starts := m.pool.Decide(m.now, 8)
	byGang := make(map[string]int)
	for _, s := range starts {
		j := m.jobs[s.Task.Task.Job]
		if j.Kind == fold.Gang {
			byGang[j.ID]++
		}
		used[j.Team] = used[j.Team].Add(s.Task.Resources)
		if !used[j.Team].Fits(m.allotments[j.Team]) {
			m.t.Fatalf("team %s was started up to %s, above its allotment", j.Team, used[j.Team])
		}
	}
	for id, n := range byGang {
		if s, _ := m.pool.Job(id); s.Waiting != 0 {
			m.t.Fatalf("%d tasks of gang %s started and %d wait", n, id, s.Waiting)
		}
	}
	for _, s := range starts {
		m.deliverStart(s)
	}
	for _, s := range m.pool.Stops() {
		if r, ok := m.worker(s.Worker).running[s.Task]; ok && rapid.IntRange(0, 3).Draw(m.t, "stop arrives") > 0 {
			r.stopReceived = true
		}
	}
}

func (m *model) deliverStart(s sched.Start) {
	w := m.worker(s.Worker)
	for _, other := range m.workers {
		if r, ok := other.running[s.Task.Task]; ok {
			m.t.Fatalf("task %s starts as attempt %d on %s and runs as attempt %d on %s",
				s.Task.Task, s.Task.Attempt, w.name, r.task.Attempt, other.name)
		}
	}
	fate := rapid.IntRange(0, 9).Draw(m.t, "start")
	if w.replyLost || fate == 0 {
		// The call is lost.
		w.replyLost = true
		return
	}
	var used fold.Resources
	for _, r := range w.running {
		used = used.Add(r.task.Resources)
	}
	if !used.Add(s.Task.Resources).Fits(w.capacity) {
		m.t.Fatalf("task %s of %s starts on %s, which runs %s of %s", s.Task.Task, s.Task.Resources, w.name, used, w.capacity)
	}
	if fate == 1 {
		m.pool.Confirm(w.name, []fold.StartResult{{Task: s.Task.Task, Started: false, Reason: "refused"}})
		return
	}
	w.running[s.Task.Task] = &modelTask{task: s.Task}
	if fate == 2 {
		// The reply is lost.
		w.replyLost = true
		return
	}
	m.pool.Confirm(w.name, []fold.StartResult{{Task: s.Task.Task, Started: true}})
}

// endRandomTask ends a random task of a worker.
func (m *model) endRandomTask(w *modelWorker) {
	ids := make([]fold.TaskID, 0, len(w.running))
	for id := range w.running {
		ids = append(ids, id)
	}
	if len(ids) == 0 {
		return
	}
	slices.SortFunc(ids, func(a, b fold.TaskID) int { return cmpString(a.String(), b.String()) })
	m.endTask(w, rapid.SampledFrom(ids).Draw(m.t, "ends"), rapid.SampledFrom([]fold.Outcome{fold.Done, fold.Done, fold.Failed}).Draw(m.t, "outcome"))
}

func cmpString(a, b string) int {
	if a < b {
		return -1
	}
	return 1
}

func (m *model) endTask(w *modelWorker, id fold.TaskID, state fold.Outcome) {
	r := w.running[id]
	delete(w.running, id)
	if r.stopReceived {
		state = fold.Stopped
	}
	w.events = append(w.events, fold.TaskEvent{Sequence: int64(len(w.events) + 1), Task: id, Attempt: r.task.Attempt, State: state, Ran: r.task.Duration})
}

// loseWorker ends all tasks of a worker that the pool cannot reach, then removes the worker from the pool.
func (m *model) loseWorker(w *modelWorker) {
	w.adopted = false
	ids := make([]fold.TaskID, 0, len(w.running))
	for id := range w.running {
		ids = append(ids, id)
	}
	for _, id := range ids {
		m.endTask(w, id, fold.Stopped)
	}
	m.pool.RemoveWorker(w.name)
}

func (m *model) step() {
	w := m.workers[rapid.IntRange(0, len(m.workers)-1).Draw(m.t, "worker")]
	switch rapid.IntRange(0, 11).Draw(m.t, "step") {
	case 0, 1, 2:
		m.submit()
	case 3, 4:
		m.endRandomTask(w)
	case 5, 6:
		if w.adopted && !w.replyLost {
			m.pool.Observe(m.now, w.name, w.events)
		}
	case 7:
		if w.adopted {
			m.adopt(w)
		}
	case 8:
		m.loseWorker(w)
	case 9:
		m.adopt(w)
	case 10:
		if len(m.jobs) > 0 {
			m.pool.Cancel("j" + strconv.Itoa(rapid.IntRange(0, len(m.jobs)-1).Draw(m.t, "job")))
		}
	case 11:
		for _, c := range m.pool.Changes(2) {
			m.pool.Forget(c.Status.Job.ID)
		}
	}
	m.now = m.now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(m.t, "wait")) * time.Millisecond)
	m.decide()
	m.checkInvariants()
}

// checkInvariants checks that the counts of the pool agree with each other.
func (m *model) checkInvariants() {
	var used, running fold.Resources
	waiting, active := 0, 0
	for id, j := range m.jobs {
		s, ok := m.pool.Job(id)
		if !ok {
			continue
		}
		if s.Waiting+s.Running+s.Done+s.Failed+s.Unknown != j.Count {
			m.t.Fatalf("job %s of %d tasks counts %+v", id, j.Count, s)
		}
		active += s.Running
		running = running.Add(j.Resources.Times(int64(s.Running)))
		if s.State != fold.Cancelled && s.State != fold.Parked {
			waiting += s.Waiting
		}
	}
	for team := range m.allotments {
		used = used.Add(m.pool.Used(team))
	}
	s := m.pool.Status()
	if used != running || s.Running != active {
		m.t.Fatalf("teams use %s and %d tasks run; jobs run %s in %d tasks", used, s.Running, running, active)
	}
	if !used.Fits(s.Used) {
		m.t.Fatalf("workers hold %s, less than the %s that teams use", s.Used, used)
	}
	if s.Waiting > waiting {
		m.t.Fatalf("%d tasks wait, at most %d of jobs that may start", s.Waiting, waiting)
	}
}

// Guards against a worker committed beyond its capacity, a task that runs twice, a team above its allotment, a gang that
// starts in part and counts that disagree, under random events, lost replies and workers that are lost and return.
func TestInvariantsUnderRandomEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			m.step()
		}
	})
}

// Guards against jobs that are stuck. Once all workers are reachable and nothing fails, every job must end or never fit.
func TestWorkEndsOnceFaultsEnd(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			m.step()
		}
		for range 400 {
			for _, w := range m.workers {
				m.adopt(w)
				for id := range w.running {
					if j := m.jobs[id.Job]; j.Kind != fold.Service || w.running[id].stopReceived {
						m.endTask(w, id, fold.Done)
					}
				}
				m.pool.Observe(m.now, w.name, w.events)
			}
			m.now = m.now.Add(time.Second)
			m.decideReliably()
		}
		for id, j := range m.jobs {
			if j.Kind == fold.Service {
				continue
			}
			s, ok := m.pool.Job(id)
			if !ok || s.State.Ended() || s.State == fold.Parked {
				continue
			}
			if e, _ := m.pool.Explain(id); !fits(j, m) {
				continue
			} else if serviceActive(m) {
				continue
			} else {
				t.Fatalf("job %+v is %s after faults ended: %s", j, s.State, fmt.Sprint(e))
			}
		}
	})
}

func (m *model) decideReliably() {
	for _, s := range m.pool.Decide(m.now, 64) {
		m.worker(s.Worker).running[s.Task.Task] = &modelTask{task: s.Task}
		m.pool.Confirm(s.Worker, []fold.StartResult{{Task: s.Task.Task, Started: true}})
	}
	for _, s := range m.pool.Stops() {
		if r, ok := m.worker(s.Worker).running[s.Task]; ok {
			r.stopReceived = true
		}
	}
}

// fits reports whether the job fits the idle workers and its team's allotment.
func fits(j fold.Job, m *model) bool {
	count := int64(1)
	if j.Kind == fold.Gang {
		count = int64(j.Count)
	}
	if _, never := m.pool.NeverFits(j); never {
		return false
	}
	return j.Resources.Times(count).Fits(m.allotments[j.Team])
}

// serviceActive reports whether a service job has not ended, whose capacity other jobs may wait for without end.
func serviceActive(m *model) bool {
	for id, j := range m.jobs {
		if s, ok := m.pool.Job(id); ok && j.Kind == fold.Service && !s.State.Ended() {
			return true
		}
	}
	return false
}
