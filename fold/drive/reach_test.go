package drive_test

import (
	"context"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"plantainfold.example/fold"
	"plantainfold.example/fold/drive"
	"plantainfold.example/fold/flow"
	"plantainfold.example/fold/plat"
	"plantainfold.example/fold/relay"
)

// linkedHosts are hosts whose runs end with their lease, and which each entry may or may not reach.
type linkedHosts struct {
	*fakeHosts

	links sync.Mutex
	// reaches reports whether an entry reaches the address of a host, which is the id of the host at first.
	reaches func(entry, address string) bool
	// leaseEnds holds the end of the lease of each host, on its clock. answered holds when it last answered a Hold call.
	leaseEnds map[string]int64
	answered  map[string]time.Time
	// answeredTo holds the entry that got this answer.
	answeredTo map[string]string
	// fruitless counts, by entry, the Hold calls that reach no host.
	fruitless map[string]int
	// twice describes runs of a task beside each other.
	twice []string
}

func newLinkedHosts(count int) *linkedHosts {
	return &linkedHosts{
		fakeHosts: newFakeHosts(count, time.Hour), reaches: func(string, string) bool { return true }, leaseEnds: make(map[string]int64),
		answered: make(map[string]time.Time), answeredTo: make(map[string]string), fruitless: make(map[string]int),
	}
}

func (l *linkedHosts) setLinks(reaches func(entry, host string) bool) {
	l.links.Lock()
	defer l.links.Unlock()
	l.reaches = reaches
}

// link reports whether an entry reaches an address now.
func (l *linkedHosts) link(entry, address string) bool {
	l.links.Lock()
	defer l.links.Unlock()
	return l.reaches(entry, address)
}

// renew ends the runs of a host whose lease has expired, and extends the lease.
func (l *linkedHosts) renew(host string, until int64) {
	l.links.Lock()
	defer l.links.Unlock()
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Since(l.began).Milliseconds() + 1
	if now > l.leaseEnds[host] {
		clear(l.runs[host])
	}
	if until > 0 {
		l.leaseEnds[host] = max(l.leaseEnds[host], min(until, now+(6*time.Second).Milliseconds()))
	}
}

// checkOnce records that a task starts on a host while it runs on another one.
func (l *linkedHosts) checkOnce(host string, q fold.StartRequest) {
	l.links.Lock()
	defer l.links.Unlock()
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Since(l.began).Milliseconds() + 1
	for other, runs := range l.runs {
		if r, ok := runs[q.Task]; ok && other != host && now <= l.leaseEnds[other] {
			l.twice = append(l.twice, fmt.Sprintf("run %d of %s starts on %s while run %d on %s has a lease for %d ms more", q.Run, q.Task, host, r.Run, other, l.leaseEnds[other]-now))
		}
	}
}

// unanswered returns the hosts that have not answered for a while.
func (l *linkedHosts) unanswered(limit time.Duration) []string {
	l.links.Lock()
	defer l.links.Unlock()
	var ids []string
	for i := range l.count {
		if id := fmt.Sprintf("host-%02d", i); time.Since(l.answered[id]) > limit {
			ids = append(ids, id)
		}
	}
	return ids
}

// fruitlessCalls returns the number of Hold calls of an entry that reached no host.
func (l *linkedHosts) fruitlessCalls(entry string) int {
	l.links.Lock()
	defer l.links.Unlock()
	return l.fruitless[entry]
}

// running returns the number of hosts on which a run of the job has a lease.
func (l *linkedHosts) running(job string) int {
	l.links.Lock()
	defer l.links.Unlock()
	l.mu.Lock()
	defer l.mu.Unlock()
	now, count := time.Since(l.began).Milliseconds()+1, 0
	for host, runs := range l.runs {
		for task := range runs {
			if name, _ := flow.ParseTaskName(task); name.Job == job && now <= l.leaseEnds[host] {
				count++
				break
			}
		}
	}
	return count
}

// linkedRunner calls the hosts through the links of one entry.
type linkedRunner struct {
	*linkedHosts
	entry string
}

