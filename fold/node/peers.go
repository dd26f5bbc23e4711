package node

import (
	"cmp"
	"context"
	"crypto/rand"
	"errors"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/joomcode/errorx"
	"golang.org/x/sync/errgroup"

	"plantainfold.example/fold"
	"plantainfold.example/fold/codec"
	"plantainfold.example/fold/drive"
	"plantainfold.example/fold/peer"
)

const (
	// entryPrefix is where entries register, secretKey the row with the secret that they share.
	entryPrefix = "entry/"
	secretKey   = "cell/secret"
	secretBytes = 32
	// peersEvery is how often the owner reads which entries there are.
	peersEvery = 2 * time.Second
	// peersSoon is how soon it reads again after a change.
	peersSoon = 400 * time.Millisecond
	// maxPeers bounds the entries that are read.
	maxPeers = 500
	// tableTime bounds a call to the table; startPause separates tries at the start.
	tableTime  = 900 * time.Millisecond
	startPause = 150 * time.Millisecond
	// adviseCall is the name of the call by which the owner lets an entry ask the adviser.
	adviseCall = "advise"
)

// registration is an entry's row.
type registration struct {
	Address     string `json:"address"`
	Incarnation string `json:"incarnation"`
	// Strength rates how well the entry can own the pool.
	Strength float64 `json:"strength"`
	// Domain is the failure domain of the entry, Room how many hosts it can look after.
	Domain string `json:"domain,omitempty"`
	Room   int    `json:"room,omitempty"`
}

// advising is the question of an advise call.
type advising struct {
	Step  string   `json:"step"`
	Hosts []string `json:"hosts"`
}

// peers knows the other entries.
type peers struct {
	name    string
	table   fold.Table
	adviser fold.Adviser
	clock   fold.Clock
	log     hclog.Logger

	// own is what this entry registers.
	own registration

	mu   sync.Mutex
	node *peer.Node
	// known are the other entries that answered when they were last asked.
	known map[string]registration
	// heard is when other entries last asked this one.
	heard map[string]fold.Instant
	// rows are the registrations of all other entries that were last read.
	rows map[string]registration
}

// setNode sets the entry's side of the connections to others.
func (p *peers) setNode(node *peer.Node) {
	p.mu.Lock()
	p.node = node
	p.mu.Unlock()
}

// secret reads the entries' shared secret, or makes it.
func secret(ctx context.Context, table fold.Table) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, tableTime)
	defer cancel()
	row, err := table.Get(ctx, secretKey)
	if err == nil {
		return row.Value, nil
	}
	if !errorx.IsOfType(err, fold.NotFound) {
		return nil, err
	}
	fresh := make([]byte, secretBytes)
	if _, err := rand.Read(fresh); err != nil {
		return nil, fold.Unavailable.Wrap(err, "make a secret")
	}
	// Another entry may be faster; the row is read again in any case.
	if _, err := table.Commit(ctx, fold.Txn{Checks: []fold.Check{{Key: secretKey}}, Puts: []fold.Put{{Key: secretKey, Value: fresh}}}); err != nil && !errorx.IsOfType(err, fold.Conflict) {
		return nil, err
	}
	row, err = table.Get(ctx, secretKey)
	return row.Value, err
}

// register writes the entry's row.
func (p *peers) register(ctx context.Context) error {
	value, err := codec.Encode(p.own)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, tableTime)
	defer cancel()
	_, err = p.table.Commit(ctx, fold.Txn{Puts: []fold.Put{{Key: entryPrefix + p.name, Value: value}}})
	return err
}

// leave removes the entry's row.
func (p *peers) leave(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, tableTime)
	defer cancel()
	_, err := p.table.Commit(ctx, fold.Txn{Deletes: []string{entryPrefix + p.name}})
	return err
}

// follow reads which entries there are until ctx ends.
func (p *peers) follow(ctx context.Context) {
	for ctx.Err() == nil {
		changed, err := p.read(ctx)
		if err != nil && ctx.Err() == nil {
			p.log.Debug("Could not read the entries.", "error", err)
		}
		wait := peersEvery
		if changed {
			// Entries that are lost or back together are noticed one after the other.
			wait = peersSoon
		}
		select {
		case <-ctx.Done():
		case <-p.clock.After(wait):
		}
	}
}

