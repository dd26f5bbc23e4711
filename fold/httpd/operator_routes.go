package httpd

import (
	"context"
	"io"
	"net/http"
	"strconv"

	"plantainfold.example/fold"
)

// operatorRoutes adds the routes for the manifest, the keys and the status of the entry.
func (a *API) operatorRoutes(mux *http.ServeMux) {
	mux.HandleFunc("GET /v1/manifest", a.getManifest)
	mux.HandleFunc("PUT /v1/manifest", a.putManifest)
	mux.HandleFunc("GET /v1/keys", jsonHandler(a, http.StatusOK,
		func(ctx context.Context, c fold.Caller, _ *http.Request, _ noBody) ([]fold.KeyGrant, error) {
			return a.queries.Keys(ctx, c)
		}))
	mux.HandleFunc("POST /v1/keys", jsonHandler(a, http.StatusCreated,
		func(ctx context.Context, c fold.Caller, _ *http.Request, g fold.KeyGrant) (fold.IssuedKey, error) {
			return a.commands.Grant(ctx, c, g)
		}))
	mux.HandleFunc("DELETE /v1/keys/{id}", jsonHandler(a, http.StatusOK,
		func(ctx context.Context, c fold.Caller, r *http.Request, _ noBody) (fold.Revision, error) {
			return a.commands.Withdraw(ctx, c, r.PathValue("id"))
		}))
	mux.HandleFunc("GET /v1/status", jsonHandler(a, http.StatusOK,
		func(ctx context.Context, _ fold.Caller, _ *http.Request, _ noBody) (fold.Status, error) {
			return a.queries.Status(ctx), nil
		}))
}

// getManifest answers with the text of the manifest and its revision as the ETag.
func (a *API) getManifest(w http.ResponseWriter, r *http.Request) {
	c, err := a.queries.Identify(r.Context(), bearerKey(r))
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

// putManifest replaces the manifest if If-Match names the current revision.
func (a *API) putManifest(w http.ResponseWriter, r *http.Request) {
	c, err := a.queries.Identify(r.Context(), bearerKey(r))
	if err != nil {
		writeProblem(w, err)
		return
	}
	expected, err := parseIfMatch(r)
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

// parseIfMatch returns the revision in the If-Match header, which may be quoted.
func parseIfMatch(r *http.Request) (int64, error) {
	text := r.Header.Get("If-Match")
	if plain, err := strconv.Unquote(text); err == nil {
		text = plain
	}
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil || n < 0 {
		return 0, fold.Refuse(fold.Invalid, "send If-Match with the revision that you changed, 0 for the first", "invalid If-Match header %q", r.Header.Get("If-Match"))
	}
	return n, nil
}