func (r linkedRunner) Hold(ctx context.Context, h fold.Host, q fold.HoldRequest) (fold.HoldReply, error) {
	if !r.link(r.entry, h.Address) {
		r.links.Lock()
		r.fruitless[r.entry]++
		r.links.Unlock()
		<-ctx.Done()
		return fold.HoldReply{}, fold.Unknown.Wrap(ctx.Err(), "no answer")
	}
	r.renew(h.ID, q.LeaseEnd)
	reply, err := r.fakeHosts.Hold(ctx, h, q)
	if err == nil && !r.link(r.entry, h.Address) {
		<-ctx.Done()
		return fold.HoldReply{}, fold.Unknown.Wrap(ctx.Err(), "no answer")
	}
	if err == nil {
		r.links.Lock()
		r.answered[h.ID], r.answeredTo[h.ID] = time.Now(), r.entry
		r.links.Unlock()
	}
	return reply, err
}

func (r linkedRunner) Start(ctx context.Context, h fold.Host, q fold.StartRequest) error {
	if !r.link(r.entry, h.Address) {
		<-ctx.Done()
		return fold.Unknown.Wrap(ctx.Err(), "no answer")
	}
	r.renew(h.ID, q.LeaseEnd)
	r.checkOnce(h.ID, q)
	return r.fakeHosts.Start(ctx, h, q)
}

