package client

import (
	"context"
	"net/http"

	"github.com/joomcode/errorx"

	"plantainfold.example/fold"
)

// Worker is a worker over HTTP.
type Worker struct {
	base string
	http *http.Client
}

var _ fold.Worker = &Worker{}

// Workers connects to workers over one HTTP client.
type Workers struct {
	http *http.Client
}

var _ fold.Workers = &Workers{}

// NewWorkers returns a connector that uses c.
func NewWorkers(c *http.Client) *Workers {
	return &Workers{http: c}
}

// Worker returns the worker at a base URL.
func (w *Workers) Worker(address string) fold.Worker {
	return &Worker{base: address, http: w.http}
}

// Adopt makes the caller the owner.
func (w *Worker) Adopt(ctx context.Context, owner string, epoch int64) (fold.Adoption, error) {
	out, err := call[fold.Adoption](ctx, w.http, http.MethodPost, w.base+"/v1/adopt", struct {
		Owner string `json:"owner"`
		Epoch int64  `json:"epoch"`
	}{owner, epoch})
	return out, fencedBy(err)
}

// Beat renews session and leases and returns events.
func (w *Worker) Beat(ctx context.Context, r fold.BeatRequest) (fold.BeatReply, error) {
	out, err := call[fold.BeatReply](ctx, w.http, http.MethodPost, w.base+"/v1/beat", r)
	return out, fencedBy(err)
}

// Start runs tasks under the epoch and session.
func (w *Worker) Start(ctx context.Context, epoch, session int64, tasks []fold.WorkerTask) ([]fold.StartResult, error) {
	out, err := call[struct {
		Results []fold.StartResult `json:"results"`
	}](ctx, w.http, http.MethodPost, w.base+"/v1/start", struct {
		Epoch   int64             `json:"epoch"`
		Session int64             `json:"session"`
		Tasks   []fold.WorkerTask `json:"tasks"`
	}{epoch, session, tasks})
	return out.Results, fencedBy(err)
}

// Stop stops tasks gracefully.
func (w *Worker) Stop(ctx context.Context, epoch int64, tasks []fold.StopRequest) error {
	_, err := send(ctx, w.http, http.MethodPost, w.base+"/v1/stop", struct {
		Epoch int64              `json:"epoch"`
		Tasks []fold.StopRequest `json:"tasks"`
	}{epoch, tasks})
	return fencedBy(err)
}

// Throttle limits the processor time of a task, in thousandths of a core.
func (w *Worker) Throttle(ctx context.Context, epoch int64, task fold.TaskID, cpu int64) error {
	_, err := send(ctx, w.http, http.MethodPost, w.base+"/v1/throttle", struct {
		Epoch int64       `json:"epoch"`
		Task  fold.TaskID `json:"task"`
		CPU   int64       `json:"cpu"`
	}{epoch, task, cpu})
	return fencedBy(err)
}

// fencedBy turns a worker's 409 into a Fenced error.
func fencedBy(err error) error {
	if errorx.IsOfType(err, fold.Conflict) {
		return fold.Refuse(fold.Fenced, "give up the pool or renew the session", "%v", err)
	}
	return err
}
