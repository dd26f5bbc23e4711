package worker

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/joomcode/errorx"

	"plantainfold.example/fold"
)

const (
	maxBody        = 8 << 20
	defaultTimeout = 30 * time.Second
)

// Handler serves one worker and its endpoint over HTTP. A nil endpoint is not served.
func Handler(w *Worker, endpoint *Endpoint) http.Handler {
	return NewMember(w, endpoint, "", NewFaults(w.clock)).Handler()
}

// Handler serves the worker and its endpoint over HTTP, with their faults.
func (m *Member) Handler() http.Handler {
	mux := http.NewServeMux()
	commandRoutes(mux, NewFaulty(m.Worker, m.Faults))
	mux.HandleFunc("POST /v1/throttle", m.throttle)
	mux.HandleFunc("GET /v1/runs", func(rw http.ResponseWriter, _ *http.Request) {
		writeAnswer(rw, runsBody{m.Worker.Runs()}, nil)
	})
	if m.Endpoint != nil {
		endpointRoutes(mux, m.Endpoint, m.Faults)
	}
	return mux
}

func commandRoutes(mux *http.ServeMux, w fold.Worker) {
	mux.HandleFunc("POST /v1/adopt", func(rw http.ResponseWriter, r *http.Request) {
		var body struct {
			Owner string `json:"owner"`
			Epoch int64  `json:"epoch"`
		}
		if !decodeBody(rw, r, &body) {
			return
		}
		adoption, err := w.Adopt(r.Context(), body.Owner, body.Epoch)
		writeAnswer(rw, adoption, err)
	})
	mux.HandleFunc("POST /v1/beat", func(rw http.ResponseWriter, r *http.Request) {
		var body fold.BeatRequest
		if !decodeBody(rw, r, &body) {
			return
		}
		reply, err := w.Beat(r.Context(), body)
		writeAnswer(rw, reply, err)
	})
	mux.HandleFunc("POST /v1/start", func(rw http.ResponseWriter, r *http.Request) {
		var body struct {
			Epoch   int64             `json:"epoch"`
			Session int64             `json:"session"`
			Tasks   []fold.WorkerTask `json:"tasks"`
		}
		if !decodeBody(rw, r, &body) {
			return
		}
		results, err := w.Start(r.Context(), body.Epoch, body.Session, body.Tasks)
		writeAnswer(rw, struct {
			Results []fold.StartResult `json:"results"`
		}{results}, err)
	})
	mux.HandleFunc("POST /v1/stop", func(rw http.ResponseWriter, r *http.Request) {
		var body struct {
			Epoch int64              `json:"epoch"`
			Tasks []fold.StopRequest `json:"tasks"`
		}
		if !decodeBody(rw, r, &body) {
			return
		}
		writeAnswer(rw, struct{}{}, w.Stop(r.Context(), body.Epoch, body.Tasks))
	})
}

func (m *Member) throttle(rw http.ResponseWriter, r *http.Request) {
	var body struct {
		Epoch int64       `json:"epoch"`
		Task  fold.TaskID `json:"task"`
		CPU   int64       `json:"cpu"`
	}
	if !decodeBody(rw, r, &body) {
		return
	}
	err := m.Faults.checkReachable()
	if err == nil {
		err = m.Worker.Throttle(body.Epoch, body.Task, body.CPU)
	}
	writeAnswer(rw, struct{}{}, err)
}

func endpointRoutes(mux *http.ServeMux, endpoint *Endpoint, faults *Faults) {
	mux.Handle("POST /v1/serve/{service}", faults.dropUnreachable(func(rw http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(http.MaxBytesReader(rw, r.Body, maxBody))
		if err != nil {
			http.Error(rw, err.Error(), http.StatusBadRequest)
			return
		}
		request := fold.Request{ID: r.Header.Get("Request-Id"), Service: r.PathValue("service"), Timeout: timeoutOf(r), Body: body}
		reply, err := endpoint.Serve(r.Context(), request)
		if err != nil {
			rw.Header().Set("Request-Id", request.ID)
			rw.Header().Set("Run", "no")
			http.Error(rw, err.Error(), http.StatusServiceUnavailable)
			return
		}
		rw.Header().Set("Request-Id", reply.ID)
		rw.Header().Set("Load", fmt.Sprintf("%d/%d", reply.Running, reply.Slots))
		_, _ = rw.Write(reply.Body)
	}))
	mux.HandleFunc("GET /v1/served", func(rw http.ResponseWriter, _ *http.Request) {
		writeAnswer(rw, servedBody{endpoint.Served()}, nil)
	})
	mux.HandleFunc("POST /v1/leave", func(rw http.ResponseWriter, _ *http.Request) {
		endpoint.Leave()
		writeAnswer(rw, struct{}{}, nil)
	})
}

// runsBody is the answer to GET /v1/runs.
type runsBody struct {
	Runs []Run `json:"runs"`
}

// servedBody is the answer to GET /v1/served.
type servedBody struct {
	Served map[string]int `json:"served"`
}

func timeoutOf(r *http.Request) time.Duration {
	ms, err := strconv.ParseInt(r.Header.Get("Timeout-Ms"), 10, 64)
	if err != nil || ms <= 0 {
		return defaultTimeout
	}
	return time.Duration(ms) * time.Millisecond
}

func decodeBody(w http.ResponseWriter, r *http.Request, v any) bool {
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func writeAnswer(w http.ResponseWriter, v any, err error) {
	switch {
	case errorx.IsOfType(err, fold.Fenced):
		http.Error(w, err.Error(), http.StatusConflict)
		return
	case errorx.IsOfType(err, fold.NotFound):
		http.Error(w, err.Error(), http.StatusNotFound)
		return
	case err != nil:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