func (r linkedRunner) Stop(ctx context.Context, h fold.Host, task string, run int, _ int64) error {
	if !r.link(r.entry, h.Address) {
		<-ctx.Done()
		return fold.Unknown.Wrap(ctx.Err(), "no answer")
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.runs[h.ID][task].Run == run {
		delete(r.runs[h.ID], task)
	}
	return nil
}

// linkedEntry is an entry that runs a relay with links of its own to the hosts.
type linkedEntry struct {
	*relayEntry
	hosts    *linkedHosts
	capacity int
	// delay is how much longer than usual calls to the owner and their answers are on their way.
	delay time.Duration
}

// distantConn is a connection to the owner on which calls and answers are delayed.
type distantConn struct {
	ownerConn
	delay time.Duration
}

func (c distantConn) Orders(ctx context.Context, got uint64) (relay.Batch, error) {
	time.Sleep(c.delay)
	defer time.Sleep(c.delay)
	return c.ownerConn.Orders(ctx, got)
}

func (c distantConn) SendEvents(ctx context.Context, number, got uint64, news relay.Events, leaving bool) (relay.Permit, error) {
	time.Sleep(c.delay)
	defer time.Sleep(c.delay)
	return c.ownerConn.SendEvents(ctx, number, got, news, leaving)
}

func (e *linkedEntry) Capacity() int { return e.capacity }

func (e *linkedEntry) OpenSession(ctx context.Context, epoch int64, session uint64, stamp fold.Instant) error {
	if !e.deliver(ctx) {
		return fold.Unknown.New("the connection is cut")
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.session != nil {
		go func(old *relay.Session) { _ = old.Close() }(e.session)
	}
	e.session = relay.Open(relay.Parts{Runner: linkedRunner{e.hosts, e.id}, Clock: clock{}, Logger: e.log, Meter: noMeter{}, Epoch: epoch, Lease: 6 * time.Second},
		distantConn{ownerConn{entry: e.relayEntry, driver: e.driver, session: session}, e.delay}, stamp, func() bool { return e.flagged(&e.leaving) })
	return nil
}

// startLinkedOwner starts an owner that supervises at most four hosts itself, and relays.
func startLinkedOwner(t *testing.T, hosts *linkedHosts, relays, capacity int, roster fold.Roster, delay time.Duration) *drive.Driver {
	t.Helper()
	var entries []*linkedEntry
	var listed []drive.RelayEntry
	ready := make(chan struct{})
	for n := range relays {
		e := &linkedEntry{relayEntry: &relayEntry{id: fmt.Sprintf("entry-%d", n), log: hclog.NewNullLogger()}, hosts: hosts, capacity: capacity, delay: delay}
		entries, listed = append(entries, e), append(listed, e)
	}
	table := plat.NewTable()
	t.Cleanup(func() {
		for _, e := range entries {
			e.kill()
		}
	})
	d := startDriver(t, table, table, hosts.fakeHosts, func(p *drive.Parts) {
		p.Runner, p.Roster, p.RelayCapacity = linkedRunner{hosts, "owner"}, roster, 4
		p.RelayEntries = func() []drive.RelayEntry {
			select {
			case <-ready:
				return listed
			default:
				return nil
			}
		}
	})
	for _, e := range entries {
		e.mu.Lock()
		e.driver = d
		e.mu.Unlock()
	}
	close(ready)
	return d
}

// lastingJob is a job of long-running tasks that spread over hosts.
func lastingJob(n, tasks int) flow.Job {
	j := testJob(n, tasks)
	j.Steps[0].LongRunning, j.Steps[0].PerHost = true, 1
	return j
}

func submitJob(t *testing.T, d *drive.Driver, j flow.Job) {
	t.Helper()
	if _, err := d.Submit(t.Context(), j, fold.Check{}); err != nil {
		t.Fatal(err)
	}
}

func (l *linkedHosts) expectOnce(t *testing.T) {
	t.Helper()
	l.links.Lock()
	defer l.links.Unlock()
	for _, s := range l.twice {
		t.Error(s)
	}
}

// onlyLinks draws, for each host, the relay that is the only entry to reach it.
func onlyLinks(random *rand.Rand, hosts, relays int) func(entry, host string) bool {
	only := make(map[string]string)
	for i, n := range random.Perm(hosts) {
		only[fmt.Sprintf("host-%02d", n)] = fmt.Sprintf("entry-%d", i%relays)
	}
	return func(entry, host string) bool { return only[host] == entry }
}

// Guards against hosts that stay without work for good although an entry reaches them: neither the entry that supervises them
// nor the one that the owner tries next reaches them.
func TestHostsThatOneRelayReaches(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const count, relays = 24, 5
				hosts := newLinkedHosts(count)
				hosts.setLinks(onlyLinks(rand.New(rand.NewPCG(seed, 11)), count, relays))
				d := startLinkedOwner(t, hosts, relays, 10, hosts.fakeHosts, 0)
				submitJob(t, d, lastingJob(0, count))
				time.Sleep(10 * time.Second)
				if left := hosts.unanswered(3 * time.Second); len(left) > 0 {
					t.Errorf("after 10 s, %d of %d hosts do not answer the owner although a relay reaches each: %v", len(left), count, left)
				}
				if n := hosts.running(lastingJob(0, count).ID); n != count {
					t.Errorf("after 10 s, %d of %d hosts have work", n, count)
				}
				time.Sleep(2 * time.Minute)
				if left := hosts.unanswered(3 * time.Second); len(left) > 0 {
					t.Errorf("after two minutes, %d hosts do not answer the owner: %v", len(left), left)
				}
				hosts.expectOnce(t)
			})
		})
	}
}

// Guards against hosts that stay without work after their links to most entries were cut while they had work, against a task
// that runs twice meanwhile, and against a job that waits for more than maxIdle although there is room.
func TestLinksOfBusyHostsAreCut(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const count, relays = 24, 5
				hosts := newLinkedHosts(count)
				d := startLinkedOwner(t, hosts, relays, 10, hosts.fakeHosts, 0)
				time.Sleep(5 * time.Second)
				// Half of the hosts have work.
				submitJob(t, d, lastingJob(0, count/2))
				time.Sleep(5 * time.Second)
				hosts.setLinks(onlyLinks(rand.New(rand.NewPCG(seed, 12)), count, relays))
				time.Sleep(8 * time.Second)
				submitJob(t, d, lastingJob(1, 2))
				time.Sleep(maxIdle)
				if hosts.running(lastingJob(1, 2).ID) == 0 {
					t.Errorf("nothing of a job runs %s after its submission", maxIdle)
				}
				time.Sleep(11 * time.Second)
				if left := hosts.unanswered(3 * time.Second); len(left) > 0 {
					t.Errorf("22 s after the cut, %d of %d hosts do not answer the owner although a relay reaches each: %v", len(left), count, left)
				}
				if n := hosts.running(lastingJob(0, count/2).ID); n != count/2 {
					t.Errorf("22 s after the cut, %d of %d tasks run", n, count/2)
				}
				time.Sleep(time.Minute)
				if left := hosts.unanswered(3 * time.Second); len(left) > 0 {
					t.Errorf("82 s after the cut, %d hosts do not answer the owner: %v", len(left), left)
				}
				hosts.expectOnce(t)
			})
		})
	}
}

