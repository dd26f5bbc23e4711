package app

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"plantainfold.example/fold"
	"plantainfold.example/fold/flow"
	"plantainfold.example/platform/stand"
)

const (
	// answerTimeout is how long a caller waits for an answer.
	answerTimeout = 3 * time.Second
	// maxSubmissions is how often a caller submits a job at most.
	maxSubmissions = 5
	// pollInterval is the time between two requests of a caller for the state of its job.
	pollInterval = 400 * time.Millisecond
	// retryDelay is the time before a caller repeats a submission that got no answer.
	retryDelay = 200 * time.Millisecond
	// requestReadTime is the time after which a sent request counts as read by the entry.
	requestReadTime = 150 * time.Millisecond
	// promptCancel is the longest time between the acceptance of a job and its cancellation while many jobs are cancelled.
	promptCancel = 300 * time.Millisecond
)

// callers submit jobs, ask for their states and cancel some of them.
type callers struct {
	env     *environment
	entries []*entry
	// client leaves idle connections open until the entry closes them.
	client *http.Client
	group  sync.WaitGroup
	// stop ends the callers of all jobs.
	stop context.Context
	// cancelSoon is set while callers cancel each new job within promptCancel of its acceptance.
	cancelSoon atomic.Bool

	mu sync.Mutex
	// accepted holds the ids of the jobs whose submission was answered with status 200, and ended holds the ids of the jobs
	// that were seen in a final state.
	accepted, ended            map[string]bool
	jobs, refusals, unanswered int
}

func newCallers(stop context.Context, env *environment, entries []*entry) *callers {
	return &callers{
		stop: stop, env: env, entries: entries, accepted: make(map[string]bool), ended: make(map[string]bool),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 32}},
	}
}

// sendJobs submits the jobs of a class at its rate until ctx ends. Each caller goes on until its job has ended or stop is
// done.
func (c *callers) sendJobs(ctx, stop context.Context, class int, seed uint64) {
	random := rand.New(rand.NewPCG(seed, uint64(class)))
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Duration(random.ExpFloat64() / c.env.workload.Classes[class].Rate * float64(time.Second))):
		}
		spec := c.env.live.DrawJob(class)
		firstEntry := random.IntN(len(c.entries))
		cancelAfter := time.Duration(0)
		if cl := c.env.workload.Classes[class]; cl.LongRunning || random.Float64() < cl.CancelShare {
			cancelAfter = time.Second + time.Duration(random.Int64N(int64(max(cl.CancelAfter, longRunningTime))))
		}
		if c.cancelSoon.Load() {
			cancelAfter = time.Duration(1 + random.Int64N(int64(promptCancel)))
		}
		c.group.Go(func() { c.followJob(stop, class, spec, firstEntry, cancelAfter) })
	}
}

// callerFor returns a caller of the team that submits the job.
func (c *callers) callerFor(j flow.Job) stand.Caller {
	team := slices.IndexFunc(c.env.workload.Teams, func(t fold.TeamRule) bool { return t.Name == j.Team })
	return stand.Caller{HTTP: c.client, Key: c.env.workload.Teams[team].Keys[0], Host: queueHost, Timeout: answerTimeout}
}

// followJob submits a job, first to the entry with index entryIndex, and asks for its state until it has ended. Unless
// cancelAfter is 0, it cancels the job after that time.
func (c *callers) followJob(ctx context.Context, class int, j flow.Job, entryIndex int, cancelAfter time.Duration) {
	path := c.env.workload.Classes[class].Queue.Prefix + j.ID
	if !c.submit(ctx, j, path, &entryIndex) {
		return
	}
	acceptedAt := time.Now()
	cancelled := false
	for ctx.Err() == nil {
		if cancelAfter > 0 && !cancelled && time.Since(acceptedAt) > cancelAfter {
			c.env.live.RecordCancelSent(j.ID)
			reply, err := c.send(entryIndex, func(address string) (stand.Reply, error) { return c.callerFor(j).Cancel(ctx, address, path) })
			if cancelled = err == nil && reply.Status == http.StatusOK; cancelled {
				c.env.live.RecordCancelled(j.ID)
			} else {
				entryIndex = (entryIndex + 1) % len(c.entries)
			}
		}
		reply, err := c.send(entryIndex, func(address string) (stand.Reply, error) { return c.callerFor(j).State(ctx, address, path) })
		switch {
		case err != nil || reply.Status >= http.StatusInternalServerError:
			entryIndex = (entryIndex + 1) % len(c.entries)
		case reply.Status == http.StatusGone:
			c.env.live.AddViolation("LOST", "job %s was accepted but is no longer known", j.ID)
			return
		case reply.Status == http.StatusOK:
			c.env.live.RecordShown(j.ID, reply.State)
			if reply.State.Final() {
				c.mu.Lock()
				c.ended[j.ID] = true
				c.mu.Unlock()
				return
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(pollInterval):
		}
	}
}

// submit submits a job to one entry after the other, at most maxSubmissions times, and reports whether it was accepted. It
// leaves the index of the entry that accepted the job in entryIndex.
func (c *callers) submit(ctx context.Context, j flow.Job, path string, entryIndex *int) bool {
	uncertain := false
	c.update(func() { c.jobs++ })
	for range maxSubmissions {
		reply, err := c.send(*entryIndex, func(address string) (stand.Reply, error) { return c.callerFor(j).Submit(ctx, address, path, j) })
		switch {
		case err == nil && reply.Status == http.StatusOK:
			c.update(func() { c.accepted[j.ID] = true })
			c.env.live.RecordAccepted(j.ID)
			return true
		case err == nil && (reply.Status == http.StatusServiceUnavailable || reply.Status == http.StatusTooManyRequests):
			c.update(func() { c.refusals++ })
			time.Sleep(reply.RetryAfter)
		default:
			uncertain = true
			c.update(func() { c.unanswered++ })
			time.Sleep(retryDelay)
		}
		*entryIndex = (*entryIndex + 1) % len(c.entries)
	}
	if !uncertain {
		c.env.live.RecordRefused(j.ID)
	}
	return false
}

// update calls fn with the lock held.
func (c *callers) update(fn func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	fn()
}

// send makes a call to an entry. It checks that an entry does not abort a request because it was told to stop.
func (c *callers) send(entryIndex int, call func(address string) (stand.Reply, error)) (stand.Reply, error) {
	e := c.entries[entryIndex]
	sent := time.Now()
	stopping, noFault := e.stopping(), c.env.live.NoRecentFault()
	reply, err := call(e.callerProxy.address())
	if err == nil {
		return reply, nil
	}
	timedOut := errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled)
	if (stopping || e.stopping()) && noFault && c.env.live.NoRecentFault() && !timedOut && time.Since(sent) > requestReadTime {
		c.env.live.AddViolation("CUT", "entry %s aborted a request after %s while it was stopping: %v", e.settings.Name, time.Since(sent), err)
	}
	return reply, err
}
