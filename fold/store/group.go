package store

import (
	"context"
	"sync"
	"time"

	"github.com/joomcode/errorx"
	"golang.org/x/time/rate"

	"plantainfold.example/fold"
)

// Limits of group commit.
const (
	// CommitsPerSecond is an entry's write budget.
	CommitsPerSecond = 20
	// CommitBurst is how many commits may follow each other without waiting.
	CommitBurst = 10
	// maxRows bounds the rows of one merged commit.
	maxRows = 128
	// maxQueued bounds the transactions that wait.
	maxQueued  = 4096
	commitTime = 2 * time.Second
)

// Group is a Table that merges transactions which wait at the same time into one commit.
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
	version int64
	err     error
	done    chan struct{}
}

// NewGroup returns a Table that commits through t in groups; Close must be called.
func NewGroup(t fold.Table) *Group {
	stop, cancel := context.WithCancel(context.Background())
	g := &Group{
		Table:   t,
		limiter: rate.NewLimiter(CommitsPerSecond, CommitBurst),
		queue:   make(chan *pending, maxQueued),
		stop:    stop,
		cancel:  cancel,
	}
	g.done.Add(1)
	go g.run()
	return g
}

// Commit applies t together with others; the outcome is that of its own checks.
func (g *Group) Commit(ctx context.Context, t fold.Txn) (int64, error) {
	p := &pending{txn: t, done: make(chan struct{})}
	select {
	case g.queue <- p:
	default:
		return 0, fold.Refuse(fold.Unavailable, "retry later", "%d transactions wait for the table service", maxQueued)
	}
	select {
	case <-p.done:
		return p.version, p.err
	case <-ctx.Done():
		return 0, fold.Unknown.Wrap(ctx.Err(), "commit")
	case <-g.stop.Done():
		return 0, fold.Unknown.New("commit: entry is stopping")
	}
}

// Close stops the commits and waits for the one under way.
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
		batch := []*pending{next}
		batch, next = g.fill(batch)
		g.commit(batch)
	}
}

// fill adds waiting transactions that touch other rows; the first that does not fit begins the next batch.
func (g *Group) fill(batch []*pending) ([]*pending, *pending) {
	merged := newMerge()
	merged.add(batch[0].txn)
	for {
		select {
		case p := <-g.queue:
			if !merged.add(p.txn) {
				return batch, p
			}
			batch = append(batch, p)
		default:
			return batch, nil
		}
	}
}

func (g *Group) commit(batch []*pending) {
	var txn fold.Txn
	for _, p := range batch {
		txn.Checks = append(txn.Checks, p.txn.Checks...)
		txn.Puts = append(txn.Puts, p.txn.Puts...)
		txn.Deletes = append(txn.Deletes, p.txn.Deletes...)
	}
	version, err := g.send(txn)
	if errorx.IsOfType(err, fold.Conflict) && len(batch) > 1 {
		// One failed check refuses the whole commit, so each transaction is tried by itself.
		for _, p := range batch {
			p.version, p.err = g.send(p.txn)
			close(p.done)
		}
		return
	}
	for _, p := range batch {
		p.version, p.err = version, err
		close(p.done)
	}
}

func (g *Group) send(txn fold.Txn) (int64, error) {
	ctx, cancel := context.WithTimeout(g.stop, commitTime)
	defer cancel()
	return g.Table.Commit(ctx, txn)
}

// merge tracks the rows of transactions that are to form one commit.
type merge struct {
	written map[string]bool
	checked map[string]int64
	rows    int
}

func newMerge() *merge {
	return &merge{written: make(map[string]bool), checked: make(map[string]int64)}
}

// add reports whether the transaction is independent of those added before and fits the size of a commit.
func (m *merge) add(t fold.Txn) bool {
	rows := len(t.Puts) + len(t.Deletes)
	if m.rows > 0 && m.rows+rows > maxRows {
		return false
	}
	for _, c := range t.Checks {
		version, seen := m.checked[c.Key]
		if m.written[c.Key] || (seen && version != c.Version) {
			return false
		}
	}
	writes := keysOf(t)
	for _, key := range writes {
		if _, checked := m.checked[key]; m.written[key] || checked {
			return false
		}
	}
	for _, c := range t.Checks {
		m.checked[c.Key] = c.Version
	}
	for _, key := range writes {
		m.written[key] = true
	}
	m.rows += rows
	return true
}

func keysOf(t fold.Txn) []string {
	keys := make([]string, 0, len(t.Puts)+len(t.Deletes))
	for _, p := range t.Puts {
		keys = append(keys, p.Key)
	}
	return append(keys, t.Deletes...)
}
