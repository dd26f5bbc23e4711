package app

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http/httptest"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"

	"plantainfold.example/fold"
	"plantainfold.example/fold/client"
	"plantainfold.example/fold/keys"
	"plantainfold.example/fold/once"
	"plantainfold.example/fold/owner"
	"plantainfold.example/fold/place"
	"plantainfold.example/fold/plat"
	"plantainfold.example/fold/sched"
	"plantainfold.example/fold/spread"
	"plantainfold.example/fold/store"
	"plantainfold.example/fold/worker"
)

// Names of the measurements, in the order in which they are printed.
const (
	workerHeap         = "pool owner: heap by workers"
	taskHeap           = "pool owner: heap by running tasks"
	startTime          = "pool owner: processor time by decided starts"
	heartbeatTime      = "pool owner and worker: processor time by worker heartbeats"
	heartbeatBytes     = "worker heartbeat: bytes by ended tasks"
	peerHeartbeatBytes = "peer heartbeat: bytes by pools of the sender"
	claimHeap          = "claim range: heap by claims"
	keyHeap            = "entry: heap by keys"
	identifyTime       = "entry: processor time by verified keys"
	jobRows            = "table service: rows written by jobs"
)

// unitBytes is the unit of memory and messages.
const unitBytes = "bytes"

var measurementNames = []string{workerHeap, taskHeap, startTime, heartbeatTime, heartbeatBytes, peerHeartbeatBytes, claimHeap, keyHeap, identifyTime, jobRows}

// measurement is the values measured at several sizes and the least-squares line through them.
type measurement struct {
	unit   string
	points []point
	line   line
}

// pointList formats the points as a list of sizes and values.
func (m measurement) pointList() string {
	parts := make([]string, 0, len(m.points))
	for _, p := range m.points {
		parts = append(parts, fmt.Sprintf("%d: %.0f", p.size, p.value))
	}
	return strings.Join(parts, ", ")
}

// benchmark measures one quantity at several sizes.
type benchmark struct {
	name    string
	unit    string
	sizes   []int
	measure func(size int) (float64, error)
}

var benchmarks = []benchmark{
	{workerHeap, unitBytes, []int{64, 640, 6400}, func(n int) (float64, error) {
		return heapUse(func() any { return newPool(n, 0) }), nil
	}},
	{taskHeap, unitBytes, []int{1000, 10_000, 50_000}, func(n int) (float64, error) {
		empty := heapUse(func() any { return newPool(taskPoolWorkers, 0) })
		return heapUse(func() any { return newPool(taskPoolWorkers, n) }) - empty, nil
	}},
	{startTime, "ns", []int{1000, 10_000, 50_000}, measureStarts},
	{heartbeatTime, "ns", []int{500, 2000, 8000}, measureHeartbeats},
	{heartbeatBytes, unitBytes, []int{0, 10, 100}, measureHeartbeatBytes},
	{peerHeartbeatBytes, unitBytes, []int{1, 3, 30}, measurePeerHeartbeatBytes},
	{claimHeap, unitBytes, []int{1000, 10_000, 100_000}, func(n int) (float64, error) {
		return heapUse(func() any { return newBook(n) }), nil
	}},
	{keyHeap, unitBytes, []int{100, 1000, 10_000}, func(n int) (float64, error) {
		return heapUse(func() any { ring, _ := newRing(n); return ring }), nil
	}},
	{identifyTime, "ns", []int{1000, 10_000, 100_000}, measureIdentify},
	{jobRows, "rows", []int{10, 100, 1000}, measureJobRows},
}

// Names of the entry and the pool in the measured records.
const (
	entryName = "entry"
	poolName  = "pool"
)

// taskPoolWorkers is the number of workers of the pools in which tasks and starts are measured.
const taskPoolWorkers = 640

// measureAll runs all benchmarks at their sizes divided by divisor. A size other than 0 stays at least 1.
func measureAll(divisor int) (map[string]measurement, error) {
	measurements := make(map[string]measurement, len(benchmarks))
	for _, b := range benchmarks {
		m := measurement{unit: b.unit}
		for _, size := range b.sizes {
			size = max(size/divisor, min(size, 1))
			value, err := b.measure(size)
			if err != nil {
				return nil, err
			}
			m.points = append(m.points, point{size: size, value: value})
		}
		m.line = fit(m.points)
		measurements[b.name] = m
	}
	return measurements, nil
}

var workerCapacity = fold.Resources{CPU: 64_000, Memory: 131_072, Accel: 2}

// newPool returns a pool with workers and running tasks, in jobs of 100 tasks.
func newPool(workers, tasks int) *sched.Pool {
	const tasksPerJob = 100
	p := sched.New(poolName)
	for i := range workers {
		node := place.Worker{Name: fmt.Sprintf("worker-%05d", i), Domain: "domain", Rack: fmt.Sprintf("rack-%04d", i/8)}
		p.Adopt(0, node, fold.Adoption{Session: 1, Capacity: workerCapacity})
	}
	p.SetTeam(sched.Team{Name: "team", Weight: 1, Allotment: workerCapacity.Times(int64(workers))})
	for i := range tasks / tasksPerJob {
		p.Submit(0, newJob(i, tasksPerJob))
	}
	startAll(p)
	return p
}

