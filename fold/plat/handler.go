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
	maxBodyBytes = 32 << 20
	maxScanRows  = 10_000
)

// Handler serves the table service, the object store and the instance list over HTTP.
func Handler(table fold.Table, objects fold.Objects, fleet Registry) http.Handler {
	mux := http.NewServeMux()
	addTableRoutes(mux, table)
	addObjectRoutes(mux, objects)
	mux.HandleFunc("GET /v1/instances", func(w http.ResponseWriter, r *http.Request) {
		list, err := fleet.Instances(r.Context())
		writeReply(w, struct {
			Instances []fold.Instance `json:"instances"`
		}{list}, err)
	})
	mux.HandleFunc("PUT /v1/instances/{name}", func(w http.ResponseWriter, r *http.Request) {
		var in fold.Instance
		if !readJSON(w, r, &in) {
			return
		}
		in.Name = r.PathValue("name")
		fleet.Set(in)
		writeReply(w, struct{}{}, nil)
	})
	mux.HandleFunc("DELETE /v1/instances/{name}", func(w http.ResponseWriter, r *http.Request) {
		fleet.Remove(r.PathValue("name"))
		writeReply(w, struct{}{}, nil)
	})
	return mux
}

func addTableRoutes(mux *http.ServeMux, table fold.Table) {
	mux.HandleFunc("GET /v1/table/row", func(w http.ResponseWriter, r *http.Request) {
		row, err := table.Get(r.Context(), r.URL.Query().Get("key"))
		writeReply(w, row, err)
	})
	mux.HandleFunc("GET /v1/table/rows", func(w http.ResponseWriter, r *http.Request) {
		q := r.URL.Query()
		limit, err := strconv.Atoi(q.Get("limit"))
		if err != nil || limit < 1 || limit > maxScanRows {
			limit = maxScanRows
		}
		rows, err := table.Scan(r.Context(), q.Get("prefix"), q.Get("after"), limit)
		writeReply(w, struct {
			Rows []fold.Row `json:"rows"`
		}{rows}, err)
	})
	mux.HandleFunc("POST /v1/table/commit", func(w http.ResponseWriter, r *http.Request) {
		var txn fold.Txn
		if !readJSON(w, r, &txn) {
			return
		}
		version, err := table.Commit(r.Context(), txn)
		writeReply(w, struct {
			Version int64 `json:"version"`
		}{version}, err)
	})
}

func addObjectRoutes(mux *http.ServeMux, objects fold.Objects) {
	mux.HandleFunc("GET /v1/objects", func(w http.ResponseWriter, r *http.Request) {
		keys, err := objects.List(r.Context(), r.URL.Query().Get("prefix"))
		writeReply(w, struct {
			Keys []string `json:"keys"`
		}{keys}, err)
	})
	mux.HandleFunc("GET /v1/objects/{key...}", func(w http.ResponseWriter, r *http.Request) {
		body, err := objects.Get(r.Context(), r.PathValue("key"))
		if err != nil {
			writeReply(w, struct{}{}, err)
			return
		}
		_, _ = w.Write(body)
	})
	mux.HandleFunc("PUT /v1/objects/{key...}", func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		writeReply(w, struct{}{}, objects.Put(r.Context(), r.PathValue("key"), body))
	})
	mux.HandleFunc("DELETE /v1/objects/{key...}", func(w http.ResponseWriter, r *http.Request) {
		writeReply(w, struct{}{}, objects.Delete(r.Context(), r.PathValue("key")))
	})
}

// readJSON decodes the request body into v. If it can't, it writes an error response and returns false.
func readJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(v)
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

// conflictBody is the response body of a commit that was refused because of a conflict.
type conflictBody struct {
	// Key is the key of the row in conflict.
	Key string `json:"key"`
}

// writeReply writes v as JSON, or the error with the status that clients translate back into its kind.
func writeReply(w http.ResponseWriter, v any, err error) {
	switch {
	case err == nil:
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(v)
	case errorx.IsOfType(err, fold.NotFound):
		http.Error(w, err.Error(), http.StatusNotFound)
	case errorx.IsOfType(err, fold.Conflict):
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(http.StatusConflict)
		_ = json.NewEncoder(w).Encode(conflictBody{fold.ConflictKey(err)})
	default:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	}
}
