package owner

import (
	"container/heap"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"plantainfold.example/fold"
)

// Outcomes of table calls.
var (
	errConflict = errors.New("conflict")
	errLost     = errors.New("outcome unknown")
)

const callTime = time.Second

// event is a function that is scheduled at an instant of virtual time.
type event struct {
	at  fold.Instant
	seq int
	fn  func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || (e[i].at == e[j].at && e[i].seq < e[j].seq)
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// row is a row of the table in memory.
type row struct {
	value   any
	version int64
}

// world simulates a cell in virtual time: entries, workers, callers and an in-memory table. One seed determines it.
type world struct {
	seed       uint64
	rand       *rand.Rand
	now        fold.Instant
	queue      events
	seq        int
	ruleFaults ruleFaults
	faulty     bool

	rows      map[string]row
	staleRows map[string]row
	version   int64

	// names maps each entry name to the process that answers under it.
	names      map[string]*proc
	procs      []*proc
	listed     map[string]bool
	unlisted   map[string]int
	cutLinks   map[[2]string]int
	offline    map[string]int
	tableDown  int
	writesDown int
	listDown   int
	nextEntry  int

	workers map[string]*simWorker
	pending map[string]*task
	specs   []Spec

	accepted []acceptance
	grants   map[string]string
	history  *history
	counts   map[string]int
	failures []string
}

// acceptance is a configuration revision with the instant when it was reported to its operator as accepted.
type acceptance struct {
	revision int64
	at       fold.Instant
}

func newWorld(seed uint64, entries int, b ruleFaults) *world {
	w := &world{
		seed: seed, rand: rand.New(rand.NewPCG(seed, 1)), ruleFaults: b,
		now:  fold.Instant(time.Hour),
		rows: make(map[string]row), names: make(map[string]*proc), listed: make(map[string]bool),
		unlisted: make(map[string]int), cutLinks: make(map[[2]string]int), offline: make(map[string]int),
		workers: make(map[string]*simWorker), pending: make(map[string]*task),
		grants: make(map[string]string), history: &history{}, counts: make(map[string]int),
	}
	for n := range 4 {
		pool := fmt.Sprintf("pool/%d", n)
		w.specs = append(w.specs, Spec{ID: pool}, Spec{ID: fmt.Sprintf("once/%02d", n)})
		w.pending[pool] = &task{number: 1}
		for k := range 2 {
			name := fmt.Sprintf("%s-w%d", pool, k)
			w.workers[name] = &simWorker{world: w, name: name, pool: pool, ends: make(map[int]fold.Instant), sessionRenewed: never}
		}
	}
	for n := range entries {
		w.start(fmt.Sprintf("e%d", n))
	}
	w.nextEntry = entries
	return w
}

func (w *world) at(d time.Duration, fn func()) {
	w.seq++
	heap.Push(&w.queue, event{at: w.now.Add(d), seq: w.seq, fn: fn})
}

func (w *world) run(d time.Duration) {
	end := w.now.Add(d)
	for len(w.queue) > 0 && w.queue[0].at <= end && len(w.failures) == 0 {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.fn()
	}
	w.now = end
}

func (w *world) fail(format string, args ...any) {
	w.failures = append(w.failures, fmt.Sprintf("at %v: ", time.Duration(w.now)-time.Hour)+fmt.Sprintf(format, args...))
}

func (w *world) chance(p float64) bool {
	return w.rand.Float64() < p
}

func (w *world) between(lo, hi time.Duration) time.Duration {
	return lo + time.Duration(w.rand.Int64N(int64(hi-lo)))
}

// latency returns the delay of a message. It is sometimes long while faults are injected.
func (w *world) latency() time.Duration {
	if w.faulty && w.chance(0.01) {
		return w.between(200*time.Millisecond, 3*time.Second)
	}
	return w.between(time.Millisecond, 10*time.Millisecond)
}

// send sends a message. When it arrives, fn runs at the process that then has the receiver's name.
func (w *world) send(from, to string, fn func(*proc)) {
	w.transmit(from, to, func() {
		if p := w.names[to]; p != nil {
			p.deliver(func() { fn(p) })
		}
	})
}

func (w *world) transmit(from, to string, fn func()) {
	if w.cut(from, to) || (w.faulty && w.chance(0.01)) {
		return
	}
	w.at(w.latency(), func() {
		if !w.cut(from, to) {
			fn()
		}
	})
}

func (w *world) cut(a, b string) bool {
	return w.cutLinks[[2]string{a, b}] > 0
}

func (w *world) tableReachable(name string, write bool) bool {
	return w.tableDown <= 0 && w.offline[name] <= 0 && (!write || w.writesDown <= 0)
}

// read returns a row, which is up to two seconds old with the rule fault staleReads.
func (w *world) read(key string) row {
	if w.ruleFaults.staleReads {
		return w.staleRows[key]
	}
	return w.rows[key]
}

func (w *world) scan(prefix string) map[string]row {
	found := make(map[string]row)
	for key, r := range w.rows {
		if strings.HasPrefix(key, prefix) {
			found[key] = r
		}
	}
	return found
}

// commit writes puts if all checked versions match. A nil value deletes its row.
func (w *world) commit(checks map[string]int64, puts map[string]any) (int64, error) {
	for key, version := range checks {
		if w.rows[key].version != version {
			return 0, errConflict
		}
	}
	w.version++
	for key, value := range puts {
		if value == nil {
			delete(w.rows, key)
			continue
		}
		w.rows[key] = row{value: value, version: w.version}
	}
	return w.version, nil
}

func seen[T any](key string, r row) Versioned[T] {
	v, _ := r.value.(T)
	return Versioned[T]{Key: key, Version: r.version, Value: v}
}

func seenAll[T any](rows map[string]row) []Versioned[T] {
	var all []Versioned[T]
	for _, key := range slices.Sorted(maps.Keys(rows)) {
		all = append(all, seen[T](key, rows[key]))
	}
	return all
}

// alive returns the running processes in order of their start.
func (w *world) alive() []*proc {
	var all []*proc
	for _, p := range w.procs {
		if p.alive {
			all = append(all, p)
		}
	}
	return all
}

// pick returns a process that runs and is not paused, or nil.
func (w *world) pick() *proc {
	all := slices.DeleteFunc(w.alive(), func(p *proc) bool { return p.paused })
	if len(all) == 0 {
		return nil
	}
	return all[w.rand.IntN(len(all))]
}
