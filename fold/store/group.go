package store

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"
	"golang.org/x/time/rate"

	"plantainfold.example/fold"
)

// Limits of group commit.
const (
	// CommitsPerSecond is the most commits that an entry sends in any second. Within a second a token bucket allows its
	// burst and one second's refill, so the limit is their sum.
	CommitsPerSecond = commitRate + commitBurst
	// commitRate is the refill of the token bucket in commits per second.
	commitRate = 16
	// commitBurst is the size of the token bucket in commits.
	commitBurst = 4
	// maxRows bounds the rows of one merged commit.
	maxRows = 128
	// maxQueued bounds the transactions that wait for a commit.
	maxQueued = 4096
	// commitTimeout bounds one commit call to the table service.
	commitTimeout = 3 * time.Second
	// mergeDelay is how long a commit waits for further transactions to merge.
	mergeDelay = 10 * time.Millisecond
)

// Group is a Table that merges waiting transactions into one commit. It sends one commit at a time.
type Group struct {
	fold.Table
	limiter *rate.Limiter
	queue   chan *pending
	stop    context.Context
	cancel  context.CancelFunc
	done    sync.WaitGroup
}

var _ fold.Table = &Group{}

// pending is a transaction that waits for its commit.
type pending struct {
	txn     fold.Txn
	ctx     context.Context
	claimed atomic.Bool
	version int64
	err     error
	done    chan struct{}
}

// claim gives the caller the sole right to send or withdraw the transaction. It returns false if another caller has it.
func (p *pending) claim() bool {
	return p.claimed.CompareAndSwap(false, true)
}

func (p *pending) finish(version int64, err error) {
	p.version, p.err = version, err
	close(p.done)
}

// NewGroup returns a Table that commits through t in groups. The caller must call Close.
func NewGroup(t fold.Table) *Group {
	stop, cancel := context.WithCancel(context.Background())
	g := &Group{
		Table:   t,
		limiter: rate.NewLimiter(commitRate, commitBurst),
		queue:   make(chan *pending, maxQueued),
		stop:    stop,
		cancel:  cancel,
	}
	g.done.Add(1)
	go g.run()
	return g
}

// Commit applies t, possibly merged with other transactions. A failed check of another transaction does not fail t.
// An Unavailable error means that t was not sent.
func (g *Group) Commit(ctx context.Context, t fold.Txn) (int64, error) {
	p := &pending{txn: t, ctx: ctx, done: make(chan struct{})}
	select {
	case g.queue <- p:
	default:
		return 0, fold.Refuse(fold.Unavailable, "retry later", "%d transactions wait for the table service", maxQueued)
	}
	select {
	case <-p.done:
		return p.version, p.err
	case <-ctx.Done():
		return p.withdraw(ctx)
	case <-g.stop.Done():
		return p.withdraw(ctx)
	}
}

// withdraw cancels a transaction that was not sent yet. For a transaction that was sent, it waits for the outcome until
// ctx ends.
func (p *pending) withdraw(ctx context.Context) (int64, error) {
	if p.claim() {
		return 0, fold.Refuse(fold.Unavailable, "retry later", "the transaction was not sent in time")
	}
	select {
	case <-p.done:
		return p.version, p.err
	default:
	}
	select {
	case <-p.done:
		return p.version, p.err
	case <-ctx.Done():
		return 0, fold.Unknown.Wrap(ctx.Err(), "commit")
	}
}

// Close stops the group and waits for the commit in progress. Transactions that still wait are not sent.
func (g *Group) Close() error {
	g.cancel()
	g.done.Wait()
	return nil
}

func (g *Group) run() {
	defer g.done.Done()
	var next *pending
	for {
		if next == nil {
			select {
			case next = <-g.queue:
			case <-g.stop.Done():
				return
			}
		}
		if g.limiter.Wait(g.stop) != nil {
			return
		}
		select {
		case <-time.After(mergeDelay):
		case <-g.stop.Done():
			return
		}
		var batch []*pending
		batch, next = g.fill(next)
		g.commit(batch)
	}
}

// fill claims waiting transactions that are independent of each other for one batch. It returns the batch and the first
// transaction that does not fit, which starts the next batch.
func (g *Group) fill(first *pending) ([]*pending, *pending) {
	merged := newMerge()
	var batch []*pending
	for p := first; ; {
		if p.ctx.Err() == nil && !merged.fits(p.txn) {
			return batch, p
		}
		if p.ctx.Err() == nil && p.claim() {
			merged.add(p.txn)
			batch = append(batch, p)
		}
		select {
		case p = <-g.queue:
		default:
			return batch, nil
		}
	}
}

// commit sends a batch as one commit. When a check fails, the table service refuses the whole commit. The transactions
// that have this check are then refused, and the others are sent again within the rate limit.
func (g *Group) commit(batch []*pending) {
	for len(batch) > 0 {
		version, err := g.send(batch)
		if !errorx.IsOfType(err, fold.Conflict) || len(batch) == 1 {
			for _, p := range batch {
				p.finish(version, err)
			}
			return
		}
		var rest []*pending
		for _, p := range batch {
			if checksKey(p.txn, fold.ConflictKey(err)) {
				p.finish(0, err)
				continue
			}
			rest = append(rest, p)
		}
		if len(rest) == len(batch) {
			g.commitEach(batch)
			return
		}
		batch = rest
		_ = g.limiter.Wait(context.Background())
	}
}

// commitEach sends each transaction in its own commit. It is used when a conflict does not name the row.
func (g *Group) commitEach(batch []*pending) {
	for _, p := range batch {
		_ = g.limiter.Wait(context.Background())
		p.finish(g.send([]*pending{p}))
	}
}

// send commits a batch. It ignores the group's stop signal, because an interrupted commit would have an unknown outcome.
func (g *Group) send(batch []*pending) (int64, error) {
	ctx, cancel := context.WithTimeout(context.Background(), commitTimeout)
	defer cancel()
	if len(batch) == 1 {
		return g.Table.Commit(ctx, batch[0].txn)
	}
	var txn fold.Txn
	for _, p := range batch {
		txn.Checks = append(txn.Checks, p.txn.Checks...)
		txn.Puts = append(txn.Puts, p.txn.Puts...)
		txn.Deletes = append(txn.Deletes, p.txn.Deletes...)
	}
	return g.Table.Commit(ctx, txn)
}

func checksKey(t fold.Txn, key string) bool {
	for _, c := range t.Checks {
		if c.Key == key {
			return true
		}
	}
	return false
}
