package entry

import (
	"context"
	"time"

	"plantainfold.example/fold"
)

// maxTimeout is the maximum timeout of a request; a longer one is reduced to it.
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
		return fold.Reply{}, fold.Refuse(fold.Forbidden, "use a key for this queue", "team %q is not allowed to use queue %s", c.Team, queue)
	}
	if err := e.refuseDrained(q, c.Team); err != nil {
		return fold.Reply{}, err
	}
	svc, ok := e.routers.get(q.Service)
	if !ok {
		return fold.Reply{}, noEndpointError()
	}
	r.Service = q.Service
	r.Account = accountOf(c)
	r = r.WithTimeout(min(r.Timeout, maxTimeout))
	d := dispatcher{clock: e.clock, endpoints: e.platform.Endpoints, fresh: e.requireFresh, claim: e.claim, router: svc}
	return d.run(ctx, r, float64(manifest.ShareOf(r.Account)))
}

// accountOf returns the client account that a caller's requests count for, or the team if the key names none.
func accountOf(c fold.Caller) string {
	if c.Account != "" {
		return c.Account
	}
	return c.Team
}
