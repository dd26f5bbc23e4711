package model_test

import (
	"testing"
	"time"

	"plantainfold.example/fold/model"
)

// Guards against urgent jobs that wait behind long ones. Bursts double the rate of urgent jobs, and nearly double that of
// long ones, for four seconds each, at loads of 0.9 to 1.6. Urgent jobs must earn nine tenths of their value as long as
// the urgent jobs alone would fit.
func TestUrgentJobsInBursts(t *testing.T) {
	const seeds, least = 6, 0.9
	for _, load := range []float64{0.9, 1.1, 1.3, 1.6} {
		owed, earned := make(map[string]float64), make(map[string]float64)
		for seed := range uint64(seeds) {
			day := model.PlanningDay(seed + 1)
			for i := range day.Classes {
				day.Classes[i].Rate *= load
			}
			day.Bursts = []model.Burst{
				{Class: 0, From: 6 * time.Second, To: 10 * time.Second, Factor: 2},
				{Class: 1, From: 18 * time.Second, To: 22 * time.Second, Factor: 1.8},
			}
			counts, broken := model.Play(day)
			for _, line := range broken {
				t.Errorf("load %.1f, seed %d: %s", load, seed+1, line)
			}
			for name, c := range counts.ByClass {
				owed[name] += c[0]
				earned[name] += c[1]
			}
		}
		t.Logf("load %.1f: check %.3f, rebuild %.3f, watch %.3f", load, earned["check"]/owed["check"], earned["rebuild"]/owed["rebuild"], earned["watch"]/owed["watch"])
		if got := earned["check"] / owed["check"]; got < least {
			t.Errorf("load %.1f: urgent jobs earn %.3f of their value, want at least %.1f", load, got, least)
		}
	}
}
