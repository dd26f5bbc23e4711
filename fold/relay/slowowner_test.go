package relay_test

import (
	"context"
	"flag"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"plantainfold.example/fold"
	"plantainfold.example/fold/core"
	"plantainfold.example/fold/drive"
	"plantainfold.example/fold/flow"
	"plantainfold.example/fold/plat"
	"plantainfold.example/fold/relay"
)

var slowSeeds = flag.Uint64("slowseeds", 1, "number of runs with each range of delays")

// delays are the delays between an owner and its relays.
type delays struct {
	// shortest and longest limit the delay of a message in one direction.
	shortest, longest time.Duration
	// handler is how long the owner takes before it handles an event message.
	handler time.Duration
	// stalled is the percentage of messages that are on their way for stallTime.
	stalled int
}

func (d delays) String() string {
	return fmt.Sprintf("%d to %d ms, handler %d ms, %d%% stalled", d.shortest.Milliseconds(), d.longest.Milliseconds(), d.handler.Milliseconds(), d.stalled)
}

// steady reports whether all messages are equally late and a round trip takes less time than a permission lasts.
func (d delays) steady() bool {
	return d.shortest == d.longest && d.stalled == 0 && 2*d.longest+d.handler < permitDuration
}

// part returns n parts of the delays.
func (d delays) part(n, parts int) delays {
	share := func(d time.Duration) time.Duration { return d * time.Duration(n) / time.Duration(parts) }
	return delays{shortest: share(d.shortest), longest: share(d.longest), handler: share(d.handler), stalled: d.stalled * n / parts}
}

// constant returns a delay that is the same for all messages.
func constant(d time.Duration) delays { return delays{shortest: d, longest: d} }

// slowLinks are the links between an owner and its relays. They count what becomes of orders.
type slowLinks struct {
	seed uint64
	// driver is the owner, once ready is closed.
	driver *drive.Driver
	ready  chan struct{}

	mu     sync.Mutex
	delays delays
	// opened counts the sessions that were opened.
	opened int
	// late counts the orders that were refused because of their age, and unpermitted those refused without permission.
	late, unpermitted int
}

// deliver waits until a message has passed a link in one direction. Its delay depends only on the seed, the link and the time.
func (l *slowLinks) deliver(link string) {
	l.mu.Lock()
	d := l.delays
	l.mu.Unlock()
	h := fnv.New64a()
	_, _ = fmt.Fprint(h, link, time.Now().UnixNano())
	random := rand.New(rand.NewPCG(h.Sum64(), l.seed))
	if spread := d.longest - d.shortest; spread > 0 {
		d.shortest += time.Duration(random.Int64N(int64(spread)))
	}
	if random.IntN(100) < d.stalled {
		d.shortest = stallTime
	}
	time.Sleep(d.shortest)
}

// carry passes a call and its answer over a link. A call that the caller gives up still arrives.
func carry[T any](ctx context.Context, l *slowLinks, link string, call func() T) (T, error) {
	answer := make(chan T, 1)
	go func() {
		<-l.ready
		l.deliver(link)
		out := call()
		l.deliver(link)
		answer <- out
	}()
	select {
	case <-ctx.Done():
		var none T
		return none, fold.Unknown.Wrap(ctx.Err(), "no answer")
	case out := <-answer:
		return out, nil
	}
}

// count counts the refused orders.
func (l *slowLinks) count(events relay.Events) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range events.Results {
		err := r.Failed.Err()
		switch {
		case err == nil:
		case strings.Contains(err.Error(), "may be"):
			l.late++
		case strings.Contains(err.Error(), "permission"):
			l.unpermitted++
		}
	}
}

// sessionsOpened returns how many sessions were opened.
func (l *slowLinks) sessionsOpened() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.opened
}

// slowEntry is an entry that runs a relay behind slow links.
type slowEntry struct {
	id    string
	pool  *leasedPool
	links *slowLinks

	mu       sync.Mutex
	sessions []*relay.Session
}

var _ drive.RelayEntry = &slowEntry{}

func (e *slowEntry) Name() string   { return e.id }
func (e *slowEntry) Domain() string { return "" }
func (e *slowEntry) Capacity() int  { return 8 }

