package model

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/hashicorp/go-hclog"

	"plantainfold.example/fold"
	"plantainfold.example/fold/core"
	"plantainfold.example/fold/flow"
	"plantainfold.example/fold/lease"
)

// Moment is a moment of a round of decisions at which an owner is lost.
type Moment int

// These are the moments of a round.
const (
	// AfterReports is after the reports of the hosts; what they changed is not recorded.
	AfterReports Moment = iota
	// AfterRecords is after the records were written; starts and acknowledgements are not sent.
	AfterRecords
	// AfterOrders is after the orders were sent; their answers are lost.
	AfterOrders
	// Moments counts them.
	Moments
)

// Takeover tells when an owner is lost and the next one takes over.
type Takeover struct {
	Round int
	At    Moment
}

const (
	successionRound = 100 * time.Millisecond
	// successionLimit is the number of rounds within which all jobs must end. Quarantines take up to 12 s.
	successionLimit = 900
	successionLease = 6 * time.Second
	// runRounds is the duration of a run.
	runRounds = 5
	// gangRounds is how long a member of a gang waits for the others.
	gangRounds = 30
)

// PlaySuccession plays a few jobs, drawn from the seed, on hosts of which some do not answer for a while and start again, and replaces
// the owner at the takeovers. The number of runs of each task that fail is drawn too, so what callers see at the end must not depend on the
// takeovers. It returns a line for each job, with its state and, if it completed, the runs of each task that ended by themselves,
// and a line for each violation.
func PlaySuccession(seed uint64, takeovers []Takeover) (seen, violations []string) {
	s := newSuccession(seed)
	for s.round = 0; s.round < successionLimit && !s.finished(); s.round++ {
		s.play(takeovers)
	}
	for _, j := range s.jobs {
		seen = append(seen, s.describe(j))
	}
	return seen, s.violations
}

// succession simulates hosts and the records of jobs. It needs neither links nor leases: no order or report is late.
type succession struct {
	cell    *core.Cell
	now     fold.Instant
	wall    int64
	round   int
	hosts   []*successionHost
	jobs    []*successionJob
	tasks   map[string]*successionTask
	records map[string]flow.Record
	// violations lists rounds in which the count of waiting jobs was too low.
	violations []string
}

// successionJob is a job and what the hosts know of it.
type successionJob struct {
	spec flow.Job
	// begun reports whether a host has begun a run of the job.
	begun bool
}

// successionTask is a task, or a gang.
type successionTask struct {
	job  *successionJob
	step *flow.Step
	// toFail is the number of the next runs that fail. failed and done count the runs that have ended by themselves.
	toFail, failed, done int
}

// successionRun is a run on a host.
type successionRun struct {
	req  fold.StartRequest
	task *successionTask
	// began is the round in which the run started, and working the one in which all members of its gang were there, or 0.
	began, working int
}

// successionHost is a host and what it has to report.
type successionHost struct {
	info fold.Host
	// silentFrom and silentUntil are the rounds between which neither orders nor reports pass.
	silentFrom, silentUntil int
	// restartAfter is the round after which the host starts again, once all its ends are acknowledged. An end that is lost
	// with its host may count or not.
	restartAfter int
	runs         []*successionRun
	ends         []fold.HostEnd
	lastEnd      int64
	// highest holds the highest run that was stopped or has ended, by task.
	highest map[string]int
}

func newSuccession(seed uint64) *succession {
	random := rand.New(rand.NewPCG(seed, 7))
	s := &succession{now: fold.Instant(time.Hour), wall: 1e9, tasks: make(map[string]*successionTask), records: make(map[string]flow.Record)}
	s.drawHosts(random)
	s.drawJobs(random)
	s.takeOver()
	for _, j := range s.jobs {
		s.cell.AddJob(j.spec, 1)
	}
	return s
}

// drawHosts adds the hosts. The first one neither falls silent nor starts again.
func (s *succession) drawHosts(random *rand.Rand) {
	const hosts = 4
	for n := range hosts {
		id := fmt.Sprintf("host-%d", n)
		h := &successionHost{info: fold.Host{ID: id, Address: id, Incarnation: 1, Service: "pool", Capacity: fold.Resources{CPU: 4000, Memory: 4000}}, highest: make(map[string]int)}
		if n > 0 {
			h.silentFrom = random.IntN(20)
			h.silentUntil = h.silentFrom + random.IntN(40)
			h.restartAfter = random.IntN(60)
		}
		s.hosts = append(s.hosts, h)
	}
}

