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
	// maxConcurrentQueries is how many workers are queried at the same time.
	maxConcurrentQueries = 8
	// maxServedBytes limits the size of one worker's response.
	maxServedBytes = 256 << 20
)

// verification is the result of comparing what callers were told with what the workers served.
type verification struct {
	// Ran counts the requests that ran at least once.
	Ran int `json:"ran"`
	// RepeatedNonIdempotent counts the non-idempotent requests that ran more than once.
	RepeatedNonIdempotent int `json:"doubled"`
	// RepeatedIdempotent counts the idempotent requests that ran more than once.
	RepeatedIdempotent int `json:"repeated"`
	// RanThoughRefused counts the requests that ran although their callers were told that they did not run.
	RanThoughRefused int `json:"untrue"`
	// AnsweredWithoutRun counts the requests that were answered although they did not run on any worker.
	AnsweredWithoutRun int `json:"missing"`
}

// queryWorkers asks all workers which requests they served and returns how often each request ran, by request ID.
func (g *generator) queryWorkers(ctx context.Context) (map[string]int, error) {
	servedBy := make([]map[string]int, len(g.plan.Workers))
	var queries errgroup.Group
	queries.SetLimit(maxConcurrentQueries)
	for n, worker := range g.plan.Workers {
		queries.Go(func() error {
			served, err := g.queryWorker(ctx, worker)
			servedBy[n] = served
			return err
		})
	}
	if err := queries.Wait(); err != nil {
		return nil, err
	}
	total := make(map[string]int)
	for _, served := range servedBy {
		for id, times := range served {
			total[id] += times
		}
	}
	return total, nil
}

func (g *generator) queryWorker(ctx context.Context, worker string) (map[string]int, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, worker+"/v1/served", nil)
	if err != nil {
		return nil, fold.Invalid.Wrap(err, "query worker %s", worker)
	}
	resp, err := g.client.Do(req)
	if err != nil {
		return nil, fold.Unavailable.Wrap(err, "query worker %s", worker)
	}
	defer func() { _ = resp.Body.Close() }()
	var body struct {
		Served map[string]int `json:"served"`
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxServedBytes)).Decode(&body); err != nil || resp.StatusCode != http.StatusOK {
		return nil, fold.Refuse(fold.Unavailable, "give the address of a stand-in worker", "worker %s did not report what it served (response status %s)", worker, resp.Status)
	}
	return body.Served, nil
}

// verify compares the outcomes of the requests with what the workers served.
func (g *generator) verify(served map[string]int) *verification {
	v := &verification{}
	for id, times := range served {
		if !strings.HasPrefix(id, g.idPrefix) {
			continue
		}
		v.Ran++
		switch idempotent := strings.HasPrefix(id, g.idPrefix+"i"); {
		case times > 1 && idempotent:
			v.RepeatedIdempotent++
		case times > 1:
			v.RepeatedNonIdempotent++
		}
	}
	for _, stats := range g.phases {
		for number, result := range stats.outcomes {
			// The outcome does not tell whether the request was idempotent, so both IDs are looked up.
			times := served[g.requestID(request{number: number})] + served[g.requestID(request{number: number, idempotent: true})]
			switch {
			case result == outcomeRefused && times > 0:
				v.RanThoughRefused++
			case result == outcomeAnswered && times == 0:
				v.AnsweredWithoutRun++
			}
		}
	}
	return v
}
