package node

import (
	"cmp"
	"context"
	"slices"
	"sync/atomic"

	"github.com/joomcode/errorx"
	"golang.org/x/sync/errgroup"

	"plantainfold.example/fold"
	"plantainfold.example/fold/peer"
)

// fitterEntries tells whether other entries should own the pool instead of this one.
type fitterEntries struct {
	// stronger reports whether there is an entry that is so much stronger that this one is not fit to own the pool.
	stronger bool
	// nearer reports whether there is a fit entry that reaches the table faster by more than the setting near.
	nearer bool
}

// maxFitterAsked bounds how many entries askFitter asks at a time.
const maxFitterAsked = 16

// askFitter asks the responding entries that should rather own the pool whether the table serves them.
func (p *peers) askFitter(ctx context.Context) fitterEntries {
	transport := p.peerTransport()
	if transport == nil {
		return fitterEntries{}
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	p.mu.Lock()
	self := p.self
	p.mu.Unlock()
	var stronger, nearer atomic.Bool
	var group errgroup.Group
	group.SetLimit(maxFitterAsked)
	ranked := p.ranked()
	for _, entry := range ranked {
		isStronger := self.Strength < fitShare*entry.Strength
		// A nearer entry counts only if it comes first among the successors. Otherwise each of them would hand over to the
		// next one because of it.
		isNearer := entry.Strength >= max(self.Strength, ranked[0].Strength) && p.reachesTableLater(self, entry)
		if ctx.Err() != nil || !isStronger && !isNearer {
			continue
		}
		group.Go(func() error {
			call, cancelCall := context.WithTimeout(ctx, pingTimeout)
			defer cancelCall()
			healthy, err := peer.Call[struct{}, bool](call, transport, entry.Address, tableHealthyCall, struct{}{})
			// An entry of an earlier version does not know the call and refuses it as Invalid.
			if err != nil && !errorx.IsOfType(err, fold.Invalid) || err == nil && !healthy {
				return nil
			}
			if isNearer {
				nearer.Store(true)
			}
			if isStronger {
				stronger.Store(true)
				cancel()
			}
			return nil
		})
	}
	_ = group.Wait()
	return fitterEntries{stronger: stronger.Load(), nearer: nearer.Load()}
}

func (p *peers) setFitter(fitter fitterEntries) {
	p.mu.Lock()
	p.fitter = fitter
	p.mu.Unlock()
}

// fitShare is the share of the strongest entry's strength that an entry needs to be fit to own the pool.
const fitShare = 0.7

// ranked returns the other responding entries, the strongest first. Of equally strong ones, those near the table come first.
func (p *peers) ranked() []registration {
	p.mu.Lock()
	defer p.mu.Unlock()
	entries := make([]registration, 0, len(p.responding))
	nearest := registration{}
	for _, entry := range p.responding {
		entries = append(entries, entry)
		if entry.TableTime > 0 && (nearest.TableTime == 0 || entry.TableTime < nearest.TableTime) {
			nearest = entry
		}
	}
	far := func(entry registration) int {
		if p.reachesTableLater(entry, nearest) {
			return 1
		}
		return 0
	}
	slices.SortFunc(entries, func(a, b registration) int {
		return cmp.Or(cmp.Compare(b.Strength, a.Strength), cmp.Compare(far(a), far(b)), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	return entries
}

// maxListed bounds the number of entries that the owner's row lists, because the row is written with every commit. Unlisted
// entries take over last.
const maxListed = 16

// entries returns the incarnations of the strongest other responding entries, the strongest first, and how many of them
// are fit to own the pool.
func (p *peers) entries() (incarnations []string, fitCount int) {
	ranked := p.ranked()
	ranked = ranked[:min(len(ranked), maxListed)]
	for _, entry := range ranked {
		incarnations = append(incarnations, entry.Incarnation)
		if entry.Strength >= fitShare*max(p.self.Strength, ranked[0].Strength) {
			fitCount++
		}
	}
	return incarnations, fitCount
}

// fitterExists reports whether the table serves another entry that should own the pool instead of this one: one that is so much
// stronger that this one is not fit, or, if the pool is idle, also one that reaches the table faster. An entry without the
// table could not take over.
func (p *peers) fitterExists(idle bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fitter.stronger || idle && p.fitter.nearer
}

// invite asks the responding entries, the strongest first, to take over from the owner of the epoch, until one accepts.
func (p *peers) invite(ctx context.Context, epoch int64) {
	transport := p.peerTransport()
	if transport == nil {
		return
	}
	for _, entry := range p.ranked() {
		call, cancel := context.WithTimeout(ctx, pingTimeout)
		accepted, err := peer.Call[int64, bool](call, transport, entry.Address, inviteCall, epoch)
		cancel()
		if err == nil && accepted {
			return
		}
	}
}