// Guards against an entry that reaches no host and yet gets one host after the other, because it has the lowest load.
func TestRelayThatReachesNoHost(t *testing.T) {
	cases := []struct {
		relays, capacity int
		// last are the entries that reach hosts at the end. They have room for all hosts only together.
		last []string
	}{
		// One session has room for all hosts.
		{2, 40, []string{"entry-0"}},
		{3, 16, []string{"entry-0", "entry-1"}},
		{5, 10, []string{"entry-0", "entry-1", "entry-2"}},
	}
	for _, c := range cases {
		t.Run(fmt.Sprintf("%d relays", c.relays), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const count = 24
				hosts := newLinkedHosts(count)
				d := startLinkedOwner(t, hosts, c.relays, c.capacity, hosts.fakeHosts, 0)
				time.Sleep(5 * time.Second)
				submitJob(t, d, lastingJob(0, count))
				time.Sleep(2 * time.Second)
				hosts.setLinks(func(entry, _ string) bool { return entry != "entry-0" })
				time.Sleep(10 * time.Second)
				before := hosts.fruitlessCalls("entry-0")
				for range 60 {
					time.Sleep(time.Second)
					// A host may be tried there.
					if left := hosts.unanswered(3 * time.Second); len(left) > 1 {
						t.Fatalf("%d hosts do not answer the owner: %v", len(left), left)
					}
				}
				// Two calls show that a host does not answer. A host is tried there every ten seconds at most.
				if n, limit := hosts.fruitlessCalls("entry-0")-before, 6*4; n > limit {
					t.Errorf("%d calls through the relay that reaches no host in a minute, want at most %d", n, limit)
				}
				if n := hosts.running(lastingJob(0, count).ID); n != count {
					t.Errorf("%d of %d hosts have work", n, count)
				}
				// The relay reaches hosts again and is used again.
				hosts.setLinks(func(entry, _ string) bool { return slices.Contains(c.last, entry) })
				time.Sleep(30 * time.Second)
				if left := hosts.unanswered(3 * time.Second); len(left) > 0 {
					t.Errorf("%d hosts do not answer the owner although a relay reaches them: %v", len(left), left)
				}
				hosts.expectOnce(t)
			})
		})
	}
}

// Guards against an owner that goes on supervising more hosts than it can after its only relay lost contact with them for a
// short time.
func TestOwnerHandsHostsBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const count, capacity = 24, 4
		hosts := newLinkedHosts(count)
		startLinkedOwner(t, hosts, 1, 40, hosts.fakeHosts, 0)
		time.Sleep(5 * time.Second)
		hosts.setLinks(func(entry, _ string) bool { return entry != "entry-0" })
		time.Sleep(3 * time.Second)
		hosts.setLinks(func(string, string) bool { return true })
		time.Sleep(15 * time.Second)
		hosts.links.Lock()
		defer hosts.links.Unlock()
		own := 0
		for _, entry := range hosts.answeredTo {
			if entry == "owner" {
				own++
			}
		}
		if own > capacity {
			t.Errorf("the owner supervises %d hosts, but has a capacity of %d", own, capacity)
		}
	})
}

