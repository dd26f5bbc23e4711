package entry

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/joomcode/errorx"
	"go.opentelemetry.io/otel"

	"plantainfold.example/fold"
	"plantainfold.example/fold/route"
)

const (
	// maxTries is the maximum number of times that one request is sent, whatever the retry budget allows.
	maxTries = 16
	// firstBackoff is the mean delay before the first retry of a request of unknown outcome; it doubles with each retry.
	firstBackoff = 5 * time.Millisecond
)

// dispatcher sends requests to the endpoints of one router.
type dispatcher struct {
	clock     fold.Clock
	endpoints fold.Endpoints
	// fresh returns an error if the configuration in force may be out of date.
	fresh func() error
	// claim obtains permission to run a non-idempotent request once.
	claim func(ctx context.Context, account, id string, issued time.Time) error
	// router admits requests and selects their endpoints.
	router *router
}

// run sends a request to an endpoint. It repeats the request only if it did not run or is idempotent.
func (d dispatcher) run(ctx context.Context, r fold.Request, share float64) (fold.Reply, error) {
	deadline := d.clock.Now().Add(r.Timeout)
	t, err := d.router.enqueue(d.clock.Now(), requestParams{account: r.Account, share: share, urgent: r.Urgent, deadline: deadline})
	if err != nil {
		return fold.Reply{}, err
	}
	// Only admitted requests ask for a claim. They do so while they wait for an endpoint.
	if !r.Idempotent {
		if err := d.claim(ctx, r.Account, r.ID, r.Issued); err != nil {
			d.router.abandon(d.clock.Now(), t)
			return fold.Reply{}, err
		}
	}
	var unknown error
	for try := range maxTries {
		in, err := d.awaitEndpoint(ctx, t)
		if err != nil {
			return fold.Reply{}, firstError(unknown, err)
		}
		if err := d.router.recheckDeadline(d.clock.Now(), t); err != nil {
			return fold.Reply{}, firstError(unknown, err)
		}
		reply, err := d.send(ctx, in, r.WithTimeout(deadline.Sub(d.clock.Now())))
		if err == nil {
			return reply, nil
		}
		if !fold.DidNotRun(err) {
			unknown = err
		}
		if !d.requeue(ctx, t, in, r, err, try) {
			return fold.Reply{}, firstError(unknown, err)
		}
	}
	return fold.Reply{}, firstError(unknown, fold.Refuse(fold.Overload, "retry later", "endpoints refused the request %d times", maxTries))
}

// awaitEndpoint waits until a request gets an endpoint or is refused, at most until its deadline.
func (d dispatcher) awaitEndpoint(ctx context.Context, t *queuedRequest) (fold.Instance, error) {
	d.scheduleWakeup()
	select {
	case <-t.ready:
	default:
		select {
		case <-t.ready:
		case <-d.clock.After(t.params.deadline.Sub(d.clock.Now())):
			d.router.abandon(d.clock.Now(), t)
			return fold.Instance{}, fold.Refuse(fold.Overload, "retry with a later deadline", "no endpoint was free before the deadline")
		case <-ctx.Done():
			d.router.abandon(d.clock.Now(), t)
			return fold.Instance{}, fold.Refuse(fold.Overload, "retry", "the caller closed the request")
		}
	}
	return t.endpoint, t.err
}

// scheduleWakeup schedules a wakeup of the router for the time at which a paused endpoint may be tried again.
func (d dispatcher) scheduleWakeup() {
	now := d.clock.Now()
	d.router.mu.Lock()
	delay, needed := d.router.wakeupDelay(now)
	d.router.mu.Unlock()
	if !needed {
		return
	}
	go func() {
		<-d.clock.After(delay)
		d.router.mu.Lock()
		d.router.onWakeup(d.clock.Now())
		d.router.mu.Unlock()
		d.scheduleWakeup()
	}()
}

// send sends a request to an endpoint and releases the endpoint afterwards.
func (d dispatcher) send(ctx context.Context, in fold.Instance, r fold.Request) (fold.Reply, error) {
	report := route.Report{Outcome: route.Abandoned}
	defer func() {
		d.router.release(d.clock.Now(), in.Name, report)
		d.scheduleWakeup()
	}()
	if err := d.fresh(); err != nil {
		return fold.Reply{}, err
	}
	if ctx.Err() != nil {
		return fold.Reply{}, fold.Refuse(fold.Overload, "retry", "the caller closed the request")
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

// reportOf returns the report to the routing table about a call to an endpoint.
func reportOf(caller, sent context.Context, reply fold.Reply, err error, took time.Duration) route.Report {
	report := route.Report{Running: reply.Running, Slots: reply.Slots, Took: took}
	switch {
	case err == nil && reply.Status < http.StatusInternalServerError:
		report.Outcome = route.Served
	case err == nil:
		report.Outcome = route.Failed
	case errorx.IsOfType(err, fold.Unavailable):
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

// requeue queues a request for another attempt. It reports false if the request may not be repeated.
func (d dispatcher) requeue(ctx context.Context, t *queuedRequest, in fold.Instance, r fold.Request, err error, try int) bool {
	notRun := fold.DidNotRun(err)
	if ctx.Err() != nil || (!notRun && !r.Idempotent) {
		return false
	}
	t.avoid[in.Name] = true
	if !notRun {
		d.backoff(ctx, t, try)
	}
	now := d.clock.Now()
	return now < t.params.deadline && d.router.retry(now, t, notRun)
}

// backoff waits a random time before a retry, so that requests which failed together are not retried together.
func (d dispatcher) backoff(ctx context.Context, t *queuedRequest, try int) {
	pause := time.Duration(rand.Float64() * 2 * float64(firstBackoff<<try))
	select {
	case <-d.clock.After(min(pause, t.params.deadline.Sub(d.clock.Now()))):
	case <-ctx.Done():
	}
}

// firstError prefers an earlier unknown outcome, because a later refusal does not prove that the request did not run.
func firstError(earlier, later error) error {
	if earlier != nil {
		return earlier
	}
	return later
}
