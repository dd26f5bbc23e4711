package app

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"

	"golang.org/x/sync/errgroup"

	"plantainfold.example/fold"
)

const (
	// askers bounds the workers that are asked at once.
	askers = 8
	// maxServed bounds the answer of one worker, in bytes.
	maxServed = 256 << 20
)

// checks compares what callers were told with what the workers served.
type checks struct {
	Ran      int `json:"ran"`
	Doubled  int `json:"doubled"`
	Repeated int `json:"repeated"`
	Untrue   int `json:"untrue"`
	Missing  int `json:"missing"`
}

// askWorkers returns how often each request ran.
func (l *load) askWorkers(ctx context.Context) (map[string]int, error) {
	answers := make([]map[string]int, len(l.plan.Workers))
	var asked errgroup.Group
	asked.SetLimit(askers)
	for n, worker := range l.plan.Workers {
		asked.Go(func() error {
			served, err := l.askWorker(ctx, worker)
			answers[n] = served
			return err
		})
	}
	if err := asked.Wait(); err != nil {
		return nil, err
	}
	all := make(map[string]int)
	for _, served := range answers {
		for id, times := range served {
			all[id] += times
		}
	}
	return all, nil
}

func (l *load) askWorker(ctx context.Context, worker string) (map[string]int, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, worker+"/v1/served", nil)
	if err != nil {
		return nil, fold.Invalid.Wrap(err, "worker %s", worker)
	}
	resp, err := l.client.Do(req)
	if err != nil {
		return nil, fold.Unavailable.Wrap(err, "worker %s", worker)
	}
	defer func() { _ = resp.Body.Close() }()
	var body struct {
		Served map[string]int `json:"served"`
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxServed)).Decode(&body); err != nil || resp.StatusCode != http.StatusOK {
		return nil, fold.Refuse(fold.Unavailable, "give the address of a stand-in worker", "worker %s answered %s", worker, resp.Status)
	}
	return body.Served, nil
}

// check compares the fates of the requests with what the workers served.
func (l *load) check(served map[string]int) *checks {
	c := &checks{}
	for id, times := range served {
		if !strings.HasPrefix(id, l.prefix) {
			continue
		}
		c.Ran++
		switch idempotent := strings.HasPrefix(id, l.prefix+"i"); {
		case times > 1 && idempotent:
			c.Repeated++
		case times > 1:
			c.Doubled++
		}
	}
	for _, t := range l.phases {
		for number, f := range t.fates {
			times := served[l.id(shot{number: number})] + served[l.id(shot{number: number, idempotent: true})]
			switch {
			case f == fateRefused && times > 0:
				c.Untrue++
			case f == fateAnswered && times == 0:
				c.Missing++
			}
		}
	}
	return c
}
