package app

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"plantainfold.example/fold"
	"plantainfold.example/fold/flow"
	"plantainfold.example/platform/stand"
)

const (
	// budget is how long a caller waits for an answer, tries how often it sends a request.
	budget = 3 * time.Second
	tries  = 5
	// askEvery is how often a caller asks for the state of its job.
	askEvery = 400 * time.Millisecond
	// retryPause separates tries without an answer.
	retryPause = 200 * time.Millisecond
	// cutAfter is how long a request must have been under way to count as read by the entry.
	cutAfter = 150 * time.Millisecond
)

// callers hand jobs in, follow them and cancel some.
type callers struct {
	world   *world
	entries []*entry
	// client keeps connections open until their entry closes them.
	client *http.Client
	group  sync.WaitGroup

	mu sync.Mutex
	// accepted are the jobs with a 2xx, final those that were seen in a final state.
	accepted, final        map[string]bool
	jobs, refusals, unsure int
}

func newCallers(w *world, entries []*entry) *callers {
	return &callers{
		world: w, entries: entries, accepted: make(map[string]bool), final: make(map[string]bool),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 32}},
	}
}

// run sends the jobs of a class at its rate until ctx ends; the callers go on until their jobs have ended or stop is done.
func (c *callers) run(ctx, stop context.Context, class int, seed uint64) {
	random := rand.New(rand.NewPCG(seed, uint64(class)))
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Duration(random.ExpFloat64() / c.world.day.Classes[class].Rate * float64(time.Second))):
		}
		spec := c.world.live.DrawJob(class)
		at := random.IntN(len(c.entries))
		stay := time.Duration(0)
		if cl := c.world.day.Classes[class]; cl.LongRunning || random.Float64() < cl.CancelShare {
			stay = time.Second + time.Duration(random.Int64N(int64(8*time.Second)))
		}
		c.group.Go(func() { c.follow(stop, class, spec, at, stay) })
	}
}

// caller makes calls for the team of a job.
func (c *callers) caller(j flow.Job) stand.Caller {
	team := slices.IndexFunc(c.world.day.Teams, func(t fold.TeamRule) bool { return t.Name == j.Team })
	return stand.Caller{HTTP: c.client, Key: c.world.day.Teams[team].Keys[0], Host: queueHost, Timeout: budget}
}

// follow hands a job in and asks for its state until it has ended; after stay it cancels the job.
func (c *callers) follow(ctx context.Context, class int, j flow.Job, at int, stay time.Duration) {
	path := c.world.day.Classes[class].Queue.Prefix + j.ID
	if !c.submit(ctx, j, path, &at) {
		return
	}
	began := time.Now()
	cancelled := false
	for ctx.Err() == nil {
		if stay > 0 && !cancelled && time.Since(began) > stay {
			c.world.live.RecordCancelSent(j.ID)
			reply, err := c.send(at, func(address string) (stand.Reply, error) { return c.caller(j).Cancel(ctx, address, path) })
			if cancelled = err == nil && reply.Status == http.StatusOK; cancelled {
				c.world.live.RecordCancelled(j.ID)
			} else {
				at = (at + 1) % len(c.entries)
			}
		}
		reply, err := c.send(at, func(address string) (stand.Reply, error) { return c.caller(j).State(ctx, address, path) })
		switch {
		case err != nil || reply.Status >= http.StatusInternalServerError:
			at = (at + 1) % len(c.entries)
		case reply.Status == http.StatusGone:
			c.world.live.AddViolation("LOST", "job %s was accepted and is not known", j.ID)
			return
		case reply.Status == http.StatusOK:
			c.world.live.RecordShown(j.ID, reply.State)
			if reply.State.Final() {
				c.mu.Lock()
				c.final[j.ID] = true
				c.mu.Unlock()
				return
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(askEvery):
		}
	}
}

// submit sends a job until it is accepted and reports whether it was.
func (c *callers) submit(ctx context.Context, j flow.Job, path string, at *int) bool {
	unsure := false
	c.count(func() { c.jobs++ })
	for range tries {
		reply, err := c.send(*at, func(address string) (stand.Reply, error) { return c.caller(j).Submit(ctx, address, path, j) })
		switch {
		case err == nil && reply.Status == http.StatusOK:
			c.count(func() { c.accepted[j.ID] = true })
			return true
		case err == nil && (reply.Status == http.StatusServiceUnavailable || reply.Status == http.StatusTooManyRequests):
			c.count(func() { c.refusals++ })
			time.Sleep(reply.RetryAfter)
		default:
			unsure = true
			c.count(func() { c.unsure++ })
			time.Sleep(retryPause)
		}
		*at = (*at + 1) % len(c.entries)
	}
	if !unsure {
		c.world.live.RecordRefused(j.ID)
	}
	return false
}

func (c *callers) count(fn func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	fn()
}

// send makes a call to an entry and checks that an entry that was told to stop does not break it off.
func (c *callers) send(at int, call func(address string) (stand.Reply, error)) (stand.Reply, error) {
	e := c.entries[at]
	sent := time.Now()
	stopping, calm := e.stopping(), c.world.live.NoRecentFault()
	reply, err := call(e.callers.address())
	if err == nil {
		return reply, nil
	}
	timedOut := errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled)
	if (stopping || e.stopping()) && calm && c.world.live.NoRecentFault() && !timedOut && time.Since(sent) > cutAfter {
		c.world.live.AddViolation("CUT", "entry %s broke a request off after %s while it was told to stop: %v", e.settings.Name, time.Since(sent), err)
	}
	return reply, err
}
