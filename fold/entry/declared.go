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
	// declaredPrefix is the prefix of the rows declared/<kind>/<name>, one for each service or job that the manifest
	// declares.
	declaredPrefix = "declared/"
	// declarePeriod is the time between two comparisons of the submitted work with the manifest.
	declarePeriod = time.Second
	// replaceTimeout is the maximum time for which the old tasks of a changed service are kept while its new tasks start.
	replaceTimeout = 30 * time.Second
	// systemName is the caller name of actions that the system takes by itself. Callers may not use job ids that begin
	// with it.
	systemName = "system"
)

// declaredRow is the row of a declared service or job. The id of a submission is written here before the submission, so
// that repeated submissions by any entry name the same job.
type declaredRow struct {
	// Hash is the hash of the declaration of a service. It is empty for jobs.
	Hash string `json:"hash"`
	// Revision is the configuration revision by which the row was written.
	Revision int64 `json:"revision"`
	// Begin is the start of the last period of a job, in milliseconds since the Unix epoch.
	Begin int64 `json:"begin,omitempty"`
	// Serial counts submissions of an unchanged service whose job ended.
	Serial int `json:"serial,omitempty"`
	// ID is the id under which the work is submitted.
	ID string `json:"id"`
	// Job is the id of the job that results from the submission.
	Job string `json:"job"`
	// Submitted is set once the job has been accepted.
	Submitted bool `json:"submitted"`
	// Since is when Job was submitted, in milliseconds since the Unix epoch.
	Since int64 `json:"since,omitempty"`
	// Old lists the jobs that Job replaces and that have not ended.
	Old []string `json:"old,omitempty"`
}

// declaredSeen is a declaredRow with its key and version as read from the table service.
type declaredSeen = owner.Versioned[declaredRow]

// declareStep submits the services and jobs that the manifest declares and cancels services that it no longer declares.
func (e *Entry) declareStep(ctx context.Context) {
	current := e.current.Load()
	if current.number == 0 || e.requireStanding() != nil || e.requireFresh() != nil {
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
	for _, s := range current.manifest.Services {
		e.reconcile(seen, "service/"+s.Name, func(row declaredSeen) error { return e.declareService(ctx, current, s, row) })
	}
	for _, j := range current.manifest.Jobs {
		e.reconcile(seen, "job/"+j.Name, func(row declaredSeen) error { return e.declareJob(ctx, current, j, row) })
	}
	for key := range seen {
		e.reconcile(seen, key[len(declaredPrefix):], func(row declaredSeen) error { return e.removeDeclared(ctx, row) })
	}
}

// reconcile calls act for a name if this entry is responsible for it, and deletes the row from seen.
func (e *Entry) reconcile(seen map[string]declaredSeen, name string, act func(declaredSeen) error) {
	key := declaredPrefix + name
	row, ok := seen[key]
	if !ok {
		row.Key = key
	}
	delete(seen, key)
	if !e.isResponsible(key) || row.Value.Revision > e.current.Load().number {
		return
	}
	if err := act(row); err != nil && !errorx.IsOfType(err, fold.Conflict) {
		e.log.Warn("Cannot bring declared work in line with the manifest. Trying again.", "name", name, "error", err)
	}
}

// declareService keeps one job running with the declared replicas of a service.
func (e *Entry) declareService(ctx context.Context, current *revision, s spec.Service, row declaredSeen) error {
	if s.Replicas == 0 || current.hasAnyDrain(fold.Drain{Kind: fold.DrainService, Name: s.Name}, fold.Drain{Kind: fold.DrainTeam, Name: s.Team}) {
		return e.removeDeclared(ctx, row)
	}
	hash, err := declarationHash(s)
	if err != nil {
		return err
	}
	next := row.Value
	if next.Hash != hash {
		next = replacementRow(row.Value, hash, current.number)
	} else if next.Submitted {
		return e.superviseService(ctx, s, row)
	}
	next = next.withID(s.Team, fmt.Sprintf("%s/service/%s/%d/%d", systemName, s.Name, next.Revision, next.Serial))
	return e.submitDeclared(ctx, row, next, fold.Caller{KeyID: systemName, Team: s.Team}, fold.Job{
		Queue: spec.ServiceQueue(s.Name), Kind: fold.Service, Count: s.Replicas, Resources: s.Resources, Idempotent: true,
	})
}

// replacementRow returns the row of a changed service. The current job moves to Old and is cancelled once the next one runs.
// It does so even if Submitted is not set, because the job may have been accepted all the same.
func replacementRow(old declaredRow, hash string, revision int64) declaredRow {
	next := declaredRow{Hash: hash, Revision: revision, Old: old.Old}
	if old.Job != "" {
		next.Old = append(append([]string(nil), old.Old...), old.Job)
	}
	return next
}

// withID returns the row with the id of a submission and the id of its job.
func (r declaredRow) withID(team, id string) declaredRow {
	r.ID = id
	r.Job = jobID(team, id)
	return r
}

// superviseService marks a service whose job ended for another submission, and cancels the jobs that the current one
// replaces.
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
	late := time.Now().UnixMilli()-next.Since > replaceTimeout.Milliseconds()
	if len(next.Old) == 0 || (status.Waiting > 0 && !late) {
		return nil
	}
	if next.Old, err = e.cancelAll(ctx, next.Old); err != nil || len(next.Old) == len(row.Value.Old) {
		return err
	}
	_, err = store.Replace(ctx, e.table, row.Key, row.Version, next)
	return err
}