func (e *slowEntry) OpenSession(ctx context.Context, epoch int64, session uint64, stamp fold.Instant) error {
	_, err := carry(ctx, e.links, e.id+"/open", func() bool {
		e.links.mu.Lock()
		e.links.opened++
		e.links.mu.Unlock()
		e.mu.Lock()
		defer e.mu.Unlock()
		if n := len(e.sessions); n > 0 {
			go func(old *relay.Session) { _ = old.Close() }(e.sessions[n-1])
		}
		e.sessions = append(e.sessions, relay.Open(relay.Parts{
			Runner: poolRunner{pool: e.pool, entry: e.id}, Clock: e.pool.clock, Logger: hclog.NewNullLogger(), Meter: noMeter{}, Epoch: epoch, Lease: leaseTime,
		}, slowOwner{link: e.id, links: e.links, session: session}, stamp, func() bool { return false }))
		return true
	})
	return err
}

func (e *slowEntry) close() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range e.sessions {
		_ = s.Close()
	}
}

// slowOwner is a relay's connection to the owner.
type slowOwner struct {
	link    string
	links   *slowLinks
	session uint64
}

var _ relay.Owner = slowOwner{}

func (o slowOwner) Orders(ctx context.Context, last uint64) (relay.Batch, error) {
	return carry(ctx, o.links, o.link+"/orders", func() relay.Batch { return o.links.driver.Orders(ctx, o.session, last) })
}

func (o slowOwner) SendEvents(ctx context.Context, number, last uint64, events relay.Events, leaving bool) (relay.Permit, error) {
	o.links.count(events)
	return carry(ctx, o.links, o.link+"/events", func() relay.Permit {
		o.links.mu.Lock()
		handler := o.links.delays.handler
		o.links.mu.Unlock()
		time.Sleep(handler)
		return o.links.driver.HandleEvents(o.session, number, last, events, leaving)
	})
}

const (
	// stallTime is how long a stalled message is on its way.
	stallTime = 3 * time.Second
	// maxIdle is how long a job may have nothing running although its task fits.
	maxIdle = 3 * time.Second
	// slowTime is how long it takes until the links are as slow as they become, and slowSteps is the number of steps.
	slowTime  = 3 * time.Second
	slowSteps = 6
	// drainTime is longer than any message is on its way.
	drainTime = 10 * time.Second
)

// slowRun is what became of jobs that were submitted while the links were slow.
type slowRun struct {
	jobs int
	// idle counts the jobs with nothing running for longer than maxIdle, and waiting those that have not started at all.
	idle, waiting int
	// mean and slowest are times from submission to start.
	mean, slowest time.Duration
	stats         core.Stats
	// late and unpermitted count the orders that relays refused. reopened counts the sessions opened while the links were slow.
	late, unpermitted, reopened int
	// local is the percentage of the time for which the owner supervised a host itself.
	local int
	twice []string
}

func (r slowRun) String() string {
	return fmt.Sprintf("idle>3s %3d, never started %2d of %d, mean %5d ms, slowest %5d ms, starts %4d, refused %4d (late %3d, no permission %3d), sessions reopened %2d, hosts at the owner %3d%%",
		r.idle, r.waiting, r.jobs, r.mean.Milliseconds(), r.slowest.Milliseconds(), r.stats.Starts, r.stats.Refused, r.late, r.unpermitted, r.reopened, r.local)
}

