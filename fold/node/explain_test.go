package node_test

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"

	"plantainfold.example/fold"
	"plantainfold.example/fold/core"
)

// ask sends GET /explain to an entry.
func ask(t *testing.T, address, query, job string) (explanation core.Explanation, problem fold.WireError, status int) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+address+"/explain?"+query, strings.NewReader(job))
	if err != nil {
		t.Fatal(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		// The entry does not listen yet.
		return explanation, problem, 0
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode == http.StatusOK {
		err = json.NewDecoder(resp.Body).Decode(&explanation)
	} else {
		err = json.NewDecoder(resp.Body).Decode(&problem)
	}
	if err != nil {
		t.Fatal(err)
	}
	return explanation, problem, resp.StatusCode
}

// Guards against an entry that does not pass a question to the owner, a refusal without remedy, and a question that starts
// the job.
func TestExplain(t *testing.T) {
	const valid, question = "queue=planning&team=crews", `{"steps": [{"n": 5, "size": {"cpu": 1000, "memory": 10}}]}`
	c := newCell(t, 2)
	for _, address := range c.peers {
		c.eventually("an explanation", func() bool {
			e, problem, status := ask(t, address, valid, question)
			if status != http.StatusOK {
				if status != 0 && (status != http.StatusServiceUnavailable || problem.Remedy == "") {
					t.Fatalf("status %d, problem %+v", status, problem)
				}
				return false
			}
			return len(e.Steps) == 1 && e.Steps[0].Usable == 0 && e.Steps[0].Excluded["not asked"] == 3 && e.Steps[0].Unplaced == 0
		})
		for _, k := range []struct {
			name, query, job string
			want             int
		}{
			{"unknown queue", "queue=none&team=crews", question, http.StatusNotFound},
			{"unknown team", "queue=planning&team=none", question, http.StatusNotFound},
			{"no job", valid, "", http.StatusBadRequest},
			{"unknown field", valid, `{"steps": [{"count": 1}]}`, http.StatusBadRequest},
			{"invalid job", valid, `{"steps": []}`, http.StatusBadRequest},
			{"long job", valid, `{"spec": "` + strings.Repeat("x", 70000) + `"}`, http.StatusRequestEntityTooLarge},
		} {
			if _, problem, status := ask(t, address, k.query, k.job); status != k.want || problem.Remedy == "" {
				t.Errorf("%s: status %d, problem %+v, want status %d", k.name, status, problem, k.want)
			}
		}
	}
	c.hosts.mu.Lock()
	defer c.hosts.mu.Unlock()
	if len(c.hosts.startCounts) > 0 {
		t.Errorf("%d tasks were started", len(c.hosts.startCounts))
	}
}
