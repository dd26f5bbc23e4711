package entry

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"go.opentelemetry.io/otel"

	"plantainfold.example/fold"
	"plantainfold.example/fold/route"
)

const (
	// maxTries bounds how often one request is sent, whatever the retry budget allows.
	maxTries = 16
	// firstBackoff is the mean pause before the first retry of a request of unknown outcome; it doubles each time.
	firstBackoff = 5 * time.Millisecond
)

// dispatch runs requests at the endpoints of one router.
type dispatch struct {
	clock     fold.Clock
	endpoints fold.Endpoints
	// fresh returns an error when the entry may no longer act on its configuration.
	fresh func() error
	// claim obtains the right to run a non-idempotent request.
	claim  func(ctx context.Context, account, id string, issued time.Time) error
	router *router
}

// run sends a request to an endpoint; it sends it again only if it did not run or is idempotent.
func (d dispatch) run(ctx context.Context, r fold.Request, share float64) (fold.Reply, error) {
	deadline := d.clock.Now().Add(r.Timeout)
	t, err := d.router.enter(d.clock.Now(), want{account: r.Account, share: share, urgent: r.Urgent, deadline: deadline})
	if err != nil {
		return fold.Reply{}, err
	}
	// The claim is asked for only once the request is admitted, and while it waits for its place.
	if !r.Idempotent {
		if err := d.claim(ctx, r.Account, r.ID, r.Issued); err != nil {
			d.router.quit(d.clock.Now(), t)
			return fold.Reply{}, err
		}
	}
	var unknown error
	for try := range maxTries {
		in, err := d.await(ctx, t)
		if err != nil {
			return fold.Reply{}, firstError(unknown, err)
		}
		reply, err := d.send(ctx, in, r.WithTimeout(deadline.Sub(d.clock.Now())))
		if err == nil {
			return reply, nil
		}
		if !fold.DidNotRun(err) {
			unknown = err
		}
		if !d.again(ctx, t, in, r, err, try) {
			return fold.Reply{}, firstError(unknown, err)
		}
	}
	return fold.Reply{}, firstError(unknown, fold.Refuse(fold.Overload, "retry later", "%d endpoints refused", maxTries))
}

// await waits for the turn of a request until its deadline.
func (d dispatch) await(ctx context.Context, t *turn) (fold.Instance, error) {
	d.arm()
	select {
	case <-t.ready:
	default:
		select {
		case <-t.ready:
		case <-d.clock.After(t.want.deadline.Sub(d.clock.Now())):
			d.router.quit(d.clock.Now(), t)
			return fold.Instance{}, fold.Refuse(fold.Overload, "retry with a later deadline", "no endpoint was free before the deadline")
		case <-ctx.Done():
			d.router.quit(d.clock.Now(), t)
			return fold.Instance{}, fold.Refuse(fold.Overload, "retry", "the caller went away")
		}
	}
	return t.place, t.err
}

// arm starts a waker for the time at which a paused endpoint may be tried again.
func (d dispatch) arm() {
	now := d.clock.Now()
	d.router.mu.Lock()
	nap, needed := d.router.nap(now)
	d.router.mu.Unlock()
	if !needed {
		return
	}
	go func() {
		<-d.clock.After(nap)
		d.router.mu.Lock()
		d.router.wake(d.clock.Now())
		d.router.mu.Unlock()
		d.arm()
	}()
}

// send sends a request to an endpoint and returns the place.
func (d dispatch) send(ctx context.Context, in fold.Instance, r fold.Request) (fold.Reply, error) {
	report := route.Report{Outcome: route.Abandoned}
	defer func() {
		d.router.release(d.clock.Now(), in.Name, report)
		d.arm()
	}()
	if err := d.fresh(); err != nil {
		return fold.Reply{}, err
	}
	if r.Timeout <= 0 {
		return fold.Reply{}, fold.Refuse(fold.Overload, "retry with a later deadline", "the deadline has passed")
	}
	sendCtx, cancel := context.WithTimeout(ctx, r.Timeout)
	defer cancel()
	sendCtx, span := otel.Tracer("entry").Start(sendCtx, "endpoint "+in.Name)
	defer span.End()
	sent := d.clock.Now()
	reply, err := d.endpoints.Endpoint(in.Address).Serve(sendCtx, r)
	report = reportOf(ctx, sendCtx, reply, err, d.clock.Now().Sub(sent))
	return reply, err
}

// reportOf says what an endpoint's answer tells of the endpoint.
func reportOf(caller, sent context.Context, reply fold.Reply, err error, took time.Duration) route.Report {
	report := route.Report{Running: reply.Running, Slots: reply.Slots, Took: took}
	switch {
	case err == nil && reply.Status < http.StatusInternalServerError:
		report.Outcome = route.Served
	case err == nil:
		report.Outcome = route.Failed
	case fold.DidNotRun(err):
		report.Outcome = route.Refused
	case caller.Err() != nil:
		report.Outcome = route.Abandoned
	case sent.Err() != nil:
		report.Outcome = route.Expired
	default:
		report.Outcome = route.Failed
	}
	return report
}

// again queues a request for another try if that is allowed.
func (d dispatch) again(ctx context.Context, t *turn, in fold.Instance, r fold.Request, err error, try int) bool {
	notRun := fold.DidNotRun(err)
	if ctx.Err() != nil || (!notRun && !r.Idempotent) {
		return false
	}
	t.avoid[in.Name] = true
	if !notRun {
		d.backoff(ctx, t, try)
	}
	now := d.clock.Now()
	return now < t.want.deadline && d.router.retry(now, t, notRun)
}

// backoff pauses before a retry, so that retries after a common cause do not come together.
func (d dispatch) backoff(ctx context.Context, t *turn, try int) {
	pause := time.Duration(rand.Float64() * 2 * float64(firstBackoff<<try))
	select {
	case <-d.clock.After(min(pause, t.want.deadline.Sub(d.clock.Now()))):
	case <-ctx.Done():
	}
}

// firstError keeps an earlier unknown outcome, because a later refusal does not prove that the request did not run.
func firstError(earlier, later error) error {
	if earlier != nil {
		return earlier
	}
	return later
}
