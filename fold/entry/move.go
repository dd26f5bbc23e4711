package entry

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/joomcode/errorx"

	"plantainfold.example/fold"
	"plantainfold.example/fold/owner"
	"plantainfold.example/fold/sched"
	"plantainfold.example/fold/spread"
	"plantainfold.example/fold/store"
)

const (
	// moveAge is how long tasks wait in their pool before they may go to another.
	moveAge = 5 * time.Second
	// movePeriod is the time between two searches for tasks to move.
	movePeriod = 2 * time.Second
	// maxMoves bounds the jobs moved by one search.
	maxMoves = 8
	// maxParts bounds the parts of one job.
	maxParts = 64
)

// transfer is a move whose transaction may be under way.
type transfer struct {
	move sched.Move
	to   string
	// id is the id of the new part.
	id  string
	txn fold.Txn
}

// moveParts moves tasks that found no room for moveAge to pools with room. One transaction takes them out of the part
// here and writes the new part, so that each task always belongs to exactly one pool.
func (p *pool) moveParts(ctx context.Context) {
	p.finishMoves(ctx)
	now := p.entry.clock.Now()
	if len(p.moves) > 0 || now.Sub(p.moved) < movePeriod || p.entry.standing() == owner.ModeNone {
		return
	}
	p.moved = now
	p.mu.Lock()
	movables := slices.DeleteFunc(p.sched.Movables(now, moveAge, maxMoves), func(m sched.Movable) bool {
		// Work that has room here waits for something else, such as the limit of its team.
		return p.sched.HasCapacity(m.Spec.Resources)
	})
	p.mu.Unlock()
	if len(movables) == 0 {
		return
	}
	rooms := slices.DeleteFunc(p.entry.rooms(), func(r spread.Room) bool { return r.Pool == p.id })
	for _, m := range movables {
		if err := p.movePart(ctx, m, rooms); err != nil {
			p.log.Warn("Cannot move waiting tasks to another pool.", "job", m.Spec.ID, "error", err)
			return
		}
	}
	p.finishMoves(ctx)
}

// movePart prepares the transfer of tasks of one job.
func (p *pool) movePart(ctx context.Context, m sched.Movable, rooms []spread.Room) error {
	to, count := spread.Target(m.Spec, m.Waiting, rooms)
	if count == 0 {
		return nil
	}
	index, err := store.Get[store.JobIndex](ctx, p.entry.table, store.IndexPrefix+fold.BaseID(m.Spec.ID))
	if err != nil {
		return err
	}
	if len(index.Value.Parts) >= maxParts {
		return nil
	}
	p.mu.Lock()
	move, ok := p.sched.BeginMove(m.Spec.ID, count)
	p.mu.Unlock()
	if !ok {
		return nil
	}
	// The id is of this transfer alone, so that its outcome can be told from that of another.
	id := fold.MovedID(m.Spec.ID, strings.ReplaceAll(uuid.NewString(), "-", ""))
	txn, err := store.MoveTxn(index, p.id, p.epoch, to, p.entry.epochOf(to), id, move)
	if err != nil {
		p.settle(move, false)
		return err
	}
	p.moves = append(p.moves, transfer{move: move, to: to, id: id, txn: txn})
	return nil
}

// finishMoves commits the transfers. One without a certain outcome is committed again with the same checks, which takes
// effect at most once.
func (p *pool) finishMoves(ctx context.Context) {
	var open []transfer
	for _, t := range p.moves {
		gone, known := p.commitMove(ctx, t)
		if !known {
			open = append(open, t)
			continue
		}
		p.settle(t.move, gone)
		if gone {
			p.tellTarget(ctx, t)
		}
	}
	p.moves = open
}

// commitMove reports whether the tasks are gone, and whether that is known.
func (p *pool) commitMove(ctx context.Context, t transfer) (bool, bool) {
	_, err := p.entry.table.Commit(ctx, t.txn)
	if err == nil {
		return true, true
	}
	if !errorx.IsOfType(err, fold.Conflict) {
		p.log.Warn("A move has no certain outcome. Trying again.", "job", t.move.Part.ID, "error", err)
		return false, false
	}
	index, err := store.Get[store.JobIndex](ctx, p.entry.table, store.IndexPrefix+fold.BaseID(t.id))
	if err != nil {
		return false, errorx.IsOfType(err, fold.NotFound)
	}
	gone := slices.ContainsFunc(index.Value.Parts, func(part fold.Part) bool { return part.Pool == t.to && part.Job == t.id })
	return gone, true
}

func (p *pool) settle(m sched.Move, gone bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sched.EndMove(m, gone)
	p.wakeDecisions()
}

// tellTarget announces the part to its new owner, and passes on a cancellation that came in between.
func (p *pool) tellTarget(ctx context.Context, t transfer) {
	p.log.Info("Moved waiting tasks to another pool.", "part", t.id, "to", t.to)
	if err := p.entry.assign(ctx, assignCall{Pool: t.to, Epoch: p.entry.epochOf(t.to), Job: t.id}); err != nil {
		p.log.Debug("Cannot tell the owner of a moved part.", "pool", t.to, "error", err)
	}
	p.mu.Lock()
	cancelled := p.sched.Cancelled(t.move.Part.ID)
	p.mu.Unlock()
	if !cancelled {
		return
	}
	if _, err := p.entry.askPart(ctx, jobCall{Pool: t.to, Job: t.id}, kindCancel); err != nil {
		p.log.Warn("Cannot pass a cancellation on to a moved part.", "part", t.id, "pool", t.to, "error", err)
	}
}

// epochOf returns the version of a pool's row by the last scan.
func (e *Entry) epochOf(pool string) int64 {
	return e.epochsOf([]fold.Part{{Pool: pool}})[pool]
}