// registered reads the registrations of the other entries, by name.
func (p *peers) registered(ctx context.Context) (map[string]registration, error) {
	ctx, cancel := context.WithTimeout(ctx, tableTime)
	defer cancel()
	rows, err := p.table.Scan(ctx, entryPrefix, "", maxPeers)
	if err != nil {
		return nil, err
	}
	entries := make(map[string]registration, len(rows))
	for _, row := range rows {
		entry, err := codec.Decode[registration](row.Value)
		if err != nil {
			p.log.Warn("Ignored the row of an entry that cannot be read.", "key", row.Key, "error", err)
			continue
		}
		if name := strings.TrimPrefix(row.Key, entryPrefix); name != p.name {
			entries[name] = entry
		}
	}
	return entries, nil
}

// read asks the registered entries whether they answer, and reports whether others do than before.
func (p *peers) read(ctx context.Context) (changed bool, err error) {
	entries, err := p.registered(ctx)
	if err != nil {
		return false, err
	}
	p.mu.Lock()
	p.rows = entries
	p.mu.Unlock()
	known := make(map[string]registration, len(entries))
	var mu sync.Mutex
	var asking sync.WaitGroup
	now := p.clock.Now()
	for name, entry := range entries {
		if p.heardOf(name, now) {
			mu.Lock()
			known[name] = entry
			mu.Unlock()
			continue
		}
		asking.Go(func() {
			call, cancel := context.WithTimeout(ctx, pingTime)
			defer cancel()
			if _, err := p.owns(call, entry.Address); err == nil {
				mu.Lock()
				known[name] = entry
				mu.Unlock()
			}
		})
	}
	asking.Wait()
	p.mu.Lock()
	changed = !maps.Equal(known, p.known)
	p.known = known
	p.mu.Unlock()
	return changed, nil
}

// recently is how long ago an entry must have asked this one so that it counts as answering; those that the owner's row
// does not name ask once a second.
const recently = 1300 * time.Millisecond

// hear notes that an entry has asked this one.
func (p *peers) hear(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.heard[name] = p.clock.Now()
}

// heardOf reports whether an entry has asked this one lately.
func (p *peers) heardOf(name string, now fold.Instant) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	at, ok := p.heard[name]
	return ok && now.Sub(at) < recently
}

// fit is the share of the greatest strength from which on an entry is fit to own the pool.
const fit = 0.7

