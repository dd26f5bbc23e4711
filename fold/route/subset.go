package route

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"plantainfold.example/fold"
)

// EntriesPerEndpoint is how many entries connect to one endpoint; with Window each they use its 64 connections.
const EntriesPerEndpoint = 16

// Subset returns the endpoints that the entry connects to: all, or with more than EntriesPerEndpoint entries those for
// which it is among the first by rendezvous hashing, entries of the endpoint's region before others.
func Subset(self string, entries, endpoints []fold.Instance) []fold.Instance {
	if len(entries) <= EntriesPerEndpoint {
		return endpoints
	}
	var mine []fold.Instance
	for _, endpoint := range endpoints {
		if serves(self, entries, endpoint) {
			mine = append(mine, endpoint)
		}
	}
	return mine
}

// serves counts the entries that rank before self.
func serves(self string, entries []fold.Instance, endpoint fold.Instance) bool {
	at := slices.IndexFunc(entries, func(e fold.Instance) bool { return e.Name == self })
	if at < 0 {
		return false
	}
	own := rankOf(entries[at], endpoint)
	before := 0
	for _, e := range entries {
		if e.Name != self && own.less(rankOf(e, endpoint)) {
			before++
		}
	}
	return before < EntriesPerEndpoint
}

// rank orders the entries of an endpoint; the higher come first.
type rank struct {
	near bool
	hash uint64
	name string
}

func rankOf(entry, endpoint fold.Instance) rank {
	return rank{near: entry.Region == endpoint.Region, hash: xxhash.Sum64String(entry.Name + "\x00" + endpoint.Name), name: entry.Name}
}

func (r rank) less(o rank) bool {
	if r.near != o.near {
		return o.near
	}
	if r.hash != o.hash {
		return r.hash < o.hash
	}
	return r.name < o.name
}
