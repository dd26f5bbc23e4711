package httpd

import (
	"context"
	"io"
	"net/http"
	"strconv"

	"plantainfold.example/fold"
)

func (a *API) operatorRoutes(mux *http.ServeMux) {
	mux.HandleFunc("GET /v1/manifest", a.manifest)
	mux.HandleFunc("PUT /v1/manifest", a.apply)
	mux.HandleFunc("GET /v1/keys", handle(a, http.StatusOK,
		func(ctx context.Context, c fold.Caller, _ *http.Request, _ none) ([]fold.KeyGrant, error) {
			return a.queries.Keys(ctx, c)
		}))
	mux.HandleFunc("POST /v1/keys", handle(a, http.StatusCreated,
		func(ctx context.Context, c fold.Caller, _ *http.Request, g fold.KeyGrant) (fold.IssuedKey, error) {
			return a.commands.Grant(ctx, c, g)
		}))
	mux.HandleFunc("DELETE /v1/keys/{id}", handle(a, http.StatusOK,
		func(ctx context.Context, c fold.Caller, r *http.Request, _ none) (fold.Revision, error) {
			return a.commands.Withdraw(ctx, c, r.PathValue("id"))
		}))
	mux.HandleFunc("GET /v1/status", handle(a, http.StatusOK,
		func(ctx context.Context, _ fold.Caller, _ *http.Request, _ none) (fold.Status, error) {
			return a.queries.Status(ctx), nil
		}))
}

// manifest answers with the text of the manifest and its revision as the ETag.
func (a *API) manifest(w http.ResponseWriter, r *http.Request) {
	c, err := a.queries.Identify(r.Context(), bearer(r))
	if err != nil {
		writeProblem(w, err)
		return
	}
	revision, text, err := a.queries.Manifest(r.Context(), c)
	if err != nil {
		writeProblem(w, err)
		return
	}
	w.Header().Set("ETag", strconv.Quote(strconv.FormatInt(revision.Revision, 10)))
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(text)
}

// apply replaces the manifest when If-Match names the revision in force.
func (a *API) apply(w http.ResponseWriter, r *http.Request) {
	c, err := a.queries.Identify(r.Context(), bearer(r))
	if err != nil {
		writeProblem(w, err)
		return
	}
	expected, err := matchOf(r)
	if err != nil {
		writeProblem(w, err)
		return
	}
	text, err := io.ReadAll(r.Body)
	if err != nil {
		writeProblem(w, bodyError(err))
		return
	}
	revision, err := a.commands.Apply(r.Context(), c, expected, text)
	if err != nil {
		writeProblem(w, err)
		return
	}
	writeJSON(w, http.StatusOK, revision)
}

func matchOf(r *http.Request) (int64, error) {
	text := r.Header.Get("If-Match")
	if plain, err := strconv.Unquote(text); err == nil {
		text = plain
	}
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil || n < 0 {
		return 0, fold.Refuse(fold.Invalid, "send If-Match with the revision that you changed, 0 for the first", "If-Match %q", r.Header.Get("If-Match"))
	}
	return n, nil
}
