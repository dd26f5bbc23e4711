package app_test

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"plantainfold.example/fold"
	"plantainfold.example/fold/core"
	"plantainfold.example/pfnode/internal/app"
)

// Guards against a command that changes the question, leaves out a reason, or hides the entry's problem.
func TestExplainPrints(t *testing.T) {
	const job = `{"steps": [{"n": 3}]}`
	entry := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		if r.Method != http.MethodGet || r.URL.Path != "/explain" || r.URL.Query().Get("queue") != "a&b" || string(body) != job {
			t.Errorf("%s %s with %q", r.Method, r.URL, body)
		}
		if r.URL.Query().Get("team") == "none" {
			w.WriteHeader(http.StatusNotFound)
			_ = json.NewEncoder(w).Encode(fold.ToWire(fold.Refuse(fold.NotFound, "name a team", "no team %q", "none")))
			return
		}
		_ = json.NewEncoder(w).Encode(core.Explanation{Steps: []core.StepExplanation{{
			Tasks: 3, Class: "in time", Rank: 18, TasksAhead: 7, Hosts: 4, Usable: 1, Excluded: map[string]int{"silent": 2, "full": 1},
			Chosen: []core.ChosenHost{{Host: "a", Tasks: 2, Score: 0.5}}, Unplaced: 1, TeamLimit: true,
		}}})
	}))
	defer entry.Close()
	file := filepath.Join(t.TempDir(), "job.json")
	if err := os.WriteFile(file, []byte(job), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		team, want string
		code       int
	}{
		{"crews", `step 0: 3 tasks, class in time, rank 18, 7 tasks ahead, 1 of 4 hosts usable
  host a: 2 tasks, score 0.500
  excluded, full: 1 hosts
  excluded, silent: 2 hosts
  1 tasks find no host now
  the limit of the team keeps the next task from starting
`, 0},
		{"none", "pfnode: no team \"none\"\nremedy: name a team\n", 1},
	} {
		var out bytes.Buffer
		code := app.Main([]string{"explain", "--entry", strings.TrimPrefix(entry.URL, "http://"), "--queue", "a&b", "--team", c.team, file}, &out, &out)
		if code != c.code || out.String() != c.want {
			t.Errorf("team %s: code %d, output:\n%s", c.team, code, out.String())
		}
	}
}
