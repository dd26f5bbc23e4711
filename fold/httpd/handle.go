package httpd

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"

	"plantainfold.example/fold"
)

// noBody is the input type of handlers that read no request body.
type noBody struct{}

// jsonHandler returns a handler that identifies the caller, decodes the request body, calls fn and writes its result as
// JSON with the status, or its error as a problem document.
func jsonHandler[In, Out any](a *API, status int, fn func(ctx context.Context, c fold.Caller, r *http.Request, in In) (Out, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		c, err := a.queries.Identify(r.Context(), bearerKey(r))
		if err != nil {
			writeProblem(w, err)
			return
		}
		in, err := decodeBody[In](r)
		if err != nil {
			writeProblem(w, err)
			return
		}
		out, err := fn(r.Context(), c, r, in)
		if err != nil {
			writeProblem(w, err)
			return
		}
		writeJSON(w, status, out)
	}
}

// decodeBody decodes a body of exactly one JSON value without unknown fields.
func decodeBody[In any](r *http.Request) (In, error) {
	var in In
	if _, empty := any(in).(noBody); empty {
		return in, nil
	}
	dec := json.NewDecoder(r.Body)
	dec.DisallowUnknownFields()
	if err := dec.Decode(&in); err != nil {
		return in, bodyError(err)
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return in, fold.Refuse(fold.Invalid, "send one JSON value", "the body has more than one value")
	}
	return in, nil
}

// bodyError returns the refusal for a body that cannot be read or decoded.
func bodyError(err error) error {
	if tooLarge, ok := errors.AsType[*http.MaxBytesError](err); ok {
		return fold.Refuse(fold.TooLarge, "send a smaller body", "the body exceeds %d bytes", tooLarge.Limit)
	}
	return fold.Refuse(fold.Invalid, "send the JSON that docs/design.md describes", "malformed body: %v", err)
}

// bearerKey returns the bearer key of the Authorization header, or "" if the request has none.
func bearerKey(r *http.Request) string {
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return ""
	}
	return strings.TrimSpace(key)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
