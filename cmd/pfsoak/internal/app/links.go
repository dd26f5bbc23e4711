package app

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"plantainfold.example/fold"
	"plantainfold.example/fold/plat"
)

// link identifies the connections from an entry to a host or to another entry.
type link struct {
	from, to string
}

// links holds a proxy for each address at which an entry reaches a host or another entry. Entries find each other and the
// hosts by rows of the store, so linkedStore replaces the addresses there.
type links struct {
	// entries are the names of the entries whose links have proxies.
	entries []string

	mu sync.Mutex
	// proxies holds one proxy for each address that the target of a link has had.
	proxies map[link][]*proxy
	// toProxies replaces, for each entry, the addresses of its targets by those of its proxies; toTargets does the reverse for
	// all proxies.
	toProxies map[string]*strings.Replacer
	toTargets *strings.Replacer
}

func newLinks(entries []string) *links {
	return &links{entries: entries, proxies: make(map[link][]*proxy), toProxies: make(map[string]*strings.Replacer)}
}

// addTarget adds proxies from all other entries to an address of a host or entry.
func (l *links) addTarget(ctx context.Context, name, address string) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, from := range l.entries {
		if from != name {
			if err := l.addProxy(ctx, link{from, name}, address); err != nil {
				return err
			}
		}
	}
	l.buildReplacers()
	return nil
}

// addProxy adds a proxy to a link. A proxy to a new address takes over the fault of the link. The caller holds the lock.
func (l *links) addProxy(ctx context.Context, key link, address string) error {
	p, err := newProxy(ctx, address)
	if err != nil {
		return err
	}
	if len(p.address()) != len(address) {
		return errors.Join(p.Close(), fmt.Errorf("the address %s of a proxy must be as long as %s, which it replaces in encoded rows", p.address(), address))
	}
	if earlier := l.proxies[key]; len(earlier) > 0 {
		p.setMode(earlier[0].currentMode())
	}
	l.proxies[key] = append(l.proxies[key], p)
	return nil
}

// buildReplacers updates the replacers after proxies were added. The caller holds the lock.
func (l *links) buildReplacers() {
	toProxies := make(map[string][]string)
	var toTargets []string
	for key, proxies := range l.proxies {
		for _, p := range proxies {
			toProxies[key.from] = append(toProxies[key.from], p.target, p.address())
			toTargets = append(toTargets, p.address(), p.target)
		}
	}
	for from, pairs := range toProxies {
		l.toProxies[from] = strings.NewReplacer(pairs...)
	}
	l.toTargets = strings.NewReplacer(toTargets...)
}

// set injects a fault into links. The function modeOf returns the mode for a link, or modePass to leave it as it is. The
// returned function ends the fault.
func (l *links) set(modeOf func(from, to string) mode) (restore func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var affected []link
	for key, proxies := range l.proxies {
		m := modeOf(key.from, key.to)
		if m == modePass {
			continue
		}
		affected = append(affected, key)
		for _, p := range proxies {
			p.setMode(m)
		}
	}
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		for _, key := range affected {
			for _, p := range l.proxies[key] {
				p.restore()
			}
		}
	}
}

// Close closes all proxies.
func (l *links) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	var errs []error
	for _, proxies := range l.proxies {
		for _, p := range proxies {
			errs = append(errs, p.Close())
		}
	}
	return errors.Join(errs...)
}

// linkedStore is the store as one entry sees it: rows hold the addresses of the entry's proxies instead of those of hosts
// and other entries.
type linkedStore struct {
	*plat.FaultyTable
	*plat.FaultyChangeFeed
	links *links
	entry string
}

var (
	_ fold.Table      = linkedStore{}
	_ fold.ChangeFeed = linkedStore{}
)

// addressTables are the tables whose rows hold addresses.
var addressTables = []string{"servers/", "entry/", "lead/", "used/"}

// replace returns the row with the addresses that the entry sees.
func (s linkedStore) replace(row fold.Row) fold.Row {
	s.links.mu.Lock()
	replacer := s.links.toProxies[s.entry]
	s.links.mu.Unlock()
	row.Value = replaceAddresses(replacer, row.Key, row.Value)
	return row
}

func replaceAddresses(replacer *strings.Replacer, key string, value []byte) []byte {
	if replacer == nil || !slices.ContainsFunc(addressTables, func(table string) bool { return strings.HasPrefix(key, table) }) {
		return value
	}
	return []byte(replacer.Replace(string(value)))
}

// Commit applies a transaction.
func (s linkedStore) Commit(ctx context.Context, txn fold.Txn) (int64, error) {
	s.links.mu.Lock()
	replacer := s.links.toTargets
	s.links.mu.Unlock()
	for i, put := range txn.Puts {
		txn.Puts[i].Value = replaceAddresses(replacer, put.Key, put.Value)
	}
	return s.FaultyTable.Commit(ctx, txn)
}

// Snapshot returns all rows of a table and a version such that the rows contain every change up to it.
func (s linkedStore) Snapshot(ctx context.Context, table string) ([]fold.Row, int64, error) {
	rows, version, err := s.FaultyChangeFeed.Snapshot(ctx, table)
	for i := range rows {
		rows[i] = s.replace(rows[i])
	}
	return rows, version, err
}

// Changes returns the changes of a table after the version.
func (s linkedStore) Changes(ctx context.Context, table string, after int64, wait time.Duration) ([]fold.RowChange, int64, error) {
	changes, version, err := s.FaultyChangeFeed.Changes(ctx, table, after, wait)
	for i := range changes {
		changes[i].Row = s.replace(changes[i].Row)
	}
	return changes, version, err
}
