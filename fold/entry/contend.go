package entry

import (
	"context"
	"time"

	"plantainfold.example/fold/peer"
	"plantainfold.example/fold/quota"
	"plantainfold.example/fold/store"
)

const (
	// contendTime is how long a pool gives way after another one has said that it lacks allotment.
	contendTime = 2 * time.Second
	// shortRetry is when a pool that lacks allotment asks again after the others were told.
	shortRetry = 150 * time.Millisecond
)

// shortCall says that a pool lacks allotment of a team of which the given pools hold some.
type shortCall struct {
	Team  string   `json:"team"`
	Pools []string `json:"pools"`
}

// tellShort asks the owners of other pools to return allotment that they do not need.
func (p *pool) tellShort(team string, s quota.Split) {
	holders := make(map[string]shortCall)
	addresses := make(map[string]string)
	for pool := range s.Held {
		at, ok := p.entry.ownerOf(store.PoolPrefix + pool)
		if !ok || pool == p.id {
			continue
		}
		addresses[at.ID] = at.Address
		call := holders[at.ID]
		holders[at.ID] = shortCall{Team: team, Pools: append(call.Pools, pool)}
	}
	for id, call := range holders {
		if id == p.entry.settings.Name {
			p.entry.returnUnused(call)
			continue
		}
		ctx, cancel := context.WithTimeout(p.ctx, peerTime)
		if _, err := peer.Call[shortCall, done](ctx, p.entry.node, addresses[id], kindShort, call); err != nil {
			p.log.Debug("Cannot ask for allotment.", "team", team, "entry", id, "error", err)
		}
		cancel()
	}
}

// returnUnused makes pools of this entry return allotment of a team that they do not need.
func (e *Entry) returnUnused(call shortCall) {
	for _, id := range call.Pools {
		p := e.pool(id)
		if p == nil {
			continue
		}
		p.mu.Lock()
		p.allot(call.Team).contended = e.clock.Now().Add(contendTime)
		p.mu.Unlock()
		wake(p.records)
	}
}

// contended returns the teams that lack allotment in other pools of this entry or in pools of peers.
func (e *Entry) contended(except *pool) map[string]bool {
	short := e.ownShort(except)
	for _, b := range e.heartbeats() {
		for _, team := range b.Short {
			short[team] = true
		}
	}
	return short
}

// ownShort returns the teams that lack allotment in pools of this entry, except one.
func (e *Entry) ownShort(except *pool) map[string]bool {
	short := make(map[string]bool)
	for _, p := range e.allPools() {
		if p == except {
			continue
		}
		for _, team := range p.shortTeams() {
			short[team] = true
		}
	}
	return short
}

// shortTeams lists the teams that lack allotment in the pool.
func (p *pool) shortTeams() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var short []string
	for team, a := range p.allotments {
		if a.holder.Short() {
			short = append(short, team)
		}
	}
	return short
}