// Guards against hosts that are taken from the only relay that reaches them, because it has more hosts than others, and are
// tried at one relay after the other.
func TestHostsStayWithTheRelayThatReachesThem(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const count, relays = 24, 4
		hosts := newLinkedHosts(count)
		d := startLinkedOwner(t, hosts, relays, 10, hosts.fakeHosts, 0)
		time.Sleep(5 * time.Second)
		submitJob(t, d, lastingJob(0, count))
		time.Sleep(5 * time.Second)
		hosts.setLinks(func(entry, address string) bool {
			switch {
			case address < "host-10":
				return entry == "entry-0"
			case address < "host-20":
				return entry == "entry-1"
			}
			return entry == "entry-2" || entry == "entry-3"
		})
		time.Sleep(15 * time.Second)
		before := 0
		for n := range relays {
			before += hosts.fruitlessCalls(fmt.Sprintf("entry-%d", n))
		}
		time.Sleep(time.Minute)
		after := 0
		for n := range relays {
			after += hosts.fruitlessCalls(fmt.Sprintf("entry-%d", n))
		}
		// Two calls show that a host does not answer. Each of 20 hosts is tried at one other relay at most.
		if n := after - before; n > 2*20 {
			t.Errorf("%d calls in a minute reached no host, want at most %d", n, 2*20)
		}
		if left := hosts.unanswered(3 * time.Second); len(left) > 0 {
			t.Errorf("%d hosts do not answer the owner: %v", len(left), left)
		}
		hosts.expectOnce(t)
	})
}

// growingRoster lists hosts from the first up to a number that grows.
type growingRoster struct {
	*fakeHosts
	grow  sync.Mutex
	shown int
	// suffix is appended to all addresses.
	suffix string
}

func (g *growingRoster) setShown(n int) {
	g.grow.Lock()
	defer g.grow.Unlock()
	g.shown = n
}

func (g *growingRoster) Hosts(ctx context.Context) ([]fold.Host, int64, error) {
	all, version, err := g.fakeHosts.Hosts(ctx)
	g.grow.Lock()
	defer g.grow.Unlock()
	for i := range all {
		all[i].Address += g.suffix
	}
	return all[:g.shown], version, err
}

func (g *growingRoster) Changes(ctx context.Context, after int64, wait time.Duration) (fold.RosterChanges, int64, error) {
	if _, _, err := noChanges(ctx, after, wait); err != nil {
		return fold.RosterChanges{}, after, err
	}
	hosts, _, err := g.Hosts(ctx)
	return fold.RosterChanges{Hosts: hosts}, after, err
}

// Guards against new hosts that all go to an entry that reaches none, because it has the lowest load.
func TestNewHostsAvoidRelayThatReachesNone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const before, count = 24, 36
		hosts := newLinkedHosts(count)
		roster := &growingRoster{fakeHosts: hosts.fakeHosts, shown: before}
		startLinkedOwner(t, hosts, 4, 20, roster, 0)
		time.Sleep(5 * time.Second)
		hosts.setLinks(func(entry, _ string) bool { return entry != "entry-0" })
		time.Sleep(8 * time.Second)
		roster.setShown(count)
		// The owner reads changes of the roster within a second.
		time.Sleep(1100 * time.Millisecond)
		if left := hosts.unanswered(time.Second + idleReport); len(left) > 1 {
			t.Errorf("%d hosts do not answer the owner: %v", len(left), left)
		}
	})
}

// Guards against hosts that stay silent after they have moved to new addresses, which the roster shows later.
func TestSilentHostsWithNewAddresses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const count = 24
		hosts := newLinkedHosts(count)
		roster := &growingRoster{fakeHosts: hosts.fakeHosts, shown: count}
		d := startLinkedOwner(t, hosts, 4, 20, roster, 0)
		time.Sleep(5 * time.Second)
		hosts.setLinks(func(_, address string) bool { return strings.HasSuffix(address, "-moved") })
		time.Sleep(8 * time.Second)
		roster.grow.Lock()
		roster.suffix = "-moved"
		roster.grow.Unlock()
		time.Sleep(2 * time.Second)
		if left := hosts.unanswered(2 * time.Second); len(left) > 0 {
			t.Errorf("%d hosts do not answer the owner at their new addresses: %v", len(left), left)
		}
		submitJob(t, d, lastingJob(0, count))
		time.Sleep(maxIdle)
		if n := hosts.running(lastingJob(0, count).ID); n != count {
			t.Errorf("%d of %d hosts have work", n, count)
		}
	})
}

