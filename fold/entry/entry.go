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
	nudges  nudges

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

	cancel  context.CancelFunc
	running sync.WaitGroup
}

var (
	_ fold.Commands = &Entry{}
	_ fold.Queries  = &Entry{}
)

// New returns an entry that does nothing until Start.
func New(s Settings, p Platform, clock fold.Clock, log hclog.Logger) *Entry {
	incarnation := uuid.NewString()
	breaker := store.NewBreaker(p.Table, clock, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	group := store.NewGroup(store.NewSettled(breaker, s.Name, incarnation))
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
		nudges:  newNudges(),
		pools:   make(map[string]*pool),
		claims:  newClaims(),
		routers: newRouters(s.Name, s.Domain, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
	}
	e.current.Store(&revision{ring: keys.NewRing([]byte(s.Cellkey), []keys.Record{e.rootRecord()})})
	e.instances.Store(&[]fold.Instance{})
	e.layout.Store(newLayout(nil, 1))
	e.handlePeers()
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
