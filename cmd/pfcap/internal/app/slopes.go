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

// Names of the slopes, in the order in which they are printed.
const (
	poolWorkers  = "pool owner: heap by workers"
	poolTasks    = "pool owner: heap by running tasks"
	starts       = "pool owner: processor time by decided starts"
	beats        = "pool owner and worker: processor time by worker heartbeats"
	beatBytes    = "worker heartbeat: bytes by ended tasks"
	peerBytes    = "peer heartbeat: bytes by pools of the sender"
	claimHeap    = "claim range: heap by claims"
	keyHeap      = "entry: heap by keys"
	identifyTime = "entry: processor time by verified keys"
	jobCommits   = "table service: rows written by jobs"
)

// unitBytes is the unit of state and messages.
const unitBytes = "bytes"

var slopeNames = []string{poolWorkers, poolTasks, starts, beats, beatBytes, peerBytes, claimHeap, keyHeap, identifyTime, jobCommits}

// slope is a measured line.
type slope struct {
	unit   string
	points []point
	line   line
}

func (s slope) text() string {
	parts := make([]string, 0, len(s.points))
	for _, p := range s.points {
		parts = append(parts, fmt.Sprintf("%d: %.0f", p.size, p.value))
	}
	return strings.Join(parts, ", ")
}

// probe measures one slope.
type probe struct {
	name  string
	unit  string
	sizes []int
	value func(size int) (float64, error)
}

var probes = []probe{
	{poolWorkers, unitBytes, []int{64, 640, 6400}, func(n int) (float64, error) {
		return heapOf(func() any { return poolOf(n, 0) }), nil
	}},
	{poolTasks, unitBytes, []int{1000, 10_000, 50_000}, func(n int) (float64, error) {
		empty := heapOf(func() any { return poolOf(poolOfTasks, 0) })
		return heapOf(func() any { return poolOf(poolOfTasks, n) }) - empty, nil
	}},
	{starts, "ns", []int{1000, 10_000, 50_000}, timeOfStarts},
	{beats, "ns", []int{500, 2000, 8000}, timeOfBeats},
	{beatBytes, unitBytes, []int{0, 10, 100}, bytesOfBeat},
	{peerBytes, unitBytes, []int{1, 3, 30}, bytesOfPeerBeat},
	{claimHeap, unitBytes, []int{1000, 10_000, 100_000}, func(n int) (float64, error) {
		return heapOf(func() any { return bookOf(n) }), nil
	}},
	{keyHeap, unitBytes, []int{100, 1000, 10_000}, func(n int) (float64, error) {
		return heapOf(func() any { ring, _ := ringOf(n); return ring }), nil
	}},
	{identifyTime, "ns", []int{1000, 10_000, 100_000}, timeOfIdentify},
	{jobCommits, "rows", []int{10, 100, 1000}, rowsOfJobs},
}

// Names that the measured records carry.
const (
	probeEntry = "entry"
	probePool  = "pool"
)

// poolOfTasks is the number of workers of pools whose tasks are measured.
const poolOfTasks = 640

// takeSlopes measures all slopes at sizes divided by scale.
func takeSlopes(scale int) (map[string]slope, error) {
	slopes := make(map[string]slope, len(probes))
	for _, p := range probes {
		s := slope{unit: p.unit}
		for _, size := range p.sizes {
			size = max(size/scale, min(size, 1))
			value, err := p.value(size)
			if err != nil {
				return nil, err
			}
			s.points = append(s.points, point{size: size, value: value})
		}
		s.line = fit(s.points)
		slopes[p.name] = s
	}
	return slopes, nil
}

var workerSize = fold.Resources{CPU: 64_000, Memory: 131_072, Accel: 2}

// poolOf returns a pool with workers and running tasks, in jobs of 100 tasks.
func poolOf(workers, tasks int) *sched.Pool {
	const perJob = 100
	p := sched.New(probePool)
	for n := range workers {
		node := place.Worker{Name: fmt.Sprintf("worker-%05d", n), Domain: "domain", Rack: fmt.Sprintf("rack-%04d", n/8)}
		p.Adopt(0, node, fold.Adoption{Session: 1, Capacity: workerSize})
	}
	p.SetTeam(sched.Team{Name: "team", Weight: 1, Allotment: workerSize.Times(int64(workers))})
	for n := range tasks / perJob {
		p.Submit(0, jobOf(n, perJob))
	}
	startAll(p)
	return p
}

