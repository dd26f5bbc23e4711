package main

import (
	"errors"
	"time"
)

func init() { cases["move"] = playMove }

// otherService is a second service.
const otherService = "render"

// playMove sends a queue to another service by a config, while large jobs of the queue wait.
func playMove(w *world) error {
	policy := advicePolicy{DecisionMs: 560, PerItemMs: 8, ValidityMs: 2000}
	w.config.Services = append(w.config.Services, service{Name: otherService})
	w.config.Routes[1].Advice = &policy
	second := w.config.Routes[1]
	second.Name, second.Prefix = "r-second", "/second/"
	w.config.Routes = append(w.config.Routes, second)
	w.operate()
	if err := w.addWorkers(35, size{CPU: 16000, Mem: 32768}); err != nil {
		return err
	}
	if err := w.addWorkersOf(otherService, 13, size{CPU: 32000, Mem: 65536, GPU: 8}); err != nil {
		return err
	}
	w.startAdviser(policy)
	w.addEntries(3)
	if err := w.startEntries(); err != nil {
		return err
	}
	for range 3 {
		large := jobBody{Spec: "rebuild the week", Steps: []step{{Count: 2000, CPU: 1000, Mem: 500, Estimate: 3000}}}
		if _, ok := w.submit("key-south-1", "/night/", large); !ok {
			return errors.New("a large job was not accepted")
		}
	}
	time.Sleep(5 * time.Second)
	if w.trouble {
		w.config.Version += 3
		w.config.Routes[1].Service = otherService
		w.operate()
	}
	time.Sleep(5 * time.Second)
	var jobs []accepted
	for range 20 {
		body := jobBody{Spec: "a second queue", Steps: []step{{Count: 2, CPU: 500, Mem: 100, Estimate: 600}}}
		if id, ok := w.submit("key-north-1", "/second/", body); ok {
			jobs = append(jobs, accepted{"key-north-1", "/second/", id})
		}
		time.Sleep(500 * time.Millisecond)
	}
	w.log("the traffic has ended, %d jobs of the second queue were accepted", len(jobs))
	w.checkLost(serviceName, jobs)
	return nil
}
