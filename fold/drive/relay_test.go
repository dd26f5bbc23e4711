package drive_test

import (
	"context"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"plantainfold.example/fold"
	"plantainfold.example/fold/codec"
	"plantainfold.example/fold/core"
	"plantainfold.example/fold/drive"
	"plantainfold.example/fold/flow"
	"plantainfold.example/fold/lead"
	"plantainfold.example/fold/model"
	"plantainfold.example/fold/plat"
	"plantainfold.example/fold/relay"
)

var (
	relaySeeds = flag.Int("seeds", 12, "number of simulations with relays")
	relayFirst = flag.Uint64("seed", 1, "seed of the first simulation with relays")
	relayTrace = flag.String("trace", "", "file for the log of the simulations with relays")
)

// relayEntry is an entry that runs a relay for the owner. Messages between them are delayed, and lost while the entry is
// cut off.
type relayEntry struct {
	id   string
	live *model.Live
	log  hclog.Logger

	mu      sync.Mutex
	driver  *drive.Driver
	session *relay.Session
	epoch   int64
	// cut loses calls and answers. down refuses sessions. leaving is true if the entry is about to stop.
	cut, down, leaving bool
}

var _ drive.RelayEntry = &relayEntry{}

func (s *relayEntry) Name() string   { return s.id }
func (s *relayEntry) Domain() string { return "" }
func (s *relayEntry) Capacity() int  { return 10 }

