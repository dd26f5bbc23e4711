package entry

import (
	"context"
	"time"

	"plantainfold.example/fold/peer"
	"plantainfold.example/fold/quota"
	"plantainfold.example/fold/store"
)

const (
	// contendedPeriod is how long a pool returns unneeded allotment at once after another pool reported that it lacks
	// allotment.
	contendedPeriod = 2 * time.Second
	// returnRetryDelay is the delay after which a pool that asked others to return allotment tries again to get some.
	returnRetryDelay = 150 * time.Millisecond
)

// returnCall reports that a pool lacks allotment of a team. Pools are those pools of the called entry that hold some of it.
type returnCall struct {
	Team  string   `json:"team"`
	Pools []string `json:"pools"`
}

// requestReturns asks the owners of other pools to return allotment of a team that they do not need.
func (p *pool) requestReturns(team string, s quota.Split) {
	holders := make(map[string]returnCall)
	addresses := make(map[string]string)
	for pool := range s.Held {
		at, ok := p.entry.ownerOf(store.PoolPrefix + pool)
		if !ok || pool == p.id {
			continue
		}
		addresses[at.ID] = at.Address
		call := holders[at.ID]
		holders[at.ID] = returnCall{Team: team, Pools: append(call.Pools, pool)}
	}
	for id, call := range holders {
		if id == p.entry.settings.Name {
			p.entry.returnUnused(call)
			continue
		}
		ctx, cancel := context.WithTimeout(p.ctx, peerTimeout)
		if _, err := peer.Call[returnCall, emptyAnswer](ctx, p.entry.node, addresses[id], kindReturn, call); err != nil {
			p.log.Debug("Cannot ask an entry to return allotment.", "team", team, "entry", id, "error", err)
		}
		cancel()
	}
}

// returnUnused makes pools of this entry return allotment of a team that they do not need.
func (e *Entry) returnUnused(call returnCall) {
	for _, id := range call.Pools {
		p := e.pool(id)
		if p == nil {
			continue
		}
		p.mu.Lock()
		p.allotmentOf(call.Team).contendedUntil = e.clock.Now().Add(contendedPeriod)
		p.mu.Unlock()
		wake(p.exchangeWake)
	}
}

// contendedTeams returns the teams that lack allotment in pools of this entry other than except, or in pools of peers.
func (e *Entry) contendedTeams(excluded *pool) map[string]bool {
	short := e.localShortTeams(excluded)
	for _, b := range e.heartbeats() {
		for _, team := range b.ShortTeams {
			short[team] = true
		}
	}
	return short
}

// localShortTeams returns the teams that lack allotment in pools of this entry other than except.
func (e *Entry) localShortTeams(excluded *pool) map[string]bool {
	short := make(map[string]bool)
	for _, p := range e.allPools() {
		if p == excluded {
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
