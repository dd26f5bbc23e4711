package plat

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"

	"github.com/joomcode/errorx"

	"plantainfold.example/fold"
)

const (
	maxBody       = 32 << 20
	maxRowsInScan = 10_000
)

// Handler serves the table service, the object store and the instance list over HTTP.
func Handler(table fold.Table, objects fold.Objects, fleet Registry) http.Handler {
	mux := http.NewServeMux()
	tableRoutes(mux, table)
	objectRoutes(mux, objects)
	mux.HandleFunc("GET /v1/instances", func(w http.ResponseWriter, r *http.Request) {
		list, err := fleet.Instances(r.Context())
		answer(w, struct {
			Instances []fold.Instance `json:"instances"`
		}{list}, err)
	})
	mux.HandleFunc("PUT /v1/instances/{name}", func(w http.ResponseWriter, r *http.Request) {
		var in fold.Instance
		if !read(w, r, &in) {
			return
		}
		in.Name = r.PathValue("name")
		fleet.Set(in)
		answer(w, struct{}{}, nil)
	})
	mux.HandleFunc("DELETE /v1/instances/{name}", func(w http.ResponseWriter, r *http.Request) {
		fleet.Remove(r.PathValue("name"))
		answer(w, struct{}{}, nil)
	})
	return mux
}

func tableRoutes(mux *http.ServeMux, table fold.Table) {
	mux.HandleFunc("GET /v1/table/row", func(w http.ResponseWriter, r *http.Request) {
		row, err := table.Get(r.Context(), r.URL.Query().Get("key"))
		answer(w, row, err)
	})
	mux.HandleFunc("GET /v1/table/rows", func(w http.ResponseWriter, r *http.Request) {
		q := r.URL.Query()
		limit, err := strconv.Atoi(q.Get("limit"))
		if err != nil || limit < 1 || limit > maxRowsInScan {
			limit = maxRowsInScan
		}
		rows, err := table.Scan(r.Context(), q.Get("prefix"), q.Get("after"), limit)
		answer(w, struct {
			Rows []fold.Row `json:"rows"`
		}{rows}, err)
	})
	mux.HandleFunc("POST /v1/table/commit", func(w http.ResponseWriter, r *http.Request) {
		var txn fold.Txn
		if !read(w, r, &txn) {
			return
		}
		version, err := table.Commit(r.Context(), txn)
		answer(w, struct {
			Version int64 `json:"version"`
		}{version}, err)
	})
}

func objectRoutes(mux *http.ServeMux, objects fold.Objects) {
	mux.HandleFunc("GET /v1/objects", func(w http.ResponseWriter, r *http.Request) {
		keys, err := objects.List(r.Context(), r.URL.Query().Get("prefix"))
		answer(w, struct {
			Keys []string `json:"keys"`
		}{keys}, err)
	})
	mux.HandleFunc("GET /v1/objects/{key...}", func(w http.ResponseWriter, r *http.Request) {
		body, err := objects.Get(r.Context(), r.PathValue("key"))
		if err != nil {
			answer(w, struct{}{}, err)
			return
		}
		_, _ = w.Write(body)
	})
	mux.HandleFunc("PUT /v1/objects/{key...}", func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		answer(w, struct{}{}, objects.Put(r.Context(), r.PathValue("key"), body))
	})
	mux.HandleFunc("DELETE /v1/objects/{key...}", func(w http.ResponseWriter, r *http.Request) {
		answer(w, struct{}{}, objects.Delete(r.Context(), r.PathValue("key")))
	})
}

func read(w http.ResponseWriter, r *http.Request, v any) bool {
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(v)
	if err == nil {
		return true
	}
	status := http.StatusBadRequest
	if _, tooLarge := errors.AsType[*http.MaxBytesError](err); tooLarge {
		status = http.StatusRequestEntityTooLarge
	}
	http.Error(w, err.Error(), status)
	return false
}

// conflict is the body of a refused commit.
type conflict struct {
	Key string `json:"key"`
}

func answer(w http.ResponseWriter, v any, err error) {
	switch {
	case err == nil:
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(v)
	case errorx.IsOfType(err, fold.NotFound):
		http.Error(w, err.Error(), http.StatusNotFound)
	case errorx.IsOfType(err, fold.Conflict):
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(http.StatusConflict)
		_ = json.NewEncoder(w).Encode(conflict{fold.ConflictKey(err)})
	default:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	}
}
