package main

import (
	"errors"
	"math"
	"time"
)

func init() { cases["poison"] = playPoison }

// playPoison hands in one job that can never be done, beside steady traffic.
func playPoison(w *world) error {
	w.operate()
	if err := w.addWorkers(4, size{CPU: 16000, Mem: 32768}); err != nil {
		return err
	}
	w.addEntries(3)
	if err := w.startEntries(); err != nil {
		return err
	}
	t := w.startTraffic("key-north-1", 200*time.Millisecond)
	time.Sleep(3 * time.Second)
	count := 2
	if w.trouble {
		count = math.MaxInt64
	}
	body := jobBody{Spec: "poison", Steps: []step{{Count: count, CPU: 500, Mem: 100, Estimate: 600}, {Count: count, CPU: 500, Mem: 100, Estimate: 600}}}
	_, ok := w.submit("key-south-1", "/night/", body)
	w.log("case: the job with two steps of %d tasks was accepted: %v", count, ok)
	time.Sleep(25 * time.Second)
	jobs := t.end()
	if len(jobs) == 0 {
		return errors.New("no job was accepted")
	}
	w.checkLost(serviceName, jobs)
	w.checkExits()
	return nil
}
