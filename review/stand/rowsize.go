package main

import (
	"errors"
	"time"
)

func init() { cases["rowsize"] = playRowSize }

// playRowSize hands in one scheduled job whose occurrences overlap, beside steady traffic.
func playRowSize(w *world) error {
	w.operate()
	if err := w.addWorkers(35, size{CPU: 16000, Mem: 32768}); err != nil {
		return err
	}
	w.addEntries(3)
	if err := w.startEntries(); err != nil {
		return err
	}
	t := w.startTraffic("key-north-1", 200*time.Millisecond)
	time.Sleep(2 * time.Second)
	repeat := 3
	if !w.trouble {
		repeat = 1
	}
	body := jobBody{
		Spec: "rebuild the week", Steps: []step{{Count: 1500, CPU: 50, Mem: 50, Estimate: 80000, Checkpointing: true}},
		Repeat: repeat, Start: time.Now().UnixMilli() + 1000, Every: 4000,
	}
	id, ok := w.submit("key-south-1", "/night/", body)
	if !ok {
		return errors.New("the scheduled job was not accepted")
	}
	w.log("case: job %s has %d occurrences of 1500 tasks", id, repeat)
	time.Sleep(25 * time.Second)
	w.store.mu.Lock()
	w.log("the store has refused %d transactions; the last: %s", w.store.rejected, w.store.lastRejected)
	w.store.mu.Unlock()
	jobs := t.end()
	if len(jobs) == 0 {
		return errors.New("no job was accepted")
	}
	w.checkLost(serviceName, jobs)
	w.checkExits()
	w.store.mu.Lock()
	w.log("the store has refused %d transactions; the last: %s", w.store.rejected, w.store.lastRejected)
	w.store.mu.Unlock()
	return nil
}
