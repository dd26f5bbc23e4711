package node

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/joomcode/errorx"

	"plantainfold.example/fold"
	"plantainfold.example/fold/core"
	"plantainfold.example/fold/flow"
	"plantainfold.example/fold/peer"
)

const (
	// explainCall asks the owner where the tasks of a job would go.
	explainCall = "explain"
	// explainPath is the path of the question on the address for entries.
	explainPath = "/explain"
	// explainTimeout limits an answer, which operators get within a second.
	explainTimeout = 900 * time.Millisecond
	// maxExplainBytes is the maximum size of the job in a question, far above that of a job with flow.MaxSteps steps.
	maxExplainBytes = 64 << 10
)

// explainQuestion is the body of an explainCall.
type explainQuestion struct {
	Queue string   `json:"queue"`
	Team  string   `json:"team"`
	Job   flow.Job `json:"job"`
}

// explainStatuses maps kinds of errors to HTTP statuses; all others become 503.
var explainStatuses = []struct {
	kind   *errorx.Type
	status int
}{
	{fold.Invalid, http.StatusBadRequest},
	{fold.NotFound, http.StatusNotFound},
	{fold.TooLarge, http.StatusRequestEntityTooLarge},
	{fold.Overload, http.StatusTooManyRequests},
}

// handleExplain answers GET /explain?queue=NAME&team=NAME, whose body is a job, with a core.Explanation or a fold.WireError.
func (n *Node) handleExplain(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), explainTimeout)
	defer cancel()
	w.Header().Set("Content-Type", "application/json")
	question, err := readExplainQuestion(w, r)
	if err == nil {
		var explanation core.Explanation
		if explanation, err = n.explain(ctx, question); err == nil {
			_ = json.NewEncoder(w).Encode(explanation)
			return
		}
	}
	status := http.StatusServiceUnavailable
	for _, s := range explainStatuses {
		if errorx.IsOfType(err, s.kind) {
			status = s.status
		}
	}
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(fold.ToWire(err))
}

func readExplainQuestion(w http.ResponseWriter, r *http.Request) (explainQuestion, error) {
	// A writer without deadlines, as in a test, has no connection that could stall.
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(explainTimeout))
	question := explainQuestion{Queue: r.URL.Query().Get("queue"), Team: r.URL.Query().Get("team")}
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxExplainBytes))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(&question.Job)
	if err == nil && decoder.More() {
		err = errors.New("data after the end of the job")
	}
	if _, tooLarge := errors.AsType[*http.MaxBytesError](err); tooLarge {
		return question, fold.Refuse(fold.TooLarge, "send a smaller job", "the job has more than %d bytes", maxExplainBytes)
	}
	if errors.Is(err, io.EOF) {
		return question, fold.Refuse(fold.Invalid, "send the job as the body", "the request has no job")
	}
	if err != nil {
		return question, fold.Refuse(fold.Invalid, "correct the job", "read the job: %v", err)
	}
	return question, nil
}

// explain answers a question in this process or passes it to the owner.
func (n *Node) explain(ctx context.Context, question explainQuestion) (core.Explanation, error) {
	switch owner := n.owner().(type) {
	case localOwner:
		return n.explainHere(question)
	case remoteOwner:
		// Unlike callOwner, a late answer to a question must not suspend the calls of callers to the owner.
		explanation, err := peer.Call[explainQuestion, core.Explanation](ctx, owner.transport, owner.address, explainCall, question)
		if err != nil && fold.Remedy(err) == "" {
			err = fold.Refuse(fold.Unavailable, "ask again; if this persists, look for the owner at this address", "the owner at %s does not answer: %v", owner.address, err)
		}
		return explanation, err
	}
	if n.currentDriver() != nil {
		return core.Explanation{}, errOwnerLoading()
	}
	return core.Explanation{}, fold.Refuse(fold.Unavailable, "ask again in a few seconds, or ask another entry", "this entry knows no owner of the pool that answers")
}

// explainHere answers a question if this entry owns the pool. It answers one question at a time, because each takes as long as
// the decisions about the job would and holds them up.
func (n *Node) explainHere(question explainQuestion) (core.Explanation, error) {
	d, err := n.loadedDriver()
	if err != nil {
		return core.Explanation{}, errOwnerLoading()
	}
	if !n.explaining.CompareAndSwap(false, true) {
		return core.Explanation{}, fold.Refuse(fold.Overload, "ask again", "the owner is answering another question")
	}
	defer n.explaining.Store(false)
	return d.Explain(question.Queue, question.Team, question.Job)
}

func errOwnerLoading() error {
	return fold.Refuse(fold.Unavailable, "ask again in a few seconds", "the owner of the pool has not loaded all jobs yet, or has just changed")
}
