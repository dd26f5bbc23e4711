package httpd

import (
	"context"
	"net/http"

	"plantainfold.example/fold"
)

// operationRoutes adds what operators do beyond manifest and keys.
func (a *API) operationRoutes(mux *http.ServeMux) {
	mux.HandleFunc("GET /v1/drains", handle(a, http.StatusOK,
		func(ctx context.Context, c fold.Caller, _ *http.Request, _ none) ([]fold.DrainStatus, error) {
			return a.operations.Drains(ctx, c)
		}))
	mux.HandleFunc("POST /v1/drains", handle(a, http.StatusAccepted,
		func(ctx context.Context, c fold.Caller, _ *http.Request, d fold.Drain) (fold.DrainStatus, error) {
			return a.operations.Drain(ctx, c, d)
		}))
	mux.HandleFunc("DELETE /v1/drains/{kind}/{name}", handle(a, http.StatusOK,
		func(ctx context.Context, c fold.Caller, r *http.Request, _ none) (fold.Revision, error) {
			return a.operations.Undrain(ctx, c, r.PathValue("kind"), r.PathValue("name"))
		}))
	mux.HandleFunc("GET /v1/events", handle(a, http.StatusOK,
		func(ctx context.Context, c fold.Caller, _ *http.Request, _ none) ([]fold.Event, error) {
			return a.operations.Events(ctx, c)
		}))
	mux.HandleFunc("GET /v1/history", handle(a, http.StatusOK,
		func(ctx context.Context, c fold.Caller, _ *http.Request, _ none) ([]fold.Change, error) {
			return a.operations.History(ctx, c)
		}))
	mux.HandleFunc("GET /v1/cell", handle(a, http.StatusOK,
		func(ctx context.Context, c fold.Caller, _ *http.Request, _ none) ([]fold.Status, error) {
			return a.operations.Cell(ctx, c)
		}))
	mux.HandleFunc("GET /v1/spread", handle(a, http.StatusOK,
		func(ctx context.Context, _ fold.Caller, _ *http.Request, _ none) (fold.Revision, error) {
			return a.operations.Spread(ctx), nil
		}))
}
