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
	// minMoveWait is the minimum time that tasks wait in their pool before they may move to another.
	minMoveWait = 5 * time.Second
	// movePeriod is the time between two searches for tasks to move.
	movePeriod = 2 * time.Second
	// maxMoves is the maximum number of jobs of which one search moves tasks.
	maxMoves = 8
	// maxParts is the maximum number of parts of one job.
	maxParts = 64
)

// transfer is a move of tasks to another pool whose transaction is not settled.
type transfer struct {
	move sched.Move
	// to is the id of the pool that receives the tasks.
	to string
	// id is the id of the new part.
	id string
	// txn is the transaction of the move.
	txn fold.Txn
}

// moveParts moves tasks that have waited for minMoveWait to pools with free capacity. One transaction removes them from the
// part of this pool and writes the new part, so that each task always belongs to exactly one pool.
func (p *pool) moveParts(ctx context.Context) {
	p.commitMoves(ctx)
	now := p.entry.clock.Now()
	if len(p.moves) > 0 || now.Sub(p.lastMoveSearch) < movePeriod || p.entry.standing() == owner.ModeNone {
		return
	}
	p.lastMoveSearch = now
	p.mu.Lock()
	movables := slices.DeleteFunc(p.sched.Movables(now, minMoveWait, maxMoves), func(m sched.Movable) bool {
		// A task that fits into this pool waits for another reason, such as the limit of its team.
		return p.sched.HasCapacity(m.Spec.Resources)
	})
	p.mu.Unlock()
	if len(movables) == 0 {
		return
	}
	headroom := slices.DeleteFunc(p.entry.known(), func(r spread.PoolCapacity) bool { return r.Pool == p.id })
	for _, m := range movables {
		if err := p.movePart(ctx, m, headroom); err != nil {
			p.log.Warn("Cannot move waiting tasks to another pool.", "job", m.Spec.ID, "error", err)
			return
		}
	}
	p.commitMoves(ctx)
}

// movePart prepares the transfer of tasks of one job and adds it to p.moves.
func (p *pool) movePart(ctx context.Context, m sched.Movable, headroom []spread.PoolCapacity) error {
	to, count := spread.BestPool(m.Spec, m.Waiting, headroom)
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
	// The id is unique to this transfer, so that its outcome is not confused with that of another.
	id := fold.MovedID(m.Spec.ID, strings.ReplaceAll(uuid.NewString(), "-", ""))
	txn, err := store.MoveTxn(index, p.id, p.epoch, to, p.entry.epochOf(to), id, move)
	if err != nil {
		p.settleMove(move, false)
		return err
	}
	p.moves = append(p.moves, transfer{move: move, to: to, id: id, txn: txn})
	return nil
}

// commitMoves commits the transfers. It commits a transfer of unknown outcome again with the same checks, so that it takes
// effect at most once.
func (p *pool) commitMoves(ctx context.Context) {
	var unsettled []transfer
	for _, t := range p.moves {
		moved, known := p.commitMove(ctx, t)
		if !known {
			unsettled = append(unsettled, t)
			continue
		}
		p.settleMove(t.move, moved)
		if moved {
			p.announceMove(ctx, t)
		}
	}
	p.moves = unsettled
}

// commitMove reports whether the tasks have left this pool, and whether that is known.
func (p *pool) commitMove(ctx context.Context, t transfer) (bool, bool) {
	_, err := p.entry.table.Commit(ctx, t.txn)
	if err == nil {
		return true, true
	}
	if !errorx.IsOfType(err, fold.Conflict) {
		p.log.Warn("The outcome of moving tasks to another pool is unknown. Trying again.", "job", t.move.Part.ID, "error", err)
		return false, false
	}
	index, err := store.Get[store.JobIndex](ctx, p.entry.table, store.IndexPrefix+fold.BaseID(t.id))
	if err != nil {
		return false, errorx.IsOfType(err, fold.NotFound)
	}
	moved := slices.ContainsFunc(index.Value.Parts, func(part fold.Part) bool { return part.Pool == t.to && part.Job == t.id })
	return moved, true
}

// settleMove tells the scheduler whether the tasks of a move have left the pool.
func (p *pool) settleMove(m sched.Move, moved bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sched.EndMove(m, moved)
	p.wakeDecisions()
}

// announceMove notifies the owner of the target pool of the new part, and forwards a cancellation that arrived during the
// move.
func (p *pool) announceMove(ctx context.Context, t transfer) {
	p.log.Info("Moved waiting tasks to another pool.", "part", t.id, "to", t.to)
	if err := p.entry.announcePart(ctx, assignCall{Pool: t.to, Epoch: p.entry.epochOf(t.to), Job: t.id}); err != nil {
		p.log.Debug("Cannot notify the owner of a pool of a moved part.", "pool", t.to, "error", err)
	}
	p.mu.Lock()
	cancelled := p.sched.Cancelled(t.move.Part.ID)
	p.mu.Unlock()
	if !cancelled {
		return
	}
	if _, err := p.entry.queryPart(ctx, jobCall{Pool: t.to, Job: t.id}, kindCancel); err != nil {
		p.log.Warn("Cannot forward a cancellation to a moved part.", "part", t.id, "pool", t.to, "error", err)
	}
}

// epochOf returns the version of a pool's row by the last scan.
func (e *Entry) epochOf(pool string) int64 {
	return e.epochsOf([]fold.Part{{Pool: pool}})[pool]
}
