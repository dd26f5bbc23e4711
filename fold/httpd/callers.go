package httpd

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"plantainfold.example/fold"
)

const (
	maxRequestID   = 128
	defaultTimeout = 30 * time.Second
	// systemPrefix begins the ids of jobs that the system submits by itself.
	systemPrefix = "system/"
)

func (a *API) callerRoutes(mux *http.ServeMux) {
	mux.HandleFunc("POST /v1/queues/{queue}/requests", a.serve)
	mux.HandleFunc("POST /v1/jobs", handle(a, http.StatusAccepted, a.submit))
	mux.HandleFunc("GET /v1/jobs/{job}", handle(a, http.StatusOK,
		func(ctx context.Context, c fold.Caller, r *http.Request, _ none) (fold.JobStatus, error) {
			return a.queries.Job(ctx, c, r.PathValue("job"))
		}))
	mux.HandleFunc("GET /v1/jobs/{job}/explain", handle(a, http.StatusOK,
		func(ctx context.Context, c fold.Caller, r *http.Request, _ none) (fold.Explanation, error) {
			return a.queries.Explain(ctx, c, r.PathValue("job"))
		}))
	mux.HandleFunc("DELETE /v1/jobs/{job}", handle(a, http.StatusOK,
		func(ctx context.Context, c fold.Caller, r *http.Request, _ none) (fold.JobStatus, error) {
			return a.commands.Cancel(ctx, c, r.PathValue("job"))
		}))
	mux.HandleFunc("GET /v1/jobs/{job}/watch", a.watch)
}

func (a *API) submit(ctx context.Context, c fold.Caller, _ *http.Request, in fold.Submission) (fold.JobStatus, error) {
	if strings.HasPrefix(in.ID, systemPrefix) {
		return fold.JobStatus{}, fold.Refuse(fold.Invalid, "choose another id", "ids that begin with %s belong to declared work", systemPrefix)
	}
	return a.commands.Submit(ctx, c, in.Job())
}

// serve passes a synchronous request on and answers with the endpoint's body.
func (a *API) serve(w http.ResponseWriter, r *http.Request) {
	c, err := a.queries.Identify(r.Context(), bearer(r))
	if err != nil {
		writeProblem(w, err)
		return
	}
	request, err := requestOf(r)
	if err != nil {
		writeProblem(w, err)
		return
	}
	reply, err := a.commands.Serve(r.Context(), c, r.PathValue("queue"), request)
	if err != nil {
		writeProblem(w, err)
		return
	}
	w.Header().Set("Request-Id", reply.ID)
	w.Header().Set("Run", "yes")
	w.Header().Set("Content-Length", strconv.Itoa(len(reply.Body)))
	w.WriteHeader(reply.Status)
	_, _ = w.Write(reply.Body)
}

func requestOf(r *http.Request) (fold.Request, error) {
	out := fold.Request{ID: r.Header.Get("Request-Id"), Timeout: defaultTimeout}
	if out.ID == "" || len(out.ID) > maxRequestID {
		return out, fold.Refuse(fold.Invalid, "send a Request-Id of 1 to 128 characters", "no usable Request-Id")
	}
	if text := r.Header.Get("Timeout-Ms"); text != "" {
		ms, err := strconv.ParseInt(text, 10, 64)
		if err != nil || ms <= 0 {
			return out, fold.Refuse(fold.Invalid, "send Timeout-Ms as a positive number of milliseconds", "Timeout-Ms %q", text)
		}
		out.Timeout = time.Duration(ms) * time.Millisecond
	}
	idempotent, err := strconv.ParseBool(r.Header.Get("Idempotent"))
	if err != nil {
		return out, fold.Refuse(fold.Invalid, "send Idempotent as true or false", "Idempotent %q", r.Header.Get("Idempotent"))
	}
	out.Idempotent = idempotent
	out.Urgent = r.Header.Get("Urgent") == "true"
	if !idempotent {
		ms, err := strconv.ParseInt(r.Header.Get("Request-Time"), 10, 64)
		if err != nil {
			return out, fold.Refuse(fold.Invalid, "send Request-Time in milliseconds since the Unix epoch and repeat it on retries", "no usable Request-Time")
		}
		out.Issued = time.UnixMilli(ms)
	}
	out.Body, err = io.ReadAll(r.Body)
	if err != nil {
		return out, bodyError(err)
	}
	return out, nil
}

// watch writes a JSON line for each change of a job until it ends.
func (a *API) watch(w http.ResponseWriter, r *http.Request) {
	c, err := a.queries.Identify(r.Context(), bearer(r))
	if err != nil {
		writeProblem(w, err)
		return
	}
	status, err := a.queries.Job(r.Context(), c, r.PathValue("job"))
	if err != nil {
		writeProblem(w, err)
		return
	}
	w.Header().Set("Content-Type", "application/jsonl")
	lines := json.NewEncoder(w)
	flush := http.NewResponseController(w)
	_ = flush.SetWriteDeadline(time.Now().Add(maxWatch))
	ticker := time.NewTicker(watchPeriod)
	defer ticker.Stop()
	last := ""
	for {
		if line := summary(status); line != last {
			last = line
			_ = lines.Encode(status)
			_ = flush.Flush()
		}
		if status.State.Ended() {
			return
		}
		select {
		case <-ticker.C:
		case <-r.Context().Done():
			return
		case <-a.left:
			// The caller watches again at another entry; a line without an end state tells it to.
			return
		}
		if next, err := a.queries.Job(r.Context(), c, r.PathValue("job")); err == nil {
			status = next
		}
	}
}

func summary(s fold.JobStatus) string {
	return string(s.State) + " " + strconv.Itoa(s.Waiting) + " " + strconv.Itoa(s.Running) + " " + strconv.Itoa(s.Done) + " " + strconv.Itoa(s.Failed)
}
