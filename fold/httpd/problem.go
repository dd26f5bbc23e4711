package httpd

import (
	"encoding/json"
	"net/http"

	"github.com/joomcode/errorx"

	"plantainfold.example/fold"
)

// problem is an RFC 9457 problem document.
type problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail"`
	Remedy string `json:"remedy,omitempty"`
	// Run is "no" if the work certainly did not run, and "unknown" otherwise.
	Run string `json:"run"`
}

// retryAfter is the Retry-After header of retryable refusals, in seconds.
const retryAfter = "1"

// statusOfType maps types of errors to HTTP statuses; the first match counts.
var statusOfType = []struct {
	kind   *errorx.Type
	status int
}{
	{fold.Invalid, http.StatusBadRequest},
	{fold.Unauthorized, http.StatusUnauthorized},
	{fold.Forbidden, http.StatusForbidden},
	{fold.NotFound, http.StatusNotFound},
	{fold.Conflict, http.StatusConflict},
	{fold.Outdated, http.StatusPreconditionFailed},
	{fold.TooLarge, http.StatusRequestEntityTooLarge},
	{fold.NeverFits, http.StatusUnprocessableEntity},
	{fold.Overload, http.StatusTooManyRequests},
	{fold.OverLimit, http.StatusTooManyRequests},
	{fold.Unavailable, http.StatusServiceUnavailable},
	{fold.Fenced, http.StatusServiceUnavailable},
	{fold.Unknown, http.StatusBadGateway},
}

// writeProblem answers a request with the problem document of an error.
func writeProblem(w http.ResponseWriter, err error) {
	p := problemOf(err)
	w.Header().Set("Content-Type", "application/problem+json")
	w.Header().Set("Run", p.Run)
	if errorx.HasTrait(err, fold.Retryable) {
		w.Header().Set("Retry-After", retryAfter)
	}
	w.WriteHeader(p.Status)
	_ = json.NewEncoder(w).Encode(p)
}

func problemOf(err error) problem {
	p := problem{Type: "about:blank", Title: "error", Status: http.StatusInternalServerError, Detail: err.Error(), Remedy: fold.Remedy(err), Run: "unknown"}
	if e := errorx.Cast(err); e != nil {
		p.Title = e.Type().FullName()
		p.Detail = e.Message()
	}
	if fold.DidNotRun(err) {
		p.Run = "no"
	}
	for _, s := range statusOfType {
		if errorx.IsOfType(err, s.kind) {
			p.Status = s.status
			break
		}
	}
	return p
}
