package httpd

import (
	"context"
	"net/http"

	"plantainfold.example/fold"
)

// operationRoutes adds the routes for drains, events, the history and the status of the cell.
func (a *API) operationRoutes(mux *http.ServeMux) {
	mux.HandleFunc("GET /v1/drains", jsonHandler(a, http.StatusOK,
		func(ctx context.Context, c fold.Caller, _ *http.Request, _ noBody) ([]fold.DrainStatus, error) {
			return a.operations.Drains(ctx, c)
		}))
	mux.HandleFunc("POST /v1/drains", jsonHandler(a, http.StatusAccepted,
		func(ctx context.Context, c fold.Caller, _ *http.Request, d fold.Drain) (fold.DrainStatus, error) {
			return a.operations.Drain(ctx, c, d)
		}))
	mux.HandleFunc("DELETE /v1/drains/{kind}/{name}", jsonHandler(a, http.StatusOK,
		func(ctx context.Context, c fold.Caller, r *http.Request, _ noBody) (fold.Revision, error) {
			return a.operations.Undrain(ctx, c, r.PathValue("kind"), r.PathValue("name"))
		}))
	mux.HandleFunc("GET /v1/events", jsonHandler(a, http.StatusOK,
		func(ctx context.Context, c fold.Caller, _ *http.Request, _ noBody) ([]fold.Event, error) {
			return a.operations.Events(ctx, c)
		}))
	mux.HandleFunc("GET /v1/history", jsonHandler(a, http.StatusOK,
		func(ctx context.Context, c fold.Caller, _ *http.Request, _ noBody) ([]fold.Change, error) {
			return a.operations.History(ctx, c)
		}))
	mux.HandleFunc("GET /v1/cell", jsonHandler(a, http.StatusOK,
		func(ctx context.Context, c fold.Caller, _ *http.Request, _ noBody) ([]fold.Status, error) {
			return a.operations.Cell(ctx, c)
		}))
	mux.HandleFunc("GET /v1/spread", jsonHandler(a, http.StatusOK,
		func(ctx context.Context, _ fold.Caller, _ *http.Request, _ noBody) (fold.Revision, error) {
			return a.operations.Spread(ctx), nil
		}))
}
