package node

import (
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/hashicorp/go-hclog"

	"plantainfold.example/fold"
	"plantainfold.example/fold/lead"
	"plantainfold.example/fold/peer"
)

// Guards against a question that hangs or names no remedy when there is no owner or it is silent, and against one that
// suspends the calls of callers to the owner.
func TestExplainWithoutOwner(t *testing.T) {
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = silent.Close() }()
	transport := peer.New("entry-0", "1", []byte("secret"), hclog.NewNullLogger())
	defer func() { _ = transport.Close() }()
	for _, c := range []struct {
		name  string
		owner lead.Owner
		want  string
	}{
		{"no owner", lead.Owner{}, "knows no owner"},
		{"silent owner", lead.Owner{Entry: "entry-1", Epoch: 1, Address: silent.Addr().String()}, "does not answer"},
	} {
		n := &Node{settings: Settings{Name: "entry-0"}, clock: fold.BootClock{}, peers: &peers{transport: transport}, ownerRow: ownerRowState{owner: c.owner}}
		answer := httptest.NewRecorder()
		n.handleExplain(answer, httptest.NewRequest(http.MethodGet, "/explain?queue=q&team=t", strings.NewReader(`{"steps": [{"n": 1}]}`)))
		var problem fold.WireError
		if err := json.NewDecoder(answer.Body).Decode(&problem); err != nil || answer.Code != http.StatusServiceUnavailable || problem.Remedy == "" || !strings.Contains(problem.Detail, c.want) {
			t.Errorf("%s: status %d, problem %+v, error %v", c.name, answer.Code, problem, err)
		}
		if c.owner.Entry != "" && n.owner() == nil {
			t.Errorf("%s: calls to the owner are suspended", c.name)
		}
	}
}

// Guards against an owner that answers before it has loaded all jobs.
func TestExplainHereRefuses(t *testing.T) {
	n := &Node{}
	if _, err := n.explainHere(explainQuestion{}); fold.Remedy(err) == "" {
		t.Errorf("error %v, want one with a remedy", err)
	}
}