// idleReport is the longest time between reports of a host without work.
const idleReport = 1500 * time.Millisecond

// Guards against tasks of a lost host that start again later the more entries the owner tries to reach it through: each of
// them may grant leases.
func TestTasksOfALostHostStartAgain(t *testing.T) {
	for _, relays := range []int{2, 6} {
		t.Run(fmt.Sprint(relays), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const count = 24
				hosts := newLinkedHosts(count)
				d := startLinkedOwner(t, hosts, relays, 20, hosts.fakeHosts, 0)
				time.Sleep(5 * time.Second)
				submitJob(t, d, lastingJob(0, count/2))
				time.Sleep(5 * time.Second)
				hosts.mu.Lock()
				starts := hosts.starts
				lost := make(map[string]bool)
				for host, runs := range hosts.runs {
					if len(runs) > 0 && len(lost) < 4 {
						lost[host] = true
					}
				}
				hosts.mu.Unlock()
				hosts.setLinks(func(_, host string) bool { return !lost[host] })
				// A host with work is silent after 1.5 s at the latest, and another entry may then grant a lease of 6 s with a
				// permission of 1 s.
				time.Sleep(10 * time.Second)
				hosts.mu.Lock()
				started := hosts.starts - starts
				hosts.mu.Unlock()
				if started != len(lost) {
					t.Errorf("%d tasks have started again 10 s after %d hosts were lost", started, len(lost))
				}
				hosts.expectOnce(t)
			})
		})
	}
}

// Guards against relays that may neither start runs nor renew leases because the owner takes silent hosts from them all the
// time. A third of the hosts is lost but stays in the roster, and calls to the owner take long.
func TestStartsWhileManyHostsAreSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const count, lost, jobs = 120, 40, 80
		hosts := newLinkedHosts(count)
		d := startLinkedOwner(t, hosts, 12, 20, hosts.fakeHosts, 100*time.Millisecond)
		time.Sleep(5 * time.Second)
		submitJob(t, d, lastingJob(jobs, count))
		time.Sleep(5 * time.Second)
		hosts.setLinks(func(_, host string) bool { return host >= fmt.Sprintf("host-%02d", lost) })
		// The runs on lost hosts count as lost by then.
		time.Sleep(12 * time.Second)
		before, _, _ := d.Stats()
		late := 0
		for n := range jobs {
			submitJob(t, d, lastingJob(n, 1))
			time.Sleep(500 * time.Millisecond)
			if n >= 6 && hosts.running(lastingJob(n-5, 1).ID) == 0 {
				late++
			}
		}
		after, _, _ := d.Stats()
		if late > 0 {
			t.Errorf("nothing of %d of %d jobs runs %s after their submission", late, jobs, maxIdle)
		}
		if refused, runs := after.Refused-before.Refused, after.Lost-before.Lost; refused > 0 || runs > 0 {
			t.Errorf("%d starts were refused and %d runs were lost, want none", refused, runs)
		}
		hosts.expectOnce(t)
	})
}

// Guards against hosts of a large pool that stay silent after half of the links between entries and hosts were cut.
func TestHalfOfTheLinksAreCut(t *testing.T) {
	for _, seed := range []string{"a", "b", "c"} {
		t.Run(seed, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const count, relays = 350, 37
				hosts := newLinkedHosts(count)
				startLinkedOwner(t, hosts, relays, 38, hosts.fakeHosts, 2*time.Millisecond)
				time.Sleep(10 * time.Second)
				hosts.setLinks(func(entry, host string) bool {
					h := fnv.New32a()
					_, _ = h.Write([]byte(seed + entry + "/" + host))
					return h.Sum32()>>8%2 == 0
				})
				for _, wait := range []time.Duration{20 * time.Second, time.Minute} {
					time.Sleep(wait)
					if left := hosts.unanswered(3 * time.Second); len(left) > 0 {
						t.Errorf("%s later, %d of %d hosts do not answer the owner: %v", wait, len(left), count, left)
					}
				}
			})
		})
	}
}
