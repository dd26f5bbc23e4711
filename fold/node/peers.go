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
	// entryPrefix is the prefix of the rows in which entries register.
	entryPrefix = "entry/"
	// secretKey is the key of the row with the secret that the entries share.
	secretKey = "cell/secret"
	// secretBytes is the length of the secret.
	secretBytes = 32
	// refreshInterval is how often the owner reads the registrations of the entries.
	refreshInterval = 2 * time.Second
	// changedRefreshInterval replaces refreshInterval after a change.
	changedRefreshInterval = 400 * time.Millisecond
	// maxPeers bounds the number of registrations that are read.
	maxPeers = 500
	// tableTimeout bounds a call to the table.
	tableTimeout = 900 * time.Millisecond
	// startRetryDelay is the delay before a failed call is repeated at startup.
	startRetryDelay = 150 * time.Millisecond
	// adviseCall is the owner's request to an entry to ask the adviser.
	adviseCall = "advise"
)

// registration is the content of an entry's row.
type registration struct {
	// Address is where other entries reach the entry.
	Address string `json:"address"`
	// Incarnation identifies the process of the entry.
	Incarnation string `json:"incarnation"`
	// Strength rates how well the entry can own the pool.
	Strength float64 `json:"strength"`
	// Domain is the failure domain of the entry.
	Domain string `json:"domain,omitempty"`
	// RelayCapacity is the number of hosts that the entry can supervise.
	RelayCapacity int `json:"room,omitempty"`
	// TableTime is how long a read of the table took when the entry started, or 0 if that is not known.
	TableTime time.Duration `json:"tabletime,omitempty"`
}

// adviceRequest is the request of an advise call.
type adviceRequest struct {
	// Step is the step to place.
	Step string `json:"step"`
	// Hosts are the ids of the hosts that the adviser is asked about.
	Hosts []string `json:"hosts"`
	// TimeLeft is how long the owner waits for the answer, or 0 if it has no deadline.
	TimeLeft time.Duration `json:"left,omitempty"`
}

// peers tracks the other entries.
type peers struct {
	name    string
	table   fold.Table
	adviser fold.Adviser
	clock   fold.Clock
	log     hclog.Logger

	// self is the registration of this entry.
	self registration
	// near is the setting of the same name; 0 leaves the distance to the table out of account.
	near time.Duration

	mu        sync.Mutex
	transport *peer.Transport
	// responding holds the other entries that answered the last ping or pinged this one recently, by name.
	responding map[string]registration
	// lastContact is when each other entry last pinged this one, by name.
	lastContact map[string]fold.Instant
	// registrations holds the last read registrations of all other entries, by name.
	registrations map[string]registration
	// fitter tells of the entries that the table served at the last refresh.
	fitter fitterEntries
}

// setTransport sets this entry's side of the connections to other entries.
func (p *peers) setTransport(transport *peer.Transport) {
	p.mu.Lock()
	p.transport = transport
	p.mu.Unlock()
}

// secret reads the entries' shared secret and creates it if there is none.
func secret(ctx context.Context, table fold.Table) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
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
		return nil, fold.Unavailable.Wrap(err, "generate the shared secret of the entries")
	}
	// Another entry may create the secret first, so the row is read again in any case.
	if _, err := table.Commit(ctx, fold.Txn{Checks: []fold.Check{{Key: secretKey}}, Puts: []fold.Put{{Key: secretKey, Value: fresh}}}); err != nil && !errorx.IsOfType(err, fold.Conflict) {
		return nil, err
	}
	row, err = table.Get(ctx, secretKey)
	return row.Value, err
}

// register writes the entry's row. The write takes effect only if the row has not changed: without an answer, the table may perform it
// after the next process of the entry has registered. The row of an earlier process is replaced.
func (p *peers) register(ctx context.Context) error {
	value, err := codec.Encode(p.self)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	key := entryPrefix + p.name
	put := fold.Put{Key: key, Value: value}
	_, err = p.table.Commit(ctx, fold.Txn{Checks: []fold.Check{{Key: key}}, Puts: []fold.Put{put}})
	if !errorx.IsOfType(err, fold.Conflict) {
		return err
	}
	row, err := p.table.Get(ctx, key)
	if err != nil {
		return err
	}
	_, err = p.table.Commit(ctx, fold.Txn{Checks: []fold.Check{{Key: key, Version: row.Version}}, Puts: []fold.Put{put}})
	return err
}