// drawJobs adds the jobs, and for each task or gang how many of its runs fail.
func (s *succession) drawJobs(random *rand.Rand) {
	const jobs = 6
	for n := range jobs {
		steps := make([]flow.Step, 1+random.IntN(2))
		for i := range steps {
			steps[i] = flow.Step{Count: 1 + random.IntN(3), Size: fold.Resources{CPU: 1000, Memory: 10}, Estimate: 500, Gang: random.IntN(2) == 0, PerHost: 1}
			if i > 0 {
				steps[i].After = []int{i - 1}
			}
		}
		q := fold.Queue{Name: "q", Service: "pool", Attempts: 2 + random.IntN(2), SlackFactor: 2, Target: time.Second}
		j := &successionJob{spec: flow.Job{ID: fmt.Sprintf("%016x", n), Team: "crews", Queue: q, Steps: steps, Accepted: s.wall}}
		for i := range steps {
			gang := &successionTask{job: j, step: &steps[i], toFail: random.IntN(3)}
			for k := range steps[i].Count {
				t := gang
				if !steps[i].Gang {
					t = &successionTask{job: j, step: &steps[i], toFail: random.IntN(3)}
				}
				s.tasks[flow.TaskName{Job: j.spec.ID, Step: i, Index: k}.String()] = t
			}
		}
		s.jobs = append(s.jobs, j)
	}
}

// takeOver replaces the owner by one that knows the records only.
func (s *succession) takeOver() {
	s.cell = core.New(core.Times{Lease: successionLease, Stop: 900 * time.Millisecond, RenewWithoutTable: 4 * time.Second}, hclog.NewNullLogger())
	s.cell.SetTime(s.now, s.wall)
	for _, j := range s.jobs {
		if rec := s.records[j.spec.ID]; !rec.State.Final() || len(rec.Parts) > 0 {
			s.cell.RestoreJob(j.spec, rec)
		}
	}
	s.listHosts()
}

// listHosts passes the roster to the owner.
func (s *succession) listHosts() {
	infos := make([]fold.Host, len(s.hosts))
	for i, h := range s.hosts {
		infos[i] = h.info
	}
	s.cell.SetHosts(infos)
}

// restartHosts starts the hosts again that are due. Their runs are lost.
func (s *succession) restartHosts() {
	for _, h := range s.hosts {
		if h.restartAfter == 0 || s.round <= h.restartAfter || !s.answers(h) || len(h.ends) > 0 {
			continue
		}
		h.restartAfter, h.runs, h.lastEnd, h.highest = 0, nil, 0, make(map[string]int)
		h.info.Incarnation++
		s.listHosts()
	}
}

// play plays a round: hosts report, the owner decides and records, and the hosts carry out its orders.
func (s *succession) play(takeovers []Takeover) {
	lost := func(at Moment) bool {
		if !slices.Contains(takeovers, Takeover{Round: s.round, At: at}) {
			return false
		}
		s.takeOver()
		return true
	}
	s.now, s.wall = s.now.Add(successionRound), s.wall+successionRound.Milliseconds()
	s.cell.SetTime(s.now, s.wall)
	s.endRuns()
	s.restartHosts()
	for _, h := range s.hosts {
		if s.answers(h) {
			s.cell.ApplyReport(h.info.ID, s.now, h.report(s.wall), lease.MaxDuration(successionLease))
		}
	}
	s.checkWaiting()
	if lost(AfterReports) {
		return
	}
	s.cell.Decide()
	orders := s.cell.Orders()
	writes := s.cell.Snapshot()
	for _, w := range writes {
		s.records[w.Job] = w.Record
	}
	if lost(AfterRecords) {
		return
	}
	s.cell.SnapshotRecorded(writes)
	recorded := s.cell.Orders()
	orders.Starts, orders.Stops, orders.Acks = append(orders.Starts, recorded.Starts...), append(orders.Stops, recorded.Stops...), append(orders.Acks, recorded.Acks...)
	starts, stops := s.carryOut(orders)
	if lost(AfterOrders) {
		return
	}
	for i, o := range orders.Starts {
		s.cell.ApplyStart(o, starts[i])
	}
	for i, o := range orders.Stops {
		s.cell.ApplyStop(o, stops[i])
	}
}

// answers reports whether orders and reports of the host pass.
func (s *succession) answers(h *successionHost) bool {
	return s.round < h.silentFrom || s.round >= h.silentUntil
}

// report returns what the host reports.
func (h *successionHost) report(clock int64) fold.HoldReply {
	reply := fold.HoldReply{Clock: clock, Incarnation: h.info.Incarnation, Ends: slices.Clone(h.ends)}
	for _, r := range h.runs {
		reply.Runs = append(reply.Runs, fold.HostRun{Task: r.req.Task, Run: r.req.Run})
	}
	return reply
}

// end ends a run of the host.
func (h *successionHost) end(r *successionRun, how fold.EndKind) {
	h.runs = slices.DeleteFunc(h.runs, func(o *successionRun) bool { return o == r })
	h.highest[r.req.Task] = max(h.highest[r.req.Task], r.req.Run)
	h.lastEnd++
	h.ends = append(h.ends, fold.HostEnd{Number: h.lastEnd, Task: r.req.Task, Run: r.req.Run, Kind: how})
}

