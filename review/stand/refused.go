package main

import (
	"sync"
	"syscall"
	"time"
)

func init() { cases["refused"] = playRefused }

const (
	// slowFactor is how much longer the answers of the slow store take.
	slowFactor = 25
	// freezeTime is how long the owner stands still.
	freezeTime = 1800 * time.Millisecond
	// refusedRounds is how often the owner is frozen.
	refusedRounds = 5
)

// playRefused freezes the owner as the answer to a commit with new jobs is on its way, while the store is slow.
func playRefused(w *world) error {
	w.operate()
	if err := w.addWorkers(4, size{CPU: 16000, Mem: 32768}); err != nil {
		return err
	}
	w.addEntries(3)
	if err := w.startEntries(); err != nil {
		return err
	}
	for round := range refusedRounds {
		w.playRound(round)
	}
	return nil
}

// playRound hands in six jobs at the owner and applies the rule REFUSED to them.
func (w *world) playRound(round int) {
	owner := w.owner()
	committed := make(chan struct{})
	var once sync.Once
	if w.trouble {
		w.log("case: round %d, answers of the store take %d times as long", round, slowFactor)
		w.store.setSlow(slowFactor)
		time.Sleep(time.Second)
	}
	w.store.setOnCommit(func(writes []rowRef) {
		for _, r := range writes {
			if r.Table == "job" {
				once.Do(func() {
					if w.trouble {
						owner.signal(syscall.SIGSTOP)
					}
					close(committed)
				})
			}
		}
	})
	var group sync.WaitGroup
	for range 6 {
		group.Go(func() { w.handInOnce(owner) })
	}
	select {
	case <-committed:
	case <-time.After(5 * time.Second):
		w.log("no job was committed in round %d", round)
	}
	if w.trouble {
		w.log("case: %s was frozen after the commit of the jobs", owner.name)
		time.Sleep(freezeTime)
		owner.signal(syscall.SIGCONT)
		w.log("case: %s wakes after %s", owner.name, freezeTime)
		time.Sleep(1500 * time.Millisecond)
		w.store.setSlow(1)
		w.log("case: the store is as fast as usual")
	}
	w.store.setOnCommit(nil)
	group.Wait()
	time.Sleep(time.Second)
}

// handInOnce hands in a job with one attempt, as a client does that is told that the job was not accepted, and looks whether it
// runs all the same.
func (w *world) handInOnce(e *entry) {
	id := newID()
	body := jobBody{Spec: "a visit", Steps: []step{{Count: 1, CPU: 500, Mem: 100, Estimate: 300}}}
	w.mu.Lock()
	w.jobs[id] = body
	w.mu.Unlock()
	r := w.call(e, "POST", "key-north-1", "/check/"+id, body)
	w.log("client: POST /check/%s to %s: %d %v %s", id, e.name, r.status, r.err, r.body)
	time.Sleep(6 * time.Second)
	if at, ok := w.rules.firstStart(id); ok && (r.status == 503 || r.status == 429) {
		w.rules.lost("REFUSED: job %s was turned away with %d by %s, and a task of it started at %.3f", id, r.status, e.name, at.Sub(w.began).Seconds())
	}
}
