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
	// maxRequestID bounds the length of the Request-Id header, in bytes.
	maxRequestID = 128
	// defaultTimeout is the deadline of a request without a Timeout-Ms header.
	defaultTimeout = 30 * time.Second
	// systemPrefix is the prefix of the ids of jobs that the system submits for declared work.
	systemPrefix = "system/"
)

func (a *API) callerRoutes(mux *http.ServeMux) {
	mux.HandleFunc("POST /v1/queues/{queue}/requests", a.serveRequest)
	mux.HandleFunc("POST /v1/jobs", jsonHandler(a, http.StatusAccepted, a.submit))
	mux.HandleFunc("GET /v1/jobs/{job}", jsonHandler(a, http.StatusOK,
		func(ctx context.Context, c fold.Caller, r *http.Request, _ noBody) (fold.JobStatus, error) {
			return a.queries.Job(ctx, c, r.PathValue("job"))
		}))
	mux.HandleFunc("GET /v1/jobs/{job}/explain", jsonHandler(a, http.StatusOK,
		func(ctx context.Context, c fold.Caller, r *http.Request, _ noBody) (fold.Explanation, error) {
			return a.queries.Explain(ctx, c, r.PathValue("job"))
		}))
	mux.HandleFunc("DELETE /v1/jobs/{job}", jsonHandler(a, http.StatusOK,
		func(ctx context.Context, c fold.Caller, r *http.Request, _ noBody) (fold.JobStatus, error) {
			return a.commands.Cancel(ctx, c, r.PathValue("job"))
		}))
	mux.HandleFunc("GET /v1/jobs/{job}/watch", a.watchJob)
}

// submit accepts a job of a caller; callers may not use the ids of jobs that the system submits.
func (a *API) submit(ctx context.Context, c fold.Caller, _ *http.Request, in fold.Submission) (fold.JobStatus, error) {
	if strings.HasPrefix(in.ID, systemPrefix) {
		return fold.JobStatus{}, fold.Refuse(fold.Invalid, "choose another id", "ids that begin with %s belong to declared work", systemPrefix)
	}
	return a.commands.Submit(ctx, c, in.Job())
}

// serveRequest forwards a synchronous request to an endpoint and answers with the status and body of its reply.
func (a *API) serveRequest(w http.ResponseWriter, r *http.Request) {
	c, err := a.queries.Identify(r.Context(), bearerKey(r))
	if err != nil {
		writeProblem(w, err)
		return
	}
	request, err := parseRequest(r)
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

// parseRequest builds a request from the headers and the body. Request-Time is required unless the request is idempotent.
func parseRequest(r *http.Request) (fold.Request, error) {
	out := fold.Request{ID: r.Header.Get("Request-Id"), Timeout: defaultTimeout}
	if out.ID == "" || len(out.ID) > maxRequestID {
		return out, fold.Refuse(fold.Invalid, "send a Request-Id of 1 to 128 characters", "no usable Request-Id")
	}
	if text := r.Header.Get("Timeout-Ms"); text != "" {
		ms, err := strconv.ParseInt(text, 10, 64)
		if err != nil || ms <= 0 {
			return out, fold.Refuse(fold.Invalid, "send Timeout-Ms as a positive number of milliseconds", "invalid Timeout-Ms header %q", text)
		}
		out.Timeout = time.Duration(ms) * time.Millisecond
	}
	idempotent, err := strconv.ParseBool(r.Header.Get("Idempotent"))
	if err != nil {
		return out, fold.Refuse(fold.Invalid, "send Idempotent as true or false", "invalid Idempotent header %q", r.Header.Get("Idempotent"))
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

// watchJob writes the status of a job as a line of JSON at each change until the job ends.
func (a *API) watchJob(w http.ResponseWriter, r *http.Request) {
	c, err := a.queries.Identify(r.Context(), bearerKey(r))
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
	_ = flush.SetWriteDeadline(time.Now().Add(maxWatchTime))
	ticker := time.NewTicker(watchPeriod)
	defer ticker.Stop()
	last := ""
	for {
		if line := progressKey(status); line != last {
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
		case <-a.leaveSignal:
			// The entry leaves. The last line shows a job that has not ended, so the caller watches it at another entry.
			return
		}
		if next, err := a.queries.Job(r.Context(), c, r.PathValue("job")); err == nil {
			status = next
		}
	}
}

// progressKey returns a text that differs between two statuses if watchers should see both.
func progressKey(s fold.JobStatus) string {
	return string(s.State) + " " + strconv.Itoa(s.Waiting) + " " + strconv.Itoa(s.Running) + " " + strconv.Itoa(s.Done) + " " + strconv.Itoa(s.Failed)
}