// runSlowly submits jobs with one task each while the links between an owner and its relays are slow. They become slow
// step by step after the sessions were opened.
func runSlowly(t *testing.T, slow delays, seed uint64) slowRun {
	t.Helper()
	const hosts, jobs, samplesPerJob, sample = 24, 100, 5, 20 * time.Millisecond
	var ids []string
	for n := range hosts {
		ids = append(ids, fmt.Sprintf("host-%02d", n))
	}
	p, links := newLeasedPool(ids...), &slowLinks{seed: seed, ready: make(chan struct{})}
	var entries []*slowEntry
	var relays []drive.RelayEntry
	for n := range 6 {
		e := &slowEntry{id: fmt.Sprintf("entry-%d", n), pool: p, links: links}
		entries, relays = append(entries, e), append(relays, e)
	}
	table := plat.NewTable()
	driver, _, stop := startOwner(t, p, table, table, 2, relays...)
	links.driver = driver
	close(links.ready)
	defer func() {
		stop()
		time.Sleep(drainTime)
		for _, e := range entries {
			e.close()
		}
		time.Sleep(drainTime)
	}()
	time.Sleep(3 * time.Second)
	opened := links.sessionsOpened()
	for n := range slowSteps {
		links.mu.Lock()
		links.delays = slow.part(n+1, slowSteps)
		links.mu.Unlock()
		time.Sleep(slowTime / slowSteps)
	}
	time.Sleep(2 * maxIdle)
	out := slowRun{jobs: jobs}
	submitted, started := make(map[string]time.Time), make(map[string]time.Duration)
	local, samples := 0, 0
	watch := func(count int) {
		for range count {
			time.Sleep(sample)
			for id, at := range submitted {
				if _, ok := started[id]; !ok && p.hostOf(id+".0.0.0") != "" {
					started[id] = time.Since(at)
				}
			}
			p.mu.Lock()
			for _, id := range ids {
				samples++
				if p.caller[id] == "owner" {
					local++
				}
			}
			p.mu.Unlock()
		}
	}
	for n := range jobs {
		j := flow.Job{ID: fmt.Sprintf("%016x", n+1), Team: "crews", Queue: taskQueue, Steps: []flow.Step{{Count: 1, Size: fold.Resources{CPU: 50, Memory: 1}, Estimate: 600000}}, Accepted: time.Now().UnixMilli()}
		submitted[j.ID] = time.Now()
		if _, err := driver.Submit(t.Context(), j, fold.Check{}); err != nil {
			t.Fatal(err)
		}
		watch(samplesPerJob)
	}
	watch(int(2 * maxIdle / sample))
	for id := range submitted {
		took, ok := started[id]
		if !ok {
			out.waiting++
		}
		if !ok || took > maxIdle {
			out.idle++
		}
		out.mean += took / time.Duration(jobs)
		out.slowest = max(out.slowest, took)
	}
	out.stats, _, _ = driver.Stats()
	out.local = 100 * local / samples
	out.reopened = links.sessionsOpened() - opened
	p.mu.Lock()
	defer p.mu.Unlock()
	links.mu.Lock()
	defer links.mu.Unlock()
	out.late, out.unpermitted, out.twice = links.late, links.unpermitted, p.twice
	return out
}

// Guards against relays that hold hosts but do not carry orders: answers between the owner and its relays take hundreds of
// milliseconds, the relays refuse orders as too old or without permission, and work does not start although hosts have room. Also
// guards against sessions that end although both sides live, so that the owner has to supervise all hosts itself.
func TestWorkStartsOverSlowLinks(t *testing.T) {
	const ms = time.Millisecond
	cases := []delays{
		constant(50 * ms), constant(100 * ms), constant(200 * ms), constant(250 * ms), constant(300 * ms), constant(400 * ms), constant(600 * ms),
		{longest: 400 * ms},
		{longest: 600 * ms},
		{shortest: 100 * ms, longest: 500 * ms},
		{shortest: 200 * ms, longest: 400 * ms},
		{shortest: 200 * ms, longest: 600 * ms},
		{shortest: ms, longest: ms, handler: 300 * ms},
		{shortest: ms, longest: ms, handler: 600 * ms},
		{shortest: ms, longest: ms, handler: 800 * ms},
		{shortest: ms, longest: ms, handler: 1200 * ms},
		{longest: 50 * ms, stalled: 10},
		{longest: 400 * ms, stalled: 10},
	}
	for _, c := range cases {
		seeds := uint64(1)
		if c.longest > c.shortest {
			seeds = *slowSeeds
		}
		for seed := uint64(1); seed <= seeds; seed++ {
			t.Run(fmt.Sprintf("%s, seed %d", c, seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					r := runSlowly(t, c, seed)
					t.Log(r)
					if r.idle > 0 {
						t.Errorf("%d of %d jobs had nothing running for more than %s", r.idle, r.jobs, maxIdle)
					}
					if c.steady() && r.reopened > 0 {
						t.Errorf("%d sessions were opened again although messages arrived in time", r.reopened)
					}
					for _, s := range r.twice {
						t.Error(s)
					}
				})
			})
		}
	}
}
