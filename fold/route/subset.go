package route

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"plantainfold.example/fold"
)

// EntriesPerEndpoint is the number of entries that connect to one endpoint. With MaxInflightPerEndpoint requests for each
// entry they use its 64 connections.
const EntriesPerEndpoint = 16

// Subset returns the endpoints that the entry self connects to. With at most EntriesPerEndpoint entries these are all
// endpoints. Otherwise they are the endpoints for which self is among the first EntriesPerEndpoint entries by rendezvous
// hashing, where entries of the endpoint's region rank before others.
func Subset(self string, entries, endpoints []fold.Instance) []fold.Instance {
	if len(entries) <= EntriesPerEndpoint {
		return endpoints
	}
	var selected []fold.Instance
	for _, endpoint := range endpoints {
		if selects(self, entries, endpoint) {
			selected = append(selected, endpoint)
		}
	}
	return selected
}

// selects reports whether self is among the first EntriesPerEndpoint entries that rank for the endpoint.
func selects(self string, entries []fold.Instance, endpoint fold.Instance) bool {
	index := slices.IndexFunc(entries, func(e fold.Instance) bool { return e.Name == self })
	if index < 0 {
		return false
	}
	own := rankOf(entries[index], endpoint)
	before := 0
	for _, e := range entries {
		if e.Name != self && own.less(rankOf(e, endpoint)) {
			before++
		}
	}
	return before < EntriesPerEndpoint
}

// rank orders the entries for an endpoint. Entries with a higher rank come first.
type rank struct {
	sameRegion bool
	hash       uint64
	name       string
}

func rankOf(entry, endpoint fold.Instance) rank {
	return rank{sameRegion: entry.Region == endpoint.Region, hash: xxhash.Sum64String(entry.Name + "\x00" + endpoint.Name), name: entry.Name}
}

func (r rank) less(o rank) bool {
	if r.sameRegion != o.sameRegion {
		return o.sameRegion
	}
	if r.hash != o.hash {
		return r.hash < o.hash
	}
	return r.name < o.name
}