func jobOf(n, count int) fold.Job {
	return fold.Job{
		ID:         fmt.Sprintf("%016x", n),
		Team:       "team",
		Kind:       fold.Batch,
		Count:      count,
		Resources:  fold.Resources{CPU: 100, Memory: 100},
		Duration:   60_000,
		Idempotent: true,
	}
}

// startAll decides and confirms starts until nothing more can start.
func startAll(p *sched.Pool) {
	const round = 512
	for {
		decided := p.Decide(0, round)
		if len(decided) == 0 {
			return
		}
		for _, s := range decided {
			p.Confirm(s.Worker, []fold.StartResult{{Task: s.Task.Task, Started: true}})
		}
	}
}

func timeOfStarts(n int) (float64, error) {
	p := poolOf(poolOfTasks, 0)
	for i := range n / 100 {
		p.Submit(0, jobOf(i, 100))
	}
	return float64(processorTime(func() { startAll(p) })), nil
}

// timeOfBeats exchanges heartbeats with a stand-in worker over loopback; both sides run in this process.
func timeOfBeats(n int) (float64, error) {
	w := worker.New("worker", workerSize, fold.BootClock{})
	server := httptest.NewServer(worker.Handler(w, nil))
	defer server.Close()
	remote := client.NewWorkers(client.NewHTTP(1)).Worker(server.URL)
	ctx := context.Background()
	if _, err := remote.Adopt(ctx, probeEntry, 1); err != nil {
		return 0, err
	}
	var failed error
	spent := processorTime(func() {
		for range n {
			if _, err := remote.Beat(ctx, fold.BeatRequest{Owner: probeEntry, Epoch: 1, MayStart: true}); err != nil {
				failed = err
			}
		}
	})
	return float64(spent), failed
}

// httpOverhead is about what the headers of one small request and answer take, in bytes.
const httpOverhead = 400

func bytesOfBeat(n int) (float64, error) {
	request, err := json.Marshal(fold.BeatRequest{Owner: "entry-1", Epoch: 1 << 30, MayStart: true, Acked: 1 << 20})
	if err != nil {
		return 0, err
	}
	reply := fold.BeatReply{Session: 1 << 20}
	for i := range n {
		reply.Events = append(reply.Events, fold.TaskEvent{Sequence: int64(i), Task: fold.TaskID{Job: "0123456789abcdef", Index: i}, Attempt: 1, State: fold.Done, Usage: workerSize, Ran: 60_000})
	}
	answer, err := json.Marshal(reply)
	return float64(len(request) + len(answer) + httpOverhead), err
}

func bytesOfPeerBeat(n int) (float64, error) {
	beat := owner.Beat{ID: "entry-001", Incarnation: "0123456789abcdef0123456789abcdef0123", Contact: 500, Revision: 1 << 24, Confirmed: 500}
	for i := range n {
		beat.Pools = append(beat.Pools, spread.PoolCapacity{Pool: fmt.Sprintf("domain-01-%d", i), Domain: "domain-01", Free: workerSize, Capacity: workerSize.Times(64), Largest: workerSize, Waiting: 100})
	}
	encoded, err := cbor.Marshal(beat)
	return float64(len(encoded)), err
}

func bookOf(n int) *once.Book {
	now := time.Now()
	book := once.New(time.Time{})
	for i := range n {
		book.Claim(now, fmt.Sprintf("account/%036d", i), now)
	}
	return book
}

func ringOf(n int) (keys.Ring, string) {
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

func timeOfIdentify(n int) (float64, error) {
	const keyCount = 1000
	ring, key := ringOf(keyCount)
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

// rowsOfJobs accepts jobs, records their progress once and their end, and counts the rows written.
func rowsOfJobs(n int) (float64, error) {
	ctx := context.Background()
	table := plat.NewMeter(plat.NewTable(), fold.BootClock{})
	epoch, err := store.Replace(ctx, table, store.PoolPrefix+probePool, 0, owner.Unit{Owner: probeEntry})
	if err != nil {
		return 0, err
	}
	before := table.Stats().Total.Rows
	for i := range n {
		job := jobOf(i, 1)
		index := store.JobIndex{Job: job, Parts: []fold.Part{{Pool: probePool, Count: 1}}}
		if _, _, err := store.Accept(ctx, table, index, map[string]int64{probePool: epoch}); err != nil {
			return 0, err
		}
		for _, state := range []fold.Outcome{fold.Running, fold.Done} {
			change := sched.Change{Status: fold.JobStatus{Job: job, Pool: probePool, State: state}}
			if err := store.Record(ctx, table, probePool, epoch, []sched.Change{change}); err != nil {
				return 0, err
			}
		}
	}
	return float64(table.Stats().Total.Rows - before), nil
}