func newJob(id, count int) fold.Job {
	return fold.Job{
		ID:         fmt.Sprintf("%016x", id),
		Team:       "team",
		Kind:       fold.Batch,
		Count:      count,
		Resources:  fold.Resources{CPU: 100, Memory: 100},
		Duration:   60_000,
		Idempotent: true,
	}
}

// startAll decides and confirms starts until no waiting task fits.
func startAll(p *sched.Pool) {
	const startsPerDecision = 512
	for {
		decisions := p.Decide(0, startsPerDecision)
		if len(decisions) == 0 {
			return
		}
		for _, s := range decisions {
			p.Confirm(s.Worker, []fold.StartResult{{Task: s.Task.Task, Started: true}})
		}
	}
}

func measureStarts(n int) (float64, error) {
	p := newPool(taskPoolWorkers, 0)
	for i := range n / 100 {
		p.Submit(0, newJob(i, 100))
	}
	return float64(processorTime(func() { startAll(p) })), nil
}

// measureHeartbeats exchanges n heartbeats with a stand-in worker over loopback and returns the processor time of both sides,
// which run in this process.
func measureHeartbeats(n int) (float64, error) {
	w := worker.New("worker", workerCapacity, fold.BootClock{})
	server := httptest.NewServer(worker.Handler(w, nil))
	defer server.Close()
	remote := client.NewWorkers(client.NewHTTP(1)).Worker(server.URL)
	ctx := context.Background()
	if _, err := remote.Adopt(ctx, entryName, 1); err != nil {
		return 0, err
	}
	var failed error
	spent := processorTime(func() {
		for range n {
			if _, err := remote.Beat(ctx, fold.BeatRequest{Owner: entryName, Epoch: 1, MayStart: true}); err != nil {
				failed = err
			}
		}
	})
	return float64(spent), failed
}

// httpOverhead is the approximate size of the HTTP headers of a small request and its answer, in bytes.
const httpOverhead = 400

func measureHeartbeatBytes(n int) (float64, error) {
	request, err := json.Marshal(fold.BeatRequest{Owner: "entry-1", Epoch: 1 << 30, MayStart: true, Acked: 1 << 20})
	if err != nil {
		return 0, err
	}
	reply := fold.BeatReply{Session: 1 << 20}
	for i := range n {
		reply.Events = append(reply.Events, fold.TaskEvent{Sequence: int64(i), Task: fold.TaskID{Job: "0123456789abcdef", Index: i}, Attempt: 1, State: fold.Done, Usage: workerCapacity, Ran: 60_000})
	}
	answer, err := json.Marshal(reply)
	return float64(len(request) + len(answer) + httpOverhead), err
}

func measurePeerHeartbeatBytes(n int) (float64, error) {
	beat := owner.Beat{ID: "entry-001", Incarnation: "0123456789abcdef0123456789abcdef0123", Contact: 500, Revision: 1 << 24, Confirmed: 500}
	for i := range n {
		beat.Pools = append(beat.Pools, spread.PoolCapacity{Pool: fmt.Sprintf("domain-01-%d", i), Domain: "domain-01", Free: workerCapacity, Capacity: workerCapacity.Times(64), Largest: workerCapacity, Waiting: 100})
	}
	encoded, err := cbor.Marshal(beat)
	return float64(len(encoded)), err
}

func newBook(n int) *once.Book {
	now := time.Now()
	book := once.New(time.Time{})
	for i := range n {
		book.Claim(now, fmt.Sprintf("account/%036d", i), now)
	}
	return book
}

func newRing(n int) (keys.Ring, string) {
	cellKey := []byte("cell-key-of-the-measurement")
	var records []keys.Record
	last := ""
	for range n {
		key, record := keys.Issue(cellKey, fold.KeyGrant{Team: "team", Queues: []string{"nightly"}})
		records = append(records, record)
		last = key
	}
	return keys.NewRing(cellKey, records), last
}

func measureIdentify(n int) (float64, error) {
	const keyCount = 1000
	ring, key := newRing(keyCount)
	now := time.Now()
	var failed error
	spent := processorTime(func() {
		for range n {
			if _, err := ring.Identify(key, now); err != nil {
				failed = err
			}
		}
	})
	return float64(spent), failed
}

// measureJobRows accepts n jobs, records that each runs and then that it has ended, and returns the number of rows written.
func measureJobRows(n int) (float64, error) {
	ctx := context.Background()
	table := plat.NewMeter(plat.NewTable(), fold.BootClock{})
	epoch, err := store.Replace(ctx, table, store.PoolPrefix+poolName, 0, owner.Unit{Owner: entryName})
	if err != nil {
		return 0, err
	}
	before := table.Stats().Total.Rows
	for i := range n {
		job := newJob(i, 1)
		index := store.JobIndex{Job: job, Parts: []fold.Part{{Pool: poolName, Count: 1}}}
		if _, _, err := store.Accept(ctx, table, index, map[string]int64{poolName: epoch}); err != nil {
			return 0, err
		}
		for _, state := range []fold.Outcome{fold.Running, fold.Done} {
			change := sched.Change{Status: fold.JobStatus{Job: job, Pool: poolName, State: state}}
			if err := store.Record(ctx, table, poolName, epoch, []sched.Change{change}); err != nil {
				return 0, err
			}
		}
	}
	return float64(table.Stats().Total.Rows - before), nil
}
