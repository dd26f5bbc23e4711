package main

import (
	"errors"
	"sync"
	"time"
)

func init() { cases["history"] = playHistory }

const (
	// configTime is `config_ms`.
	configTime = 2 * time.Second
	// skewTime is `skew_max_ms`, which the check of the limit grants in addition.
	skewTime = 5 * time.Second
	// historyTime is `history_s`.
	historyTime = 20 * time.Second
)

// playHistory changes the config while it has not changed for longer than the store keeps its history: first the limit of a
// tenant while no client calls, then the keys of another one while clients ask for the state of a job.
func playHistory(w *world) error {
	if w.trouble {
		w.store.historyTime = historyTime
	}
	keys := []string{"key-north-1", "key-a", "key-b"}
	w.config.Tenants[0].Keys = keys
	w.operate()
	if err := w.addWorkers(4, size{CPU: 64000, Mem: 131072}); err != nil {
		return err
	}
	w.addEntries(3)
	if err := w.startEntries(); err != nil {
		return err
	}
	small := jobBody{Spec: "check", Steps: []step{{Count: 1, CPU: 500, Mem: 100, Estimate: 600}}}
	id, ok := w.submit("key-north-1", "/check/", small)
	if !ok {
		return errors.New("the small job was not accepted")
	}
	large := jobBody{Spec: "rebuild the week", Steps: []step{{Count: 1900, CPU: 6000, Mem: 100, Estimate: 1500}}}
	if _, ok := w.submit("key-south-1", "/night/", large); !ok {
		return errors.New("the large job was not accepted")
	}
	time.Sleep(historyTime + 4*time.Second)
	w.lowerLimit(60000)
	time.Sleep(time.Second)
	w.withdrawKeys(keys, id)
	w.store.mu.Lock()
	w.log("the store has answered 410 %d times", w.store.gone)
	w.store.mu.Unlock()
	return nil
}

// lowerLimit lowers the limit of the second tenant and applies the rule QUOTA to the starts of its tasks, which are all of one
// size, from the bound of the config on.
func (w *world) lowerLimit(cpu int64) {
	w.config.Version += 3
	w.config.Tenants[1].Limit = size{CPU: cpu}
	at := w.operate()
	time.Sleep(time.Until(at.Add(configTime + skewTime)))
	before := w.rules.startCount()
	var most int64
	for end := time.Now().Add(8 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		started := w.rules.startCount()
		used, _ := w.usage(serviceName)
		if started > before {
			most = max(most, used.CPU)
		}
	}
	w.log("%d tasks were started from %s to %s after the acknowledgement, at most %d were in use at once", w.rules.startCount()-before, configTime+skewTime, configTime+skewTime+8*time.Second, most)
	// `quota_excess` is 0.1, and one task of 6,000 more is allowed.
	if allowed := cpu*11/10 + 6000; most > allowed {
		w.rules.lost("QUOTA: the tenant south has %d thousandths of a core running with starts up to %s after the acknowledgement of the limit %d; %d are allowed", most, configTime+skewTime+8*time.Second, cpu, allowed)
	}
}

// withdrawKeys withdraws the keys of the first tenant, the last one first, and applies the rule CONFIG to calls with them.
func (w *world) withdrawKeys(keys []string, id string) {
	var mu sync.Mutex
	withdrawn := make(map[string]time.Time)
	current := keys[len(keys)-1]
	stop := make(chan struct{})
	var group sync.WaitGroup
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
				if !gone || r.err != nil {
					continue
				}
				after := sent.Sub(at)
				w.log("client: GET with the withdrawn key %s to %s, sent %.3f s after the acknowledgement: %d", key, e.name, after.Seconds(), r.status)
				if r.status == 200 && after > configTime {
					w.rules.lost("CONFIG: %s answered a GET with the key %s, sent %.3f s after the acknowledgement of the config without it, with 200 %s", e.name, key, after.Seconds(), r.body)
				}
			}
		})
	}
	for n := len(keys) - 1; n >= 1; n-- {
		time.Sleep(time.Until(w.operated.Add(historyTime + 3*time.Second)))
		w.awaitReady(w.entries[0], 5*time.Second)
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
}

// awaitReady waits until an entry that was not ready is ready again, which shows that it has just read the config, or for the
// given time.
func (w *world) awaitReady(e *entry, limit time.Duration) {
	was := true
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		is := e.isReady()
		if is && !was {
			w.log("platform: %s is ready again", e.name)
			return
		}
		was = is
	}
}
