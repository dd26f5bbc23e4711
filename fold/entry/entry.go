package entry

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/hashicorp/go-hclog"

	"plantainfold.example/fold"
	"plantainfold.example/fold/keys"
	"plantainfold.example/fold/owner"
	"plantainfold.example/fold/peer"
	"plantainfold.example/fold/store"
	"plantainfold.example/fold/telem"
)

// Platform is what an entry needs of the platform.
type Platform struct {
	Table     fold.Table
	Objects   fold.Objects
	Fleet     fold.Fleet
	Workers   fold.Workers
	Endpoints fold.Endpoints
}

// Entry is one entry process.
type Entry struct {
	settings Settings
	platform Platform
	table    fold.Table
	group    *store.Group
	clock    fold.Clock
	log      hclog.Logger
	node     *peer.Node

	memberMu sync.Mutex
	machine  *owner.Machine
	// beating names the peers that a heartbeat is under way to.
	beating map[string]bool
	wakeups wakeups

	current   atomic.Pointer[revision]
	instances atomic.Pointer[[]fold.Instance]
	layout    atomic.Pointer[layout]

	racksMu sync.Mutex
	// unlisted says since when recorded workers are absent from the instance list.
	unlisted map[string]fold.Instant

	poolsMu sync.Mutex
	pools   map[string]*pool

	claims  *claims
	routers *routers
	told    *told
	events  *telem.Events

	measures *measures
	// listed is the instance list as the platform told it, before drains.
	listed atomic.Pointer[[]fold.Instance]
	// requests counts the callers' requests under way.
	requests atomic.Pointer[func() int]
	began    time.Time
	// flushed belongs to the membership loop.
	flushed fold.Instant
	leaving atomic.Bool
	// stored is the number of the newest event in the object store.
	stored atomic.Int64

	cancel  context.CancelFunc
	running sync.WaitGroup
}

var (
	_ fold.Commands   = &Entry{}
	_ fold.Queries    = &Entry{}
	_ fold.Operations = &Entry{}
)

// New returns an entry that does nothing until Start.
func New(s Settings, p Platform, clock fold.Clock, log hclog.Logger) *Entry {
	incarnation := uuid.NewString()
	settled := store.NewSettled(p.Table, s.Name, incarnation)
	group := store.NewGroup(store.NewBreaker(settled, clock, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))))
	e := &Entry{
		settings: s,
		platform: p,
		table:    group,
		group:    group,
		clock:    clock,
		log:      log,
		node:     peer.New(s.Name, incarnation, []byte(s.Cellkey), log),
		machine: owner.New(owner.Entry{
			ID:          s.Name,
			Incarnation: incarnation,
			Address:     s.Advertise,
			Region:      s.Region,
			Domain:      s.Domain,
			State:       owner.StateLive,
		}),
		beating: make(map[string]bool),
		wakeups: newWakeups(),
		pools:   make(map[string]*pool),
		claims:  newClaims(),
		told:    &told{newer: make(map[string]int64)},
		events:  telem.NewEvents(s.Name),
		began:   time.Now(),

		measures: newMeasures(),
		routers:  newRouters(s.Name, s.Domain, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
	}
	e.current.Store(&revision{ring: keys.NewRing([]byte(s.Cellkey), []keys.Record{e.rootRecord()})})
	e.instances.Store(&[]fold.Instance{})
	e.listed.Store(&[]fold.Instance{})
	e.layout.Store(newLayout(nil, 1))
	e.events.Follow(log)
	e.handlePeers()
	e.handleOperators()
	return e
}

// Start begins the loops of the entry.
func (e *Entry) Start(ctx context.Context) {
	ctx, e.cancel = context.WithCancel(ctx)
	e.running.Add(1)
	go func() {
		defer e.running.Done()
		e.runMember(ctx)
	}()
	e.loop(ctx, beatPeriod, e.beatStep)
	e.loop(ctx, fleetPeriod, e.fleetStep)
	e.loop(ctx, drainPeriod, e.drainStep)
	e.loop(ctx, declarePeriod, e.declareStep)
	e.loop(ctx, snapshotPeriod, e.snapshotStep)
	e.loop(ctx, measurePeriod, e.measureStep)
}

// PeerHandler serves the connections of peers.
func (e *Entry) PeerHandler() http.Handler {
	return e.node
}

// Close hands over what the entry owns, then stops its loops and waits for them.
func (e *Entry) Close() error {
	ctx, cancel := context.WithTimeout(context.Background(), closeTime)
	defer cancel()
	e.stopMember()
	e.handOver(ctx)
	if e.cancel != nil {
		e.cancel()
	}
	e.running.Wait()
	e.stopPools(func(string) bool { return true })
	err := e.node.Close()
	if groupErr := e.group.Close(); err == nil {
		err = groupErr
	}
	return err
}

// loop calls step at once and then every period until ctx ends.
func (e *Entry) loop(ctx context.Context, period time.Duration, step func(context.Context)) {
	e.running.Add(1)
	go func() {
		defer e.running.Done()
		for ctx.Err() == nil {
			step(ctx)
			select {
			case <-e.clock.After(period):
			case <-ctx.Done():
			}
		}
	}()
}

func (e *Entry) rootRecord() keys.Record {
	return keys.Root([]byte(e.settings.Cellkey), e.settings.Rootkey)
}
