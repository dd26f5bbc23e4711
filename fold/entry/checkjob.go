package entry

import (
	"encoding/hex"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"plantainfold.example/fold"
)

// Bounds of jobs.
const (
	maxCount   = 10_000
	maxRetries = 100
	maxID      = 128
)

// checkJob completes a job from the caller's key and refuses what can never run.
func (e *Entry) checkJob(c fold.Caller, j fold.Job) (fold.Job, error) {
	m := e.current.Load().manifest
	q, ok := m.Queue(j.Queue)
	if !ok {
		return j, fold.Refuse(fold.NotFound, "name a queue of the manifest", "no queue %q", j.Queue)
	}
	j.Team = c.Team
	if q.Open && c.Team == "" {
		j.Team = q.Team
	}
	if !q.Allows(c.Team) || !c.MaySubmit(q.Name) {
		return j, fold.Refuse(fold.Forbidden, "use a key for this queue", "team %q may not use queue %s", c.Team, q.Name)
	}
	team, ok := m.Team(j.Team)
	if !ok {
		return j, fold.Refuse(fold.Forbidden, "use a key of a team in the manifest", "no team %q", j.Team)
	}
	if err := e.refuseDrained(q, j.Team); err != nil {
		return j, err
	}
	if err := checkShape(j); err != nil {
		return j, err
	}
	need := j.Resources
	if j.Kind == fold.Gang {
		need = need.Times(int64(j.Count))
	}
	if !need.Fits(team.Limit) {
		return j, fold.Refuse(fold.NeverFits, "ask for less, or have the limit raised", "the work needs %s; team %s may hold %s", need, team.Name, team.Limit)
	}
	if !e.fitsAnywhere(j.Resources) {
		return j, fold.Refuse(fold.NeverFits, "ask for less per task", "no worker can hold a task of %s", j.Resources)
	}
	j.ID = jobID(j.Team, j.ID)
	j.Accepted = time.Now().UnixMilli()
	j.FirstTask = 0
	return j, nil
}

func checkShape(j fold.Job) error {
	switch {
	case j.ID == "" || len(j.ID) > maxID:
		return fold.Refuse(fold.Invalid, "give an id of 1 to 128 characters and repeat it on retries", "job has no usable id")
	case j.Kind != fold.Batch && j.Kind != fold.Gang && j.Kind != fold.Service:
		return fold.Refuse(fold.Invalid, "use batch, gang or service", "kind %q", j.Kind)
	case j.Count < 1 || j.Count > maxCount:
		return fold.Refuse(fold.Invalid, "give 1 to 10000 tasks", "count %d", j.Count)
	case j.Resources.Negative() || j.Resources.CPU == 0 || j.Resources.Memory == 0:
		return fold.Refuse(fold.Invalid, "give cpu in thousandths of a core and memory in MiB", "resources %s", j.Resources)
	case j.Duration < 0 || (j.Duration == 0 && j.Kind != fold.Service):
		return fold.Refuse(fold.Invalid, "give the run time in milliseconds", "duration %d", j.Duration)
	case j.Retries < 0 || j.Retries > maxRetries:
		return fold.Refuse(fold.Invalid, "give 0 to 100 retries", "retries %d", j.Retries)
	default:
		return nil
	}
}

// jobID makes the id of a job from its team and the caller's id, so that a retry through any entry finds it.
func jobID(team, id string) string {
	sum := xxhash.New()
	_, _ = sum.WriteString(strconv.Itoa(len(team)) + team + id)
	return hex.EncodeToString(sum.Sum(nil))
}

func (e *Entry) fitsAnywhere(r fold.Resources) bool {
	for _, in := range *e.instances.Load() {
		if in.Role == fold.RoleWorker && r.Fits(in.Capacity) {
			return true
		}
	}
	return false
}
