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

// Platform holds the services of the platform that an entry uses.
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
	node     *peer.Transport

	// machineMu guards machine and beating.
	machineMu sync.Mutex
	// machine holds the state of the cell's membership as this entry sees it.
	machine *owner.Machine
	// heartbeatPending holds the ids of the peers to which a heartbeat is under way.
	heartbeatPending map[string]bool
	wakeups          wakeups

	// revisionMu is held while the revision or the instance list is replaced.
	revisionMu sync.Mutex
	// current is the configuration revision in force.
	current atomic.Pointer[revision]
	// instances is the instance list in which drained workers and endpoints are leaving.
	instances atomic.Pointer[[]fold.Instance]
	layout    atomic.Pointer[layout]

	// racksMu guards unlisted and serialises writes of rack rows.
	racksMu sync.Mutex
	// unlistedSince holds the time since which recorded workers are absent from the instance list, by name.
	unlistedSince map[string]fold.Instant

	// poolsMu guards pools.
	poolsMu sync.Mutex
	// pools holds the pools that the entry owns and has loaded, by id.
	pools map[string]*pool

	claims   *claims
	routers  *routers
	reported *reportedRevisions
	events   *telem.Events

	measures *measures
	// platformInstances is the instance list as read from the platform, without the effect of drains.
	platformInstances atomic.Pointer[[]fold.Instance]
	// requestCounter returns the number of requests of callers that are under way.
	requestCounter atomic.Pointer[func() int]
	// createdAt is the time at which the entry was created.
	createdAt time.Time
	// lastFlush is when the pools were last told to record changed jobs. Only the membership loop uses it.
	lastFlush fold.Instant
	// leaving is set when the entry is about to stop.
	leaving atomic.Bool
	// lastStoredEvent is the number of the newest event in the object store.
	lastStoredEvent atomic.Int64

	cancel  context.CancelFunc
	running sync.WaitGroup
}

var (
	_ fold.Commands   = &Entry{}
	_ fold.Queries    = &Entry{}
	_ fold.Operations = &Entry{}
)

// New returns an entry that does nothing until Start is called.
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
		heartbeatPending: make(map[string]bool),
		wakeups:          newWakeups(),
		pools:            make(map[string]*pool),
		claims:           newClaims(),
		reported:         &reportedRevisions{newest: make(map[string]int64)},
		events:           telem.NewEvents(s.Name),
		createdAt:        time.Now(),

		measures: newMeasures(),
		routers:  newRouters(s.Name, s.Domain, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
	}
	e.current.Store(&revision{ring: keys.NewRing([]byte(s.Cellkey), []keys.Record{e.rootRecord()})})
	e.instances.Store(&[]fold.Instance{})
	e.platformInstances.Store(&[]fold.Instance{})
	e.layout.Store(newLayout(nil, 1))
	e.events.Follow(log)
	e.handlePeers()
	e.handleOperators()
	return e
}

// Start starts the loops of the entry.
func (e *Entry) Start(ctx context.Context) {
	ctx, e.cancel = context.WithCancel(ctx)
	e.running.Add(1)
	go func() {
		defer e.running.Done()
		e.runMembership(ctx)
	}()
	e.loop(ctx, heartbeatPeriod, e.heartbeatStep)
	e.loop(ctx, fleetPeriod, e.fleetStep)
	e.loop(ctx, drainPeriod, e.drainStep)
	e.loop(ctx, declarePeriod, e.declareStep)
	e.loop(ctx, snapshotPeriod, e.snapshotStep)
	e.loop(ctx, measurePeriod, e.measureStep)
}

// PeerHandler returns the handler for connections of peers.
func (e *Entry) PeerHandler() http.Handler {
	return e.node
}

// Close hands over the pools and claim ranges of the entry, then stops its loops and waits for them.
func (e *Entry) Close() error {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	e.stopMembership()
	e.handOverAll(ctx)
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

// rootRecord returns the record of the operator key from the settings.
func (e *Entry) rootRecord() keys.Record {
	return keys.Root([]byte(e.settings.Cellkey), e.settings.Rootkey)
}
