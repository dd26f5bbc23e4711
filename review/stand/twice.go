package main

import (
	"errors"
	"time"
)

func init() { cases["twice"] = playTwice }

// playTwice takes the store away while a large job ends.
func playTwice(w *world) error {
	w.operate()
	if err := w.addWorkers(3, size{CPU: 16000, Mem: 32768}); err != nil {
		return err
	}
	w.addEntries(3)
	if err := w.startEntries(); err != nil {
		return err
	}
	body := jobBody{Spec: "rebuild the week", Steps: []step{{Count: 2000, CPU: 20, Mem: 40, Estimate: 3000}}}
	id, ok := w.submit("key-north-1", "/night/", body)
	if !ok {
		return errors.New("the job was not accepted")
	}
	for deadline := time.Now().Add(10 * time.Second); w.rules.startCount() < 2000; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			return errors.New("the tasks have not started")
		}
	}
	at, _ := w.rules.firstStart(id)
	w.log("all tasks run, %s after the first start", time.Since(at))
	if w.trouble {
		time.Sleep(time.Until(at.Add(time.Second)))
		w.log("case: the store answers 503 from now on")
		w.store.setBusy(true)
		time.Sleep(4200 * time.Millisecond)
		w.store.setBusy(false)
		w.log("case: the store serves again")
	}
	for deadline := time.Now().Add(30 * time.Second); time.Now().Before(deadline); time.Sleep(200 * time.Millisecond) {
		if s, _ := w.state("key-north-1", "/night/", id); s == "completed" {
			w.log("client: job %s is shown as completed", id)
			break
		}
	}
	time.Sleep(2 * time.Second)
	w.rules.checkTwice()
	w.log("%d starts of %d tasks", w.rules.startCount(), 2000)
	return nil
}