// endRuns ends the runs that have worked for runRounds. All members of a gang report the failure of their run.
func (s *succession) endRuns() {
	for _, h := range s.hosts {
		for _, r := range slices.Clone(h.runs) {
			members := s.members(r)
			switch {
			case len(members) == 0:
				// Another member of the gang has ended the run.
			case len(members) < s.width(r) && s.round-r.began >= gangRounds:
				h.end(r, fold.EndGangIncomplete)
			case len(members) < s.width(r):
			case r.working == 0:
				for _, m := range members {
					m.run.working = s.round
				}
			case s.round-r.working >= runRounds:
				how := fold.EndDone
				if r.task.toFail > 0 {
					r.task.toFail--
					r.task.failed++
					how = fold.EndFailed
				} else {
					r.task.done++
				}
				for _, m := range members {
					m.host.end(m.run, how)
				}
			}
		}
	}
}

// width returns the number of runs that work together.
func (s *succession) width(r *successionRun) int {
	if r.task.step.Gang {
		return r.task.step.Count
	}
	return 1
}

// successionMember is a run of a gang with its host.
type successionMember struct {
	host *successionHost
	run  *successionRun
}

// members returns the live runs that work together with a run, itself included.
func (s *succession) members(r *successionRun) (members []successionMember) {
	for _, h := range s.hosts {
		for _, o := range h.runs {
			if o == r || o.task == r.task && o.req.Run == r.req.Run {
				members = append(members, successionMember{host: h, run: o})
			}
		}
	}
	return members
}

// carryOut has the hosts carry out the orders and returns their answers to the starts and stops.
func (s *succession) carryOut(orders core.Orders) (starts, stops []error) {
	byID := make(map[string]*successionHost)
	for _, h := range s.hosts {
		byID[h.info.ID] = h
	}
	for _, a := range orders.Acks {
		if h := byID[a.Host]; s.answers(h) {
			h.ends = slices.DeleteFunc(h.ends, func(e fold.HostEnd) bool { return e.Number <= a.Number })
		}
	}
	for _, o := range orders.Stops {
		h := byID[o.Host.ID]
		if !s.answers(h) {
			stops = append(stops, fold.Unknown.New("no answer"))
			continue
		}
		h.highest[o.Task] = max(h.highest[o.Task], o.Run)
		for _, r := range slices.Clone(h.runs) {
			if r.req.Task == o.Task && r.req.Run <= o.Run {
				h.end(r, fold.EndStopped)
			}
		}
		stops = append(stops, nil)
	}
	for _, o := range orders.Starts {
		starts = append(starts, s.start(byID[o.Host.ID], o.Req))
	}
	return starts, stops
}

// start starts a run on the host.
func (s *succession) start(h *successionHost, req fold.StartRequest) error {
	switch {
	case !s.answers(h):
		return fold.Unknown.New("no answer")
	case slices.ContainsFunc(h.runs, func(r *successionRun) bool { return r.req.Task == req.Task && r.req.Run == req.Run }):
		return nil
	case req.Run <= h.highest[req.Task]:
		return fold.RunStale.New("run %d of %s is old", req.Run, req.Task)
	}
	t := s.tasks[req.Task]
	t.job.begun = true
	h.runs = append(h.runs, &successionRun{req: req, task: t, began: s.round})
	return nil
}

// checkWaiting checks that no job that has not begun is left out of the count of waiting jobs.
func (s *succession) checkWaiting() {
	waiting := 0
	for _, j := range s.jobs {
		if !j.begun {
			waiting++
		}
	}
	if counted := s.cell.Waiting()["q"]; counted < waiting {
		s.violations = append(s.violations, fmt.Sprintf("round %d: %d jobs counted as waiting, %d have not begun", s.round, counted, waiting))
	}
}

// finished reports whether all jobs are recorded as ended and no host has an end to report.
func (s *succession) finished() bool {
	for _, j := range s.jobs {
		if !s.records[j.spec.ID].State.Final() {
			return false
		}
	}
	return !slices.ContainsFunc(s.hosts, func(h *successionHost) bool { return len(h.runs)+len(h.ends) > 0 })
}

// describe returns what the caller of a job sees, and the runs of its tasks if it completed.
func (s *succession) describe(j *successionJob) string {
	line := j.spec.ID + " " + string(s.records[j.spec.ID].State)
	if s.records[j.spec.ID].State != flow.Completed {
		return line
	}
	for i, step := range j.spec.Steps {
		for k := range step.Count {
			t := s.tasks[flow.TaskName{Job: j.spec.ID, Step: i, Index: k}.String()]
			line += fmt.Sprintf(" %d.%d:%d+%d", i, k, t.failed, t.done)
		}
	}
	return line
}
