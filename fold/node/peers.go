package node

import (
	"context"
	"crypto/rand"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/joomcode/errorx"

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
	Address string `json:"address"`
}

// advising is the question of an advise call.
type advising struct {
	Step  string   `json:"step"`
	Hosts []string `json:"hosts"`
}

// peers knows the other entries.
type peers struct {
	name    string
	address string
	table   fold.Table
	adviser fold.Adviser
	clock   fold.Clock
	log     hclog.Logger

	mu    sync.Mutex
	node  *peer.Node
	known map[string]string
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
	value, err := codec.Encode(registration{Address: p.address})
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
		if err := p.read(ctx); err != nil && ctx.Err() == nil {
			p.log.Debug("Could not read the entries.", "error", err)
		}
		select {
		case <-ctx.Done():
		case <-p.clock.After(peersEvery):
		}
	}
}

func (p *peers) read(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, tableTime)
	defer cancel()
	rows, err := p.table.Scan(ctx, entryPrefix, "", maxPeers)
	if err != nil {
		return err
	}
	known := make(map[string]string, len(rows))
	for _, row := range rows {
		entry, err := codec.Decode[registration](row.Value)
		if err != nil {
			p.log.Warn("Ignored the row of an entry that cannot be read.", "key", row.Key, "error", err)
			continue
		}
		known[strings.TrimPrefix(row.Key, entryPrefix)] = entry.Address
	}
	p.mu.Lock()
	p.known = known
	p.mu.Unlock()
	return nil
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
func (p *peers) askers() []drive.Asker {
	askers := []drive.Asker{local{name: p.name, adviser: p.adviser}}
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, address := range p.known {
		if name != p.name && p.node != nil {
			askers = append(askers, remote{name: name, address: address, node: p.node})
		}
	}
	return askers
}

// local calls the adviser from this entry.
type local struct {
	name    string
	adviser fold.Adviser
}

var _ drive.Asker = local{}

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

var _ drive.Asker = remote{}

// Name returns the name of the entry.
func (r remote) Name() string {
	return r.name
}

// Advise asks the entry for its call.
func (r remote) Advise(ctx context.Context, step string, hosts []string) (fold.Advice, error) {
	return peer.Call[advising, fold.Advice](ctx, r.node, r.address, adviseCall, advising{Step: step, Hosts: hosts})
}