// ranked returns the other entries that answer, the strongest first.
func (p *peers) ranked() []registration {
	p.mu.Lock()
	defer p.mu.Unlock()
	entries := make([]registration, 0, len(p.known))
	for _, entry := range p.known {
		entries = append(entries, entry)
	}
	slices.SortFunc(entries, func(a, b registration) int {
		return cmp.Or(cmp.Compare(b.Strength, a.Strength), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	return entries
}

// maxNamed bounds the entries that the owner's row names, which is written with every commit. Those that it does not name
// take over behind them.
const maxNamed = 16

// entries returns the incarnations of the strongest other entries that answer, in their order, and how many of them are
// fit to own the pool.
func (p *peers) entries() (incarnations []string, strong int) {
	ranked := p.ranked()
	ranked = ranked[:min(len(ranked), maxNamed)]
	for _, entry := range ranked {
		incarnations = append(incarnations, entry.Incarnation)
		if entry.Strength >= fit*max(p.own.Strength, ranked[0].Strength) {
			strong++
		}
	}
	return incarnations, strong
}

// stronger reports whether this entry is not fit to own the pool beside the strongest one.
func (p *peers) stronger() bool {
	ranked := p.ranked()
	return len(ranked) > 0 && p.own.Strength < fit*ranked[0].Strength
}

// invite asks the strongest entries, one after the other, to take the pool over from the epoch at once.
func (p *peers) invite(ctx context.Context, epoch int64) {
	node := p.link()
	if node == nil {
		return
	}
	for _, entry := range p.ranked() {
		call, cancel := context.WithTimeout(ctx, pingTime)
		accepted, err := peer.Call[int64, bool](call, node, entry.Address, inviteCall, epoch)
		cancel()
		if err == nil && accepted {
			return
		}
	}
}

// announce tells the entries that the owner starts runs without records, or no longer does, and reports whether all of
// them have noted it.
func (p *peers) announce(ctx context.Context, entries []string, epoch, number int64, on bool) bool {
	p.mu.Lock()
	node := p.node
	addresses := make([]string, 0, len(entries))
	for _, entry := range p.known {
		if slices.Contains(entries, entry.Incarnation) {
			addresses = append(addresses, entry.Address)
		}
	}
	p.mu.Unlock()
	if node == nil || len(addresses) < len(entries) {
		return false
	}
	var group errgroup.Group
	for _, address := range addresses {
		group.Go(func() error {
			noted, err := peer.Call[announcement, bool](ctx, node, address, announceCall, announcement{Epoch: epoch, Number: number, On: on})
			if err == nil && !noted {
				return errServed
			}
			return err
		})
	}
	err := group.Wait()
	if errors.Is(err, errServed) {
		p.log.Debug("The table serves other entries.", "epoch", epoch)
	}
	return err == nil
}

// errServed says that the table serves another entry well.
var errServed = errors.New("the table serves the entry")

// helpers returns the other entries that can look after hosts, the strongest first.
func (p *peers) helpers() []drive.RelayEntry {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.node == nil {
		return nil
	}
	found := make([]helper, 0, len(p.rows))
	for name, entry := range p.rows {
		if entry.Room > 0 {
			found = append(found, helper{name: name, registration: entry, node: p.node, own: p.own.Address})
		}
	}
	slices.SortFunc(found, func(a, b helper) int {
		return cmp.Or(cmp.Compare(b.Strength, a.Strength), cmp.Compare(a.name, b.name))
	})
	helpers := make([]drive.RelayEntry, len(found))
	for i, h := range found {
		helpers[i] = h
	}
	return helpers
}

// link returns this entry's side of the connections to others, or nil before it serves them.
func (p *peers) link() *peer.Node {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.node
}

// owns asks the entry at the address for the epoch in which it owns the pool; 0 means that it does not.
func (p *peers) owns(ctx context.Context, address string) (int64, error) {
	node := p.link()
	if node == nil {
		return 0, fold.Refuse(fold.Unavailable, "retry later", "the entry does not serve others yet")
	}
	return peer.Call[struct{}, int64](ctx, node, address, ownsCall, struct{}{})
}

// askers returns the entries that can call the adviser.
func (p *peers) askers() []drive.AdviceCaller {
	askers := []drive.AdviceCaller{local{name: p.name, adviser: p.adviser}}
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, entry := range p.known {
		if p.node != nil {
			askers = append(askers, remote{name: name, address: entry.Address, node: p.node})
		}
	}
	slices.SortFunc(askers, func(a, b drive.AdviceCaller) int { return cmp.Compare(a.Name(), b.Name()) })
	return askers
}

// local calls the adviser from this entry.
type local struct {
	name    string
	adviser fold.Adviser
}

var _ drive.AdviceCaller = local{}

// Name returns the name of the entry.
func (l local) Name() string {
	return l.name
}

// Advise calls the adviser.
func (l local) Advise(ctx context.Context, step string, hosts []string) (fold.Advice, error) {
	return l.adviser.Advise(ctx, step, hosts)
}

// remote lets another entry call the adviser.
type remote struct {
	name, address string
	node          *peer.Node
}

var _ drive.AdviceCaller = remote{}

// Name returns the name of the entry.
func (r remote) Name() string {
	return r.name
}

// Advise asks the entry for its call.
func (r remote) Advise(ctx context.Context, step string, hosts []string) (fold.Advice, error) {
	return peer.Call[advising, fold.Advice](ctx, r.node, r.address, adviseCall, advising{Step: step, Hosts: hosts})
}
