package book

import (
	"cmp"
	"crypto/sha256"
	"slices"
	"strings"

	"plantainfold.example/fold"
)

// Index is an immutable index of one revision of the configuration.
type Index struct {
	rules        fold.Rules
	queuesByHost map[string][]fold.Queue
	teamsByKey   map[[sha256.Size]byte]string
}

// New returns an index of the rules.
func New(rules fold.Rules) *Index {
	b := &Index{rules: rules, queuesByHost: make(map[string][]fold.Queue), teamsByKey: make(map[[sha256.Size]byte]string)}
	for _, q := range rules.Queues {
		b.queuesByHost[q.Host] = append(b.queuesByHost[q.Host], q)
	}
	for _, queues := range b.queuesByHost {
		slices.SortStableFunc(queues, func(a, b fold.Queue) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for _, team := range rules.Teams {
		for _, key := range team.Keys {
			b.teamsByKey[sha256.Sum256([]byte(key))] = team.Name
		}
	}
	return b
}

// Rules returns the rules of the index.
func (b *Index) Rules() fold.Rules {
	return b.rules
}

// Queue returns the queue of the HTTP host whose prefix is the longest that matches the path, and the rest of the path.
func (b *Index) Queue(host, path string) (queue fold.Queue, rest string, ok bool) {
	for _, q := range b.queuesByHost[host] {
		if rest, ok := strings.CutPrefix(path, q.Prefix); ok {
			return q, rest, true
		}
	}
	return fold.Queue{}, "", false
}

// Team returns the team of a key. Keys are looked up by their hashes, so that the time of a lookup reveals nothing about
// them.
func (b *Index) Team(key string) (string, bool) {
	team, ok := b.teamsByKey[sha256.Sum256([]byte(key))]
	return team, ok
}