func (s *relayEntry) OpenSession(ctx context.Context, epoch int64, session uint64, stamp fold.Instant) error {
	if !s.deliver(ctx) {
		return fold.Unknown.New("the connection is cut")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down || epoch < s.epoch {
		return fold.Refuse(fold.Unavailable, "", "the entry is down")
	}
	if s.session != nil {
		go func(old *relay.Session) { _ = old.Close() }(s.session)
	}
	s.epoch = epoch
	s.session = relay.Open(relay.Parts{Runner: s.live, Clock: clock{}, Logger: s.log.Named(s.id), Meter: noMeter{}, Epoch: epoch, Lease: 6 * time.Second},
		ownerConn{entry: s, driver: s.driver, session: session}, stamp, func() bool { return s.flagged(&s.leaving) })
	return nil
}

func (s *relayEntry) flagged(flag *bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return *flag
}

func (s *relayEntry) setFlag(flag *bool, value bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	*flag = value
}

// deliver waits for the delay of a message and reports whether it arrives.
func (s *relayEntry) deliver(ctx context.Context) bool {
	time.Sleep(time.Millisecond)
	if s.flagged(&s.cut) {
		<-ctx.Done()
	}
	return ctx.Err() == nil
}

// kill ends the process of the entry and loses what it has in progress.
func (s *relayEntry) kill() {
	s.mu.Lock()
	session := s.session
	s.session, s.down = nil, true
	s.mu.Unlock()
	if session != nil {
		_ = session.Close()
	}
}

// ownerConn is the connection of a relay entry to the owner.
type ownerConn struct {
	entry   *relayEntry
	driver  *drive.Driver
	session uint64
}

func (o ownerConn) Orders(ctx context.Context, got uint64) (relay.Batch, error) {
	if !o.entry.deliver(ctx) {
		return relay.Batch{}, fold.Unknown.New("the connection is cut")
	}
	batch := o.driver.Orders(ctx, o.session, got)
	if !o.entry.deliver(ctx) {
		return relay.Batch{}, fold.Unknown.New("the connection is cut")
	}
	return batch, nil
}

func (o ownerConn) SendEvents(ctx context.Context, number, got uint64, news relay.Events, leaving bool) (relay.Permit, error) {
	if !o.entry.deliver(ctx) {
		return relay.Permit{}, fold.Unknown.New("the connection is cut")
	}
	permit := o.driver.HandleEvents(o.session, number, got, news, leaving)
	if !o.entry.deliver(ctx) {
		return relay.Permit{}, fold.Unknown.New("the connection is cut")
	}
	return permit, nil
}

// asker calls the adviser of the simulation.
type asker struct{ live *model.Live }

func (asker) Name() string { return "a" }

func (a asker) Advise(ctx context.Context, step string, hosts []string) (fold.Advice, error) {
	return a.live.Advise(ctx, step, hosts)
}

// roster lists the hosts of the simulation that are up.
type roster struct{ live *model.Live }

func (r roster) Hosts(context.Context) ([]fold.Host, int64, error) {
	up, _ := r.live.Hosts()
	return up, 1, nil
}

func (r roster) Changes(ctx context.Context, after int64, wait time.Duration) (fold.RosterChanges, int64, error) {
	changes, _, err := noChanges(ctx, after, wait)
	up, down := r.live.Hosts()
	changes.Hosts, changes.Gone = up, down
	return changes, after, err
}

// relayTest is a simulation in which relays on other entries supervise most of the hosts.
type relayTest struct {
	t       *testing.T
	random  *rand.Rand
	day     model.Day
	table   *plat.Table
	live    *model.Live
	entries []*relayEntry
	log     hclog.Logger
	driver  *drive.Driver
	stop    func()
}

// record reads the record of a job from the table.
func (r *relayTest) record(id string) flow.Record {
	row, err := r.table.Get(context.Background(), drive.StatePrefix+id)
	if err != nil {
		return flow.Record{}
	}
	rec, err := codec.Decode[flow.Record](row.Value)
	if err != nil {
		r.t.Error(err)
	}
	return rec
}

// startOwner starts a new owner. The previous one ends without handing over.
func (r *relayTest) startOwner(name string) {
	if r.stop != nil {
		r.stop()
	}
	previous, version, err := lead.Read(r.t.Context(), r.table)
	if err != nil {
		r.t.Fatal(err)
	}
	term, err := lead.TakeOver(r.t.Context(), r.table, clock{}, previous, version, lead.Owner{Entry: name, Incarnation: name})
	if err != nil {
		r.t.Fatal(err)
	}
	rules := fold.Rules{Revision: 1, Teams: r.day.Teams}
	for _, c := range r.day.Classes {
		rules.Queues = append(rules.Queues, c.Queue)
	}
	r.driver = drive.New(drive.Parts{
		Table: r.table, Log: r.table, Runner: r.live, Roster: roster{r.live}, Clock: clock{}, Logger: r.log.Named(name), Meter: noMeter{},
		AdviceCallers: func() []drive.AdviceCaller { return []drive.AdviceCaller{asker{r.live}} },
		RelayEntries: func() []drive.RelayEntry {
			var helpers []drive.RelayEntry
			for _, s := range r.entries {
				helpers = append(helpers, s)
			}
			return helpers
		},
		RelayCapacity: 4,
		Entries:       func() ([]string, int) { return nil, 0 },
		FitterEntry:   func(bool) bool { return false },
		Announce:      func(context.Context, []string, int64, int64, bool) bool { return true },
		Invite:        func(context.Context, int64) {},
		Times:         core.Times{Lease: 6 * time.Second, Stop: 900 * time.Millisecond, Restore: 100 * time.Millisecond, CheckpointInterval: 2 * time.Second, Early: 250 * time.Millisecond, RenewWithoutTable: 4 * time.Second},
	}, term, rules)
	for _, s := range r.entries {
		s.mu.Lock()
		s.driver = r.driver
		s.mu.Unlock()
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- r.driver.Run(ctx) }()
	r.stop = func() {
		cancel()
		<-done
	}
	<-r.driver.Loaded()
}

// injectFault injects one random fault and ends it after a while.
func (r *relayTest) injectFault() {
	s := r.entries[r.random.IntN(len(r.entries))]
	duration := time.Duration(r.random.Int64N(int64(4 * time.Second)))
	r.live.RecordFault(duration + 5*time.Second)
	switch r.random.IntN(6) {
	case 0, 1:
		s.setFlag(&s.cut, true)
		time.Sleep(duration)
		s.setFlag(&s.cut, false)
	case 2:
		s.kill()
		time.Sleep(duration)
		s.setFlag(&s.down, false)
	case 3:
		s.setFlag(&s.leaving, true)
		time.Sleep(time.Second)
		s.kill()
		time.Sleep(duration)
		s.setFlag(&s.leaving, false)
		s.setFlag(&s.down, false)
	case 4:
		r.startOwner(fmt.Sprintf("owner-%d", r.random.IntN(1000)))
	case 5:
		r.live.InjectFault(model.Fault{Kind: model.OrdersLate, Duration: duration, Factor: 0.1})
		time.Sleep(duration)
	}
}

// submit submits a job and tries again while a new owner takes over.
func (r *relayTest) submit(class int) string {
	spec := r.live.DrawJob(class)
	for {
		if _, err := r.driver.Submit(r.t.Context(), spec, fold.Check{}); err == nil {
			return spec.ID
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// Guards against a task that runs twice because one relay gave up its start and another one sent it, against work that is
// lost with a relay, hosts without a supervisor and overfull hosts. While orders and reports are in flight, relays are cut
// off, killed or stopped, and their owner is replaced.
func TestRelaysFail(t *testing.T) {
	for i := range *relaySeeds {
		seed := *relayFirst + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { testRelayFaults(t, seed) })
		})
	}
}

func testRelayFaults(t *testing.T, seed uint64) {
	t.Helper()
	out := io.Discard
	if *relayTrace != "" {
		file, err := os.Create(*relayTrace)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = file.Close() }()
		out = file
	}
	r := &relayTest{t: t, random: rand.New(rand.NewPCG(seed, 5)), day: model.PlanningDay(seed), table: plat.NewTable(), log: hclog.New(&hclog.LoggerOptions{Output: out, Level: hclog.Debug})}
	r.day.Hosts, r.day.Racks = 24, 3
	for i := range r.day.Classes {
		r.day.Classes[i].Queue.Service = "pool"
	}
	r.live = model.NewLive(r.day, r.log.Named("hosts"), r.record)
	defer func() { _ = r.live.Close() }()
	for n := range 5 {
		r.entries = append(r.entries, &relayEntry{id: fmt.Sprintf("entry-%d", n), live: r.live, log: r.log})
	}
	r.startOwner("owner")
	defer func() {
		r.stop()
		for _, s := range r.entries {
			s.kill()
		}
	}()
	time.Sleep(2 * time.Second)
	var ids []string
	for range 60 {
		ids = append(ids, r.submit(r.random.IntN(2)))
		time.Sleep(time.Duration(r.random.Int64N(int64(250 * time.Millisecond))))
		if r.random.IntN(6) == 0 {
			r.injectFault()
		}
	}
	for end := time.Now().Add(2 * time.Minute); len(ids) > 0 && time.Now().Before(end); time.Sleep(time.Second) {
		var open []string
		for _, id := range ids {
			state, _, _ := r.driver.State(id)
			r.live.RecordShown(id, state)
			if !state.Final() {
				open = append(open, id)
			}
		}
		ids = open
	}
	idle := 0
	for _, id := range ids {
		if r.live.Idle(id) {
			idle++
			t.Log("job is idle although it fits:", id)
		}
	}
	if _, broken := r.live.Result(); len(broken) > 0 || idle > 0 {
		t.Errorf("seed %d: %d jobs have not ended although they fit\n%s", seed, idle, strings.Join(broken, "\n"))
	}
}
