package entry

import (
	"context"
	"time"

	"plantainfold.example/fold"
)

// maxTimeout bounds the time a caller may ask for.
const maxTimeout = 60 * time.Second

// Serve runs one synchronous request on a queue.
func (e *Entry) Serve(ctx context.Context, c fold.Caller, queue string, r fold.Request) (fold.Reply, error) {
	if err := e.requireFresh(); err != nil {
		return fold.Reply{}, err
	}
	manifest := e.current.Load().manifest
	q, ok := manifest.Queue(queue)
	if !ok || q.Service == "" {
		return fold.Reply{}, fold.Refuse(fold.NotFound, "name a request queue of the manifest", "no request queue %q", queue)
	}
	if !q.Allows(c.Team) || !c.MaySubmit(queue) {
		return fold.Reply{}, fold.Refuse(fold.Forbidden, "use a key for this queue", "team %q may not use queue %s", c.Team, queue)
	}
	one, ok := e.routers.of(q.Service)
	if !ok {
		return fold.Reply{}, noEndpoint()
	}
	r.Service = q.Service
	r.Account = accountOf(c)
	r = r.WithTimeout(min(r.Timeout, maxTimeout))
	d := dispatch{clock: e.clock, endpoints: e.platform.Endpoints, fresh: e.requireFresh, claim: e.claim, router: one}
	return d.run(ctx, r, float64(manifest.ShareOf(r.Account)))
}

func accountOf(c fold.Caller) string {
	if c.Account != "" {
		return c.Account
	}
	return c.Team
}
