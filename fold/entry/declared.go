package entry

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"time"

	"github.com/joomcode/errorx"

	"plantainfold.example/fold"
	"plantainfold.example/fold/owner"
	"plantainfold.example/fold/spec"
	"plantainfold.example/fold/store"
)

const (
	// declaredPrefix begins the rows declared/<kind>/<name> of work that the system submits by itself.
	declaredPrefix = "declared/"
	declarePeriod  = time.Second
	// replaceTime bounds how long a changed service waits for its new tasks before the old ones are cancelled.
	replaceTime = 30 * time.Second
	// systemName stands for the system as the one who acts. Callers may not use job ids that begin with it.
	systemName = "system"
)

// declaredRow is the row of a declared service or job. The id of a submission is written here before the submission,
// so that whoever submits it, and however often, submits one job.
type declaredRow struct {
	// Hash tells declarations apart.
	Hash string `json:"hash"`
	// Revision is the configuration by which the row was written.
	Revision int64 `json:"revision"`
	// Begin is the begin of the last period of a job, in milliseconds since the Unix epoch.
	Begin int64 `json:"begin,omitempty"`
	// Serial counts submissions of an unchanged service whose job ended.
	Serial int `json:"serial,omitempty"`
	// ID is the id of the submission, Job that of the job.
	ID        string `json:"id"`
	Job       string `json:"job"`
	Submitted bool   `json:"submitted"`
	// Since is when Job was submitted, in milliseconds since the Unix epoch.
	Since int64 `json:"since,omitempty"`
	// Old are the jobs that Job replaces and that have not ended.
	Old []string `json:"old,omitempty"`
}

type declaredSeen = owner.Seen[declaredRow]

// declareStep submits what the manifest declares and ends what it no longer does.
func (e *Entry) declareStep(ctx context.Context) {
	now := e.current.Load()
	if now.number == 0 || e.requireStanding() != nil || e.requireFresh() != nil {
		return
	}
	rows, err := store.Scan[declaredRow](ctx, e.table, declaredPrefix)
	if err != nil {
		e.log.Warn("Cannot read the declared work.", "error", err)
		return
	}
	seen := make(map[string]declaredSeen, len(rows))
	for _, row := range rows {
		seen[row.Key] = row
	}
	for _, s := range now.manifest.Services {
		e.declare(seen, "service/"+s.Name, func(row declaredSeen) error { return e.declareService(ctx, now, s, row) })
	}
	for _, j := range now.manifest.Jobs {
		e.declare(seen, "job/"+j.Name, func(row declaredSeen) error { return e.declareJob(ctx, now, j, row) })
	}
	for key := range seen {
		e.declare(seen, key[len(declaredPrefix):], func(row declaredSeen) error { return e.undeclare(ctx, row) })
	}
}

// declare calls act for a name at the entry that is responsible for it, and takes the row out of seen.
func (e *Entry) declare(seen map[string]declaredSeen, name string, act func(declaredSeen) error) {
	key := declaredPrefix + name
	row, ok := seen[key]
	if !ok {
		row.Key = key
	}
	delete(seen, key)
	if !e.responsible(key) || row.Value.Revision > e.current.Load().number {
		return
	}
	if err := act(row); err != nil && !errorx.IsOfType(err, fold.Conflict) {
		e.log.Warn("Declared work is not as declared. Trying again.", "name", name, "error", err)
	}
}

// declareService keeps one job that runs the declared replicas.
func (e *Entry) declareService(ctx context.Context, now *revision, s spec.Service, row declaredSeen) error {
	if s.Replicas == 0 || now.retires(fold.Drain{Kind: fold.DrainService, Name: s.Name}, fold.Drain{Kind: fold.DrainTeam, Name: s.Team}) {
		return e.undeclare(ctx, row)
	}
	hash, err := declarationHash(s)
	if err != nil {
		return err
	}
	next := row.Value
	if next.Hash != hash {
		next = replaceRow(row.Value, hash, now.number)
	} else if next.Submitted {
		return e.superviseService(ctx, s, row)
	}
	next = next.withID(s.Team, fmt.Sprintf("%s/service/%s/%d/%d", systemName, s.Name, next.Revision, next.Serial))
	return e.submitDeclared(ctx, row, next, fold.Caller{KeyID: systemName, Team: s.Team}, fold.Job{
		Queue: spec.ServiceQueue(s.Name), Kind: fold.Service, Count: s.Replicas, Resources: s.Resources, Idempotent: true,
	})
}

// replaceRow returns the row of a changed service, whose present job ends once the next one runs. That job counts even
// if its submission was not recorded.
func replaceRow(old declaredRow, hash string, revision int64) declaredRow {
	next := declaredRow{Hash: hash, Revision: revision, Old: old.Old}
	if old.Job != "" {
		next.Old = append(append([]string(nil), old.Old...), old.Job)
	}
	return next
}

func (r declaredRow) withID(team, id string) declaredRow {
	r.ID = id
	r.Job = jobID(team, id)
	return r
}

