package book

import (
	"cmp"
	"crypto/sha256"
	"slices"
	"strings"

	"plantainfold.example/fold"
)

// Index is an index of one revision of the configuration; it never changes.
type Index struct {
	rules  fold.Rules
	byHost map[string][]fold.Queue
	teams  map[[sha256.Size]byte]string
}

// New returns the index of the rules.
func New(rules fold.Rules) *Index {
	b := &Index{rules: rules, byHost: make(map[string][]fold.Queue), teams: make(map[[sha256.Size]byte]string)}
	for _, q := range rules.Queues {
		b.byHost[q.Host] = append(b.byHost[q.Host], q)
	}
	for _, queues := range b.byHost {
		slices.SortStableFunc(queues, func(a, b fold.Queue) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for _, team := range rules.Teams {
		for _, key := range team.Keys {
			b.teams[sha256.Sum256([]byte(key))] = team.Name
		}
	}
	return b
}

// Rules returns the revision.
func (b *Index) Rules() fold.Rules {
	return b.rules
}

// Queue returns the queue with the longest prefix of the path, and what follows the prefix.
func (b *Index) Queue(host, path string) (queue fold.Queue, rest string, ok bool) {
	for _, q := range b.byHost[host] {
		if rest, ok := strings.CutPrefix(path, q.Prefix); ok {
			return q, rest, true
		}
	}
	return fold.Queue{}, "", false
}

// Team returns the team of a key. Keys are compared by their hashes, so that the time tells nothing about them.
func (b *Index) Team(key string) (string, bool) {
	team, ok := b.teams[sha256.Sum256([]byte(key))]
	return team, ok
}