// unregister removes the entry's row, unless the next process of the entry has replaced it.
func (p *peers) unregister(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	key := entryPrefix + p.name
	row, err := p.table.Get(ctx, key)
	if errorx.IsOfType(err, fold.NotFound) {
		return nil
	}
	if err != nil {
		return err
	}
	if found, err := codec.Decode[registration](row.Value); err == nil && found.Incarnation != p.self.Incarnation {
		p.log.Info("Left the registration of the next process of this entry in place.", "incarnation", found.Incarnation)
		return nil
	}
	_, err = p.table.Commit(ctx, fold.Txn{Checks: []fold.Check{{Key: key, Version: row.Version}}, Deletes: []string{key}})
	return err
}

// follow keeps the registrations and the responding entries up to date until ctx ends.
func (p *peers) follow(ctx context.Context) {
	p.setFitter(fitterEntries{})
	for ctx.Err() == nil {
		changed, err := p.refresh(ctx)
		if err != nil && ctx.Err() == nil {
			p.log.Debug("Could not read the registrations of the entries.", "error", err)
		}
		wait := refreshInterval
		if changed {
			// Entries that are lost or return at the same time are often noticed in different rounds.
			wait = changedRefreshInterval
		}
		select {
		case <-ctx.Done():
		case <-p.clock.After(wait):
		}
	}
}

// readRegistrations reads the registrations of the other entries, by name.
func (p *peers) readRegistrations(ctx context.Context) (map[string]registration, error) {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	rows, err := p.table.Scan(ctx, entryPrefix, "", maxPeers)
	if err != nil {
		return nil, err
	}
	entries := make(map[string]registration, len(rows))
	for _, row := range rows {
		entry, err := codec.Decode[registration](row.Value)
		if err != nil {
			p.log.Warn("Ignored the registration of an entry because it cannot be decoded.", "key", row.Key, "error", err)
			continue
		}
		if name := strings.TrimPrefix(row.Key, entryPrefix); name != p.name {
			entries[name] = entry
		}
	}
	return entries, nil
}

// refresh reads the registrations, pings the entries without recent contact, asks the fitter ones whether the table serves
// them, and reports whether the set of responding entries has changed.
func (p *peers) refresh(ctx context.Context) (changed bool, err error) {
	entries, err := p.readRegistrations(ctx)
	if err != nil {
		return false, err
	}
	p.mu.Lock()
	p.registrations = entries
	p.mu.Unlock()
	responding := make(map[string]registration, len(entries))
	var mu sync.Mutex
	var asking sync.WaitGroup
	now := p.clock.Now()
	for name, entry := range entries {
		if p.contactedRecently(name, now) {
			mu.Lock()
			responding[name] = entry
			mu.Unlock()
			continue
		}
		asking.Go(func() {
			call, cancel := context.WithTimeout(ctx, pingTimeout)
			defer cancel()
			if _, err := p.ownedEpoch(call, entry.Address); err == nil {
				mu.Lock()
				responding[name] = entry
				mu.Unlock()
			}
		})
	}
	asking.Wait()
	p.mu.Lock()
	changed = !maps.Equal(responding, p.responding)
	p.responding = responding
	p.mu.Unlock()
	if fitter := p.askFitter(ctx); ctx.Err() == nil {
		p.setFitter(fitter)
	}
	return changed, nil
}

// recentContact is how long an entry counts as responding after it has pinged this one. Entries that the owner's row does
// not list ping once a second.
const recentContact = 1300 * time.Millisecond

// recordContact records that an entry has pinged this one.
func (p *peers) recordContact(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastContact[name] = p.clock.Now()
}

// contactedRecently reports whether an entry has asked this one within recentContact.
func (p *peers) contactedRecently(name string, now fold.Instant) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	at, ok := p.lastContact[name]
	return ok && now.Sub(at) < recentContact
}

// announceUnrecorded tells the entries whether the owner starts unrecorded runs (on), and reports whether all of them
// have recorded the announcement. number is the number of the announcement.
func (p *peers) announceUnrecorded(ctx context.Context, entries []string, epoch, number int64, on bool) bool {
	p.mu.Lock()
	transport := p.transport
	addresses := make([]string, 0, len(entries))
	for _, entry := range p.responding {
		if slices.Contains(entries, entry.Incarnation) {
			addresses = append(addresses, entry.Address)
		}
	}
	p.mu.Unlock()
	if transport == nil || len(addresses) < len(entries) {
		return false
	}
	var group errgroup.Group
	for _, address := range addresses {
		group.Go(func() error {
			recorded, err := peer.Call[announcement, bool](ctx, transport, address, announceCall, announcement{Epoch: epoch, Number: number, On: on})
			if err == nil && !recorded {
				return errTableHealthy
			}
			return err
		})
	}
	err := group.Wait()
	if errors.Is(err, errTableHealthy) {
		p.log.Debug("An entry did not record the announcement because the table is healthy for it.", "epoch", epoch)
	}
	return err == nil
}