// superviseService submits a service again whose job ended, and ends the jobs that it replaces.
func (e *Entry) superviseService(ctx context.Context, s spec.Service, row declaredSeen) error {
	status, err := e.Job(ctx, fold.Caller{Operator: true}, row.Value.Job)
	if err != nil {
		return err
	}
	next := row.Value
	if status.State.Ended() {
		e.log.Warn("The job of a declared service ended. Submitting it again.", "service", s.Name, "job", next.Job, "state", status.State)
		next.Submitted = false
		next.Serial++
		_, err := store.Replace(ctx, e.table, row.Key, row.Version, next)
		return err
	}
	late := time.Now().UnixMilli()-next.Since > replaceTime.Milliseconds()
	if len(next.Old) == 0 || (status.Waiting > 0 && !late) {
		return nil
	}
	if next.Old, err = e.cancelAll(ctx, next.Old); err != nil || len(next.Old) == len(row.Value.Old) {
		return err
	}
	_, err = store.Replace(ctx, e.table, row.Key, row.Version, next)
	return err
}

// declareJob submits a job once in each period. The period that is under way when a job is first declared is left
// out, so that declaring a nightly job in the afternoon does not run it in the afternoon.
func (e *Entry) declareJob(ctx context.Context, now *revision, j spec.Job, row declaredSeen) error {
	if now.retires(fold.Drain{Kind: fold.DrainQueue, Name: j.Queue}, fold.Drain{Kind: fold.DrainTeam, Name: j.Team}) {
		return nil
	}
	begin := periodBegin(j, time.Now())
	next := row.Value
	if row.Version == 0 {
		_, err := store.Replace(ctx, e.table, row.Key, 0, declaredRow{Revision: now.number, Begin: begin, Submitted: true})
		return err
	}
	if next.Submitted {
		if next.Begin >= begin {
			return nil
		}
		next = declaredRow{Revision: now.number, Begin: begin}
	}
	next = next.withID(j.Team, fmt.Sprintf("%s/job/%s/%d", systemName, j.Name, next.Begin))
	return e.submitDeclared(ctx, row, next, fold.Caller{KeyID: systemName, Team: j.Team}, fold.Job{
		Queue: j.Queue, Kind: j.Kind, Count: j.Count, Resources: j.Resources, Duration: j.Duration.Std().Milliseconds(),
		Priority: j.Priority, Retries: j.Retries, Idempotent: j.Idempotent,
	})
}

// periodBegin returns the begin of the period at a time, in milliseconds since the Unix epoch.
func periodBegin(j spec.Job, now time.Time) int64 {
	every, at := j.Every.Std().Milliseconds(), j.At.Std().Milliseconds()
	return (now.UnixMilli()-at)/every*every + at
}

// submitDeclared records the id of a submission, submits it and records that it was accepted.
func (e *Entry) submitDeclared(ctx context.Context, row declaredSeen, next declaredRow, c fold.Caller, j fold.Job) error {
	version := row.Version
	if row.Value.ID != next.ID {
		written, err := store.Replace(ctx, e.table, row.Key, version, next)
		if err != nil {
			return err
		}
		version = written
	}
	j.ID = next.ID
	status, err := e.Submit(ctx, c, j)
	if err != nil {
		return err
	}
	next.Submitted = true
	next.Since = time.Now().UnixMilli()
	if _, err := store.Replace(ctx, e.table, row.Key, version, next); err != nil {
		return err
	}
	e.log.Info("Submitted declared work.", "id", next.ID, "job", status.Job.ID, "pool", status.Pool)
	return nil
}

// undeclare cancels the jobs of a service that is no longer declared, then removes the row.
func (e *Entry) undeclare(ctx context.Context, row declaredSeen) error {
	if row.Version == 0 {
		return nil
	}
	var jobs []string
	if service := row.Value.Hash != ""; service {
		jobs = replaceRow(row.Value, "", 0).Old
	}
	left, err := e.cancelAll(ctx, jobs)
	if err != nil || len(left) > 0 {
		return err
	}
	_, err = e.table.Commit(ctx, fold.Txn{Checks: []fold.Check{{Key: row.Key, Version: row.Version}}, Deletes: []string{row.Key}})
	return err
}

// cancelAll cancels jobs gracefully and returns those that have not ended yet.
func (e *Entry) cancelAll(ctx context.Context, jobs []string) ([]string, error) {
	var left []string
	for _, id := range jobs {
		status, err := e.Cancel(ctx, fold.Caller{KeyID: systemName, Operator: true}, id)
		if errorx.IsOfType(err, fold.NotFound) {
			continue
		}
		if err != nil {
			return nil, err
		}
		if !status.State.Ended() {
			left = append(left, id)
		}
	}
	return left, nil
}

// retires reports whether any of the drains exists.
func (r *revision) retires(drains ...fold.Drain) bool {
	for _, d := range drains {
		if _, ok := r.drains[d.ID()]; ok {
			return true
		}
	}
	return false
}

func declarationHash(s spec.Service) (string, error) {
	text, err := json.Marshal(s)
	if err != nil {
		return "", fold.Invalid.Wrap(err, "encode service")
	}
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:]), nil
}
