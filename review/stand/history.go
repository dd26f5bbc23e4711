package main

import (
	"errors"
	"sync"
	"time"
)

func init() { cases["history"] = playHistory }

// configTime is `config_ms`.
const configTime = 2 * time.Second

// playHistory withdraws keys while the config has not changed for longer than the store keeps its history.
func playHistory(w *world) error {
	if w.trouble {
		w.store.historyTime = 20 * time.Second
	}
	keys := []string{"key-north-1", "key-a", "key-b", "key-c"}
	w.config.Tenants[0].Keys = keys
	w.operate()
	if err := w.addWorkers(4, size{CPU: 64000, Mem: 131072}); err != nil {
		return err
	}
	w.addEntries(3)
	if err := w.startEntries(); err != nil {
		return err
	}
	id, ok := w.submit("key-north-1", "/check/", jobBody{Spec: "check", Steps: []step{{Count: 1, CPU: 500, Mem: 100, Estimate: 600}}})
	if !ok {
		return errors.New("the job was not accepted")
	}
	var group sync.WaitGroup
	stop := make(chan struct{})
	// withdrawn holds when the store acknowledged the config without the key.
	var mu sync.Mutex
	withdrawn := make(map[string]time.Time)
	current := keys[len(keys)-1]
	for _, e := range w.entries {
		group.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(100 * time.Millisecond):
				}
				mu.Lock()
				key := current
				at, gone := withdrawn[key]
				mu.Unlock()
				sent := time.Now()
				r := w.call(e, "GET", key, "/check/"+id, nil)
				if gone && r.err == nil {
					w.log("client: GET with the withdrawn key %s to %s, sent %.3f s after the acknowledgement: %d", key, e.name, sent.Sub(at).Seconds(), r.status)
					if r.status == 200 && sent.Sub(at) > configTime {
						w.rules.lost("CONFIG: %s answered a GET with the key %s, which was sent %.3f s after the acknowledgement of the config without it, with 200 %s", e.name, key, sent.Sub(at).Seconds(), r.body)
					}
				}
			}
		})
	}
	// The time between two configs is above the 20 s of history.
	waits := []time.Duration{19200 * time.Millisecond, 19700 * time.Millisecond, 20200 * time.Millisecond}
	for n := len(keys) - 1; n >= 1; n-- {
		time.Sleep(waits[n-1])
		w.config.Version += 3
		w.config.Tenants[0].Keys = keys[:n]
		at := w.operate()
		mu.Lock()
		withdrawn[keys[n]] = at
		mu.Unlock()
		time.Sleep(4 * time.Second)
		mu.Lock()
		current = keys[n-1]
		mu.Unlock()
	}
	close(stop)
	group.Wait()
	w.store.mu.Lock()
	w.log("the store has answered 410 %d times", w.store.gone)
	w.store.mu.Unlock()
	return nil
}