// errTableHealthy means that an entry did not record an announcement because the table is healthy for it.
var errTableHealthy = errors.New("the table is healthy for the entry")

// relayEntries returns the other entries that can supervise hosts, the strongest first.
func (p *peers) relayEntries() []drive.RelayEntry {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.transport == nil {
		return nil
	}
	found := make([]relayEntry, 0, len(p.registrations))
	for name, entry := range p.registrations {
		if entry.RelayCapacity > 0 {
			found = append(found, relayEntry{name: name, registration: entry, transport: p.transport, ownAddress: p.self.Address})
		}
	}
	slices.SortFunc(found, func(a, b relayEntry) int {
		return cmp.Or(cmp.Compare(b.Strength, a.Strength), cmp.Compare(a.name, b.name))
	})
	entries := make([]drive.RelayEntry, len(found))
	for i, h := range found {
		entries[i] = h
	}
	return entries
}

// peerTransport returns this entry's side of the connections to other entries, or nil before it serves them.
func (p *peers) peerTransport() *peer.Transport {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.transport
}

// ownedEpoch asks the entry at the address for the epoch in which it owns the pool; 0 means that it does not own it.
func (p *peers) ownedEpoch(ctx context.Context, address string) (int64, error) {
	transport := p.peerTransport()
	if transport == nil {
		return 0, fold.Refuse(fold.Unavailable, "retry later", "cannot ping another entry: this entry does not serve other entries yet")
	}
	return peer.Call[struct{}, int64](ctx, transport, address, ownedEpochCall, struct{}{})
}

// adviceCallers returns the entries that can call the adviser, including this one, by name.
func (p *peers) adviceCallers() []drive.AdviceCaller {
	callers := []drive.AdviceCaller{localAdviceCaller{name: p.name, adviser: p.adviser}}
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, entry := range p.responding {
		if p.transport != nil {
			callers = append(callers, remoteAdviceCaller{name: name, address: entry.Address, transport: p.transport})
		}
	}
	slices.SortFunc(callers, func(a, b drive.AdviceCaller) int { return cmp.Compare(a.Name(), b.Name()) })
	return callers
}

// localAdviceCaller calls the adviser from this entry.
type localAdviceCaller struct {
	name    string
	adviser fold.Adviser
}

var _ drive.AdviceCaller = localAdviceCaller{}

// Name returns the name of the entry.
func (l localAdviceCaller) Name() string {
	return l.name
}

// Advise calls the adviser.
func (l localAdviceCaller) Advise(ctx context.Context, step string, hosts []string) (fold.Advice, error) {
	return l.adviser.Advise(ctx, step, hosts)
}

// remoteAdviceCaller asks another entry to call the adviser.
type remoteAdviceCaller struct {
	name, address string
	transport     *peer.Transport
}

var _ drive.AdviceCaller = remoteAdviceCaller{}

// Name returns the name of the entry.
func (r remoteAdviceCaller) Name() string {
	return r.name
}

// Advise asks the entry to call the adviser.
func (r remoteAdviceCaller) Advise(ctx context.Context, step string, hosts []string) (fold.Advice, error) {
	return peer.Call[adviceRequest, fold.Advice](ctx, r.transport, r.address, adviseCall, adviceRequest{Step: step, Hosts: hosts, TimeLeft: timeLeft(ctx)})
}

// registerAdviceCalls registers the handler of the calls to the adviser that this entry makes for the owner.
func (n *Node) registerAdviceCalls(transport *peer.Transport) {
	peer.Handle(transport, adviseCall, func(ctx context.Context, _ string, q adviceRequest) (fold.Advice, error) {
		if q.TimeLeft > 0 {
			// The owner no longer waits then, and the adviser would serve the next call of this entry after this one.
			var cancel context.CancelFunc
			ctx, cancel = context.WithTimeout(ctx, q.TimeLeft)
			defer cancel()
		}
		return n.parts.Adviser.Advise(ctx, q.Step, q.Hosts)
	})
}
