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
	relaySeeds = flag.Int("seeds", 12, "days with relays that are played")
	relayFirst = flag.Uint64("seed", 1, "seed of the first day with relays")
	relayTrace = flag.String("trace", "", "file for the log of the days with relays")
)

// station is an entry that looks after hosts for the owner. What travels between them is delayed, and lost while it is cut.
type station struct {
	id   string
	live *model.Live
	log  hclog.Logger

	mu      sync.Mutex
	driver  *drive.Driver
	session *relay.Session
	epoch   int64
	// cut loses calls and answers, down refuses sessions, leaving says that the entry is about to stop.
	cut, down, leaving bool
}

var _ drive.RelayEntry = &station{}

func (s *station) Name() string   { return s.id }
func (s *station) Domain() string { return "" }
func (s *station) Room() int      { return 10 }

func (s *station) Carry(ctx context.Context, epoch int64, session uint64, stamp fold.Instant) error {
	if !s.travel(ctx) {
		return fold.Unknown.New("cut")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down || epoch < s.epoch {
		return fold.Refuse(fold.Unavailable, "", "down")
	}
	if s.session != nil {
		go func(old *relay.Session) { _ = old.Close() }(s.session)
	}
	s.epoch = epoch
	s.session = relay.Open(relay.Parts{Runner: s.live, Clock: clock{}, Logger: s.log.Named(s.id), Meter: noMeter{}, Epoch: epoch, Lease: 6 * time.Second},
		owner{station: s, driver: s.driver, session: session}, stamp, func() bool { return s.is(&s.leaving) })
	return nil
}

func (s *station) is(flag *bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return *flag
}

func (s *station) set(flag *bool, value bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	*flag = value
}

// travel takes the time of a message and reports whether it arrives.
func (s *station) travel(ctx context.Context) bool {
	time.Sleep(time.Millisecond)
	if s.is(&s.cut) {
		<-ctx.Done()
	}
	return ctx.Err() == nil
}

// kill ends the process of the station: what it has under way is lost.
func (s *station) kill() {
	s.mu.Lock()
	session := s.session
	s.session, s.down = nil, true
	s.mu.Unlock()
	if session != nil {
		_ = session.Close()
	}
}

// owner is the owner as a station reaches it.
type owner struct {
	station *station
	driver  *drive.Driver
	session uint64
}

func (o owner) Orders(ctx context.Context, got uint64) (relay.Batch, error) {
	if !o.station.travel(ctx) {
		return relay.Batch{}, fold.Unknown.New("cut")
	}
	batch := o.driver.Orders(ctx, o.session, got)
	if !o.station.travel(ctx) {
		return relay.Batch{}, fold.Unknown.New("cut")
	}
	return batch, nil
}

func (o owner) News(ctx context.Context, number, got uint64, news relay.Events, leaving bool) (relay.Permit, error) {
	if !o.station.travel(ctx) {
		return relay.Permit{}, fold.Unknown.New("cut")
	}
	permit := o.driver.HandleEvents(o.session, number, got, news, leaving)
	if !o.station.travel(ctx) {
		return relay.Permit{}, fold.Unknown.New("cut")
	}
	return permit, nil
}

// asker calls the adviser of the day.
type asker struct{ live *model.Live }

func (asker) Name() string { return "a" }

func (a asker) Advise(ctx context.Context, step string, hosts []string) (fold.Advice, error) {
	return a.live.Advise(ctx, step, hosts)
}

// roster lists the hosts of the day that are up.
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

// relayDay is a day in which stations look after most of the hosts.
type relayDay struct {
	t        *testing.T
	random   *rand.Rand
	day      model.Day
	table    *plat.Table
	live     *model.Live
	stations []*station
	log      hclog.Logger
	driver   *drive.Driver
	stop     func()
}

// record reads the durable record of a job.
func (r *relayDay) record(id string) flow.Record {
	row, err := r.table.Get(context.Background(), drive.StateTable+id)
	if err != nil {
		return flow.Record{}
	}
	rec, err := codec.Decode[flow.Record](row.Value)
	if err != nil {
		r.t.Error(err)
	}
	return rec
}

// own starts an owner; the one before it ends without handing over.
func (r *relayDay) own(name string) {
	if r.stop != nil {
		r.stop()
	}
	before, version, err := lead.Read(r.t.Context(), r.table)
	if err != nil {
		r.t.Fatal(err)
	}
	term, err := lead.TakeOver(r.t.Context(), r.table, clock{}, before, version, lead.Owner{Entry: name, Incarnation: name})
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
			for _, s := range r.stations {
				helpers = append(helpers, s)
			}
			return helpers
		},
		RelayCapacity: 4,
		Entries:       func() ([]string, int) { return nil, 0 },
		StrongerEntry: func() bool { return false },
		Announce:      func(context.Context, []string, int64, int64, bool) bool { return true },
		Invite:        func(context.Context, int64) {},
		Times:         core.Times{Lease: 6 * time.Second, Stop: 900 * time.Millisecond, Restore: 100 * time.Millisecond, CheckpointInterval: 2 * time.Second, Early: 250 * time.Millisecond, RenewWithoutTable: 4 * time.Second},
	}, term, rules)
	for _, s := range r.stations {
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

// strike lets one thing go wrong for a while.
func (r *relayDay) strike() {
	s := r.stations[r.random.IntN(len(r.stations))]
	lasts := time.Duration(r.random.Int64N(int64(4 * time.Second)))
	r.live.Trouble(lasts + 5*time.Second)
	switch r.random.IntN(6) {
	case 0, 1:
		s.set(&s.cut, true)
		time.Sleep(lasts)
		s.set(&s.cut, false)
	case 2:
		s.kill()
		time.Sleep(lasts)
		s.set(&s.down, false)
	case 3:
		s.set(&s.leaving, true)
		time.Sleep(time.Second)
		s.kill()
		time.Sleep(lasts)
		s.set(&s.leaving, false)
		s.set(&s.down, false)
	case 4:
		r.own(fmt.Sprintf("owner-%d", r.random.IntN(1000)))
	case 5:
		r.live.Strike(model.Fault{Kind: model.OrdersLate, For: lasts, Factor: 0.1})
		time.Sleep(lasts)
	}
}

// submit hands a job in, with the next owner while one takes over.
func (r *relayDay) submit(class int) string {
	spec := r.live.Draw(class)
	for {
		if _, err := r.driver.Submit(r.t.Context(), spec, fold.Check{}); err == nil {
			return spec.ID
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// Pattern: relays on other entries look after most hosts, and are cut off, killed or stopped, or their owner is replaced,
// while orders and reports are under way. Guards against a task that runs twice because its start was given up by one relay
// and sent by the next, work that is lost with a relay, hosts that nobody looks after, and hosts beyond their room.
func TestRelaysFail(t *testing.T) {
	for i := range *relaySeeds {
		seed := *relayFirst + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { playRelays(t, seed) })
		})
	}
}

func playRelays(t *testing.T, seed uint64) {
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
	r := &relayDay{t: t, random: rand.New(rand.NewPCG(seed, 5)), day: model.Visits(seed), table: plat.NewTable(), log: hclog.New(&hclog.LoggerOptions{Output: out, Level: hclog.Debug})}
	r.day.Hosts, r.day.Racks = 24, 3
	for i := range r.day.Classes {
		r.day.Classes[i].Queue.Service = "pool"
	}
	r.live = model.NewLive(r.day, r.log.Named("hosts"), r.record)
	defer func() { _ = r.live.Close() }()
	for n := range 5 {
		r.stations = append(r.stations, &station{id: fmt.Sprintf("station-%d", n), live: r.live, log: r.log})
	}
	r.own("owner")
	defer func() {
		r.stop()
		for _, s := range r.stations {
			s.kill()
		}
	}()
	time.Sleep(2 * time.Second)
	var ids []string
	for range 60 {
		ids = append(ids, r.submit(r.random.IntN(2)))
		time.Sleep(time.Duration(r.random.Int64N(int64(250 * time.Millisecond))))
		if r.random.IntN(6) == 0 {
			r.strike()
		}
	}
	for end := time.Now().Add(2 * time.Minute); len(ids) > 0 && time.Now().Before(end); time.Sleep(time.Second) {
		var open []string
		for _, id := range ids {
			state, _, _ := r.driver.State(id)
			r.live.Shown(id, state)
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
			t.Log("idle:", id)
		}
	}
	if _, broken := r.live.Result(); len(broken) > 0 || idle > 0 {
		t.Errorf("seed %d: %d jobs have not ended although they fit\n%s", seed, idle, strings.Join(broken, "\n"))
	}
}
