package main

import (
	"encoding/json"
	"net/http"
	"time"
)

// advicePolicy is `placement_advice` of a queue.
type advicePolicy struct {
	DecisionMs float64 `json:"decision_ms"`
	PerItemMs  float64 `json:"per_item_ms"`
	ValidityMs int64   `json:"validity_ms"`
}

// approvedPercent is the share of the workers that may run a step, in percent.
const approvedPercent = 30

// adviser is a stand-in for the placement service. It approves a third of the workers.
type adviser struct {
	w      *world
	policy advicePolicy
}

// startAdviser starts the adviser for the entries that start later.
func (w *world) startAdviser(policy advicePolicy) {
	w.adviserAddress = freeAddress()
	listen(w.adviserAddress, &adviser{w: w, policy: policy})
}

// ServeHTTP answers a call for advice after the time that the policy states.
func (a *adviser) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var in struct {
		Step    string   `json:"step"`
		Workers []string `json:"workers"`
	}
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(time.Duration((a.policy.DecisionMs + a.policy.PerItemMs*float64(len(in.Workers))) * float64(time.Millisecond)))
	a.w.log("adviser: %s, %d workers", in.Step, len(in.Workers))
	approved := make([][]string, 0, len(in.Workers))
	for _, id := range in.Workers {
		if hash(in.Step+id)%100 >= approvedPercent {
			continue
		}
		approved = append(approved, []string{id, "t-" + in.Step + "-" + id})
	}
	answer(w, http.StatusOK, map[string]any{"approved": approved, "validity_ms": a.policy.ValidityMs})
}
