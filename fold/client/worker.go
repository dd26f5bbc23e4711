package client

import (
	"context"
	"net/http"

	"github.com/joomcode/errorx"

	"plantainfold.example/fold"
)

// Worker calls one worker over HTTP.
type Worker struct {
	base string
	http *http.Client
}

var _ fold.Worker = &Worker{}

// Workers returns the clients of workers, which share one HTTP client.
type Workers struct {
	http *http.Client
}

var _ fold.Workers = &Workers{}

// NewWorkers returns Workers that use c.
func NewWorkers(c *http.Client) *Workers {
	return &Workers{http: c}
}

// Worker returns the client of the worker at a base URL.
func (w *Workers) Worker(address string) fold.Worker {
	return &Worker{base: address, http: w.http}
}

// Adopt makes owner the owner of the worker under the epoch.
func (w *Worker) Adopt(ctx context.Context, owner string, epoch int64) (fold.Adoption, error) {
	out, err := callJSON[fold.Adoption](ctx, w.http, http.MethodPost, w.base+"/v1/adopt", struct {
		Owner string `json:"owner"`
		Epoch int64  `json:"epoch"`
	}{owner, epoch})
	return out, fencedError(err)
}

// Beat renews the session and the leases of the worker and returns the events of its tasks.
func (w *Worker) Beat(ctx context.Context, r fold.BeatRequest) (fold.BeatReply, error) {
	out, err := callJSON[fold.BeatReply](ctx, w.http, http.MethodPost, w.base+"/v1/beat", r)
	return out, fencedError(err)
}

// Start starts tasks under the epoch and the session and returns their results.
func (w *Worker) Start(ctx context.Context, epoch, session int64, tasks []fold.WorkerTask) ([]fold.StartResult, error) {
	out, err := callJSON[struct {
		Results []fold.StartResult `json:"results"`
	}](ctx, w.http, http.MethodPost, w.base+"/v1/start", struct {
		Epoch   int64             `json:"epoch"`
		Session int64             `json:"session"`
		Tasks   []fold.WorkerTask `json:"tasks"`
	}{epoch, session, tasks})
	return out.Results, fencedError(err)
}

// Stop stops tasks of the worker gracefully.
func (w *Worker) Stop(ctx context.Context, epoch int64, tasks []fold.StopRequest) error {
	_, err := sendJSON(ctx, w.http, http.MethodPost, w.base+"/v1/stop", struct {
		Epoch int64              `json:"epoch"`
		Tasks []fold.StopRequest `json:"tasks"`
	}{epoch, tasks})
	return fencedError(err)
}

// Throttle limits the processor time of a task to cpu thousandths of a core.
func (w *Worker) Throttle(ctx context.Context, epoch int64, task fold.TaskID, cpu int64) error {
	_, err := sendJSON(ctx, w.http, http.MethodPost, w.base+"/v1/throttle", struct {
		Epoch int64       `json:"epoch"`
		Task  fold.TaskID `json:"task"`
		CPU   int64       `json:"cpu"`
	}{epoch, task, cpu})
	return fencedError(err)
}

// fencedError replaces a Conflict error, by which a worker refuses an outdated epoch or session, by a Fenced error.
func fencedError(err error) error {
	if errorx.IsOfType(err, fold.Conflict) {
		return fold.Refuse(fold.Fenced, "give up the pool or renew the session", "%v", err)
	}
	return err
}