// declareJob submits a job once in each period. It skips the period in which a job is first declared, so that a nightly
// job that is declared in the afternoon does not run at once.
func (e *Entry) declareJob(ctx context.Context, now *revision, j spec.Job, row declaredSeen) error {
	if now.hasAnyDrain(fold.Drain{Kind: fold.DrainQueue, Name: j.Queue}, fold.Drain{Kind: fold.DrainTeam, Name: j.Team}) {
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

// periodBegin returns the start of the period that contains now, in milliseconds since the Unix epoch.
func periodBegin(j spec.Job, now time.Time) int64 {
	every, at := j.Period.Std().Milliseconds(), j.Offset.Std().Milliseconds()
	return (now.UnixMilli()-at)/every*every + at
}

// submitDeclared records the id of a submission, submits the job and records that it was accepted.
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

// removeDeclared cancels the jobs of a service that is no longer declared and then deletes its row. For a job it only
// deletes the row.
func (e *Entry) removeDeclared(ctx context.Context, row declaredSeen) error {
	if row.Version == 0 {
		return nil
	}
	var jobs []string
	if service := row.Value.Hash != ""; service {
		jobs = replacementRow(row.Value, "", 0).Old
	}
	remaining, err := e.cancelAll(ctx, jobs)
	if err != nil || len(remaining) > 0 {
		return err
	}
	_, err = e.table.Commit(ctx, fold.Txn{Checks: []fold.Check{{Key: row.Key, Version: row.Version}}, Deletes: []string{row.Key}})
	return err
}

// cancelAll cancels jobs gracefully and returns those that have not ended yet.
func (e *Entry) cancelAll(ctx context.Context, jobs []string) ([]string, error) {
	var remaining []string
	for _, id := range jobs {
		status, err := e.Cancel(ctx, fold.Caller{KeyID: systemName, Operator: true}, id)
		if errorx.IsOfType(err, fold.NotFound) {
			continue
		}
		if err != nil {
			return nil, err
		}
		if !status.State.Ended() {
			remaining = append(remaining, id)
		}
	}
	return remaining, nil
}

// hasAnyDrain reports whether any of these drains exists in the revision.
func (r *revision) hasAnyDrain(drains ...fold.Drain) bool {
	for _, d := range drains {
		if _, ok := r.drains[d.ID()]; ok {
			return true
		}
	}
	return false
}

// declarationHash returns the hash by which a changed declaration is recognised.
func declarationHash(s spec.Service) (string, error) {
	text, err := json.Marshal(s)
	if err != nil {
		return "", fold.Invalid.Wrap(err, "encode service")
	}
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:]), nil
}
