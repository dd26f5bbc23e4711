package plat_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	"github.com/joomcode/errorx"

	"plantainfold.example/fold"
	"plantainfold.example/fold/client"
	"plantainfold.example/fold/plat"
)

// manualClock is a clock that moves only when a test sets it. Its timers fire at once.
type manualClock struct{ now fold.Instant }

func (c *manualClock) Now() fold.Instant { return c.now }

func (c *manualClock) After(time.Duration) <-chan time.Time {
	fired := make(chan time.Time, 1)
	fired <- time.Time{}
	return fired
}

var putTxn = fold.Txn{Puts: []fold.Put{{Key: "a", Value: []byte("1")}}}

// Guards against a fault that does not do what its comment says, because tests that inject it would check nothing.
func TestTableFaults(t *testing.T) {
	tests := []struct {
		name                   string
		fault                  plat.Fault
		elapsed                time.Duration
		reads, writes, applied bool
	}{
		{name: "none", reads: true, writes: true, applied: true},
		{name: "down", fault: plat.Fault{Down: true}},
		{name: "slow", fault: plat.Fault{Slow: 1}, reads: true, writes: true, applied: true},
		{name: "flapping, first half", fault: plat.Fault{Flap: 2}, elapsed: time.Second},
		{name: "flapping, second half", fault: plat.Fault{Flap: 2}, elapsed: 3 * time.Second, reads: true, writes: true, applied: true},
		{name: "writes fail", fault: plat.Fault{Writes: true}, reads: true},
		{name: "replies lost", fault: plat.Fault{Lost: true}, reads: true, applied: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			clock := &manualClock{}
			p := plat.New(clock)
			ctx := context.Background()
			p.TableFaults.Set(tt.fault)
			clock.now = clock.now.Add(tt.elapsed)
			if _, err := p.Meter.Scan(ctx, "", "", 0); (err == nil) != tt.reads {
				t.Errorf("read: %v", err)
			}
			_, err := p.Meter.Commit(ctx, putTxn)
			if (err == nil) != tt.writes || (err != nil && !errorx.IsOfType(err, fold.Unknown)) {
				t.Errorf("write: %v", err)
			}
			if _, err := p.Table.Get(ctx, "a"); (err == nil) != tt.applied {
				t.Errorf("row: %v", err)
			}
			if total := p.Meter.Stats().Total; total.Commits != 1 || total.Reads != 1 || total.Rows != 1 {
				t.Errorf("counts %+v", total)
			}
		})
	}
}

// Guards against an instance list that shows changes at once although its fault is Lag or Frozen.
func TestFleetLagsAndFreezes(t *testing.T) {
	clock := &manualClock{}
	p := plat.New(clock)
	wantInstances := func(want int) {
		t.Helper()
		list, err := p.Fleet.Instances(context.Background())
		if err != nil || len(list) != want {
			t.Errorf("%d instances (%v), want %d", len(list), err, want)
		}
	}
	p.Fleet.Set(fold.Instance{Name: "a"})
	wantInstances(1)
	p.FleetFaults.Set(plat.Fault{Lag: 10})
	p.Fleet.Remove("a")
	clock.now = clock.now.Add(9 * time.Second)
	wantInstances(1)
	clock.now = clock.now.Add(time.Second)
	wantInstances(0)
	p.FleetFaults.Set(plat.Fault{Frozen: true})
	p.Fleet.Set(fold.Instance{Name: "b"})
	clock.now = clock.now.Add(time.Hour)
	wantInstances(0)
	p.FleetFaults.Set(plat.Fault{})
	wantInstances(1)
}

// Guards against faults that cannot be set in a separate process, and against errors whose kind is lost over HTTP.
func TestFaultsOverHTTP(t *testing.T) {
	p := plat.New(&manualClock{})
	server := httptest.NewServer(p.Handler())
	defer server.Close()
	setFault := func(body string) {
		t.Helper()
		resp, err := http.Post(server.URL+"/v1/faults", "application/json", bytes.NewReader([]byte(body)))
		if err != nil || resp.StatusCode != http.StatusOK {
			t.Fatalf("set fault %s: %v", body, err)
		}
		_ = resp.Body.Close()
	}
	table := client.NewTable(server.URL, server.Client())
	setFault(`{"service":"table","writes":true}`)
	if _, err := table.Commit(context.Background(), putTxn); !errorx.IsOfType(err, fold.Unknown) {
		t.Errorf("write during the fault: %v", err)
	}
	setFault(`{"service":"table"}`)
	if _, err := table.Commit(context.Background(), putTxn); err != nil {
		t.Errorf("write after the fault: %v", err)
	}
	resp, err := http.Get(server.URL + "/v1/stats")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	var stats plat.Stats
	if err := json.NewDecoder(resp.Body).Decode(&stats); err != nil || stats.Total.Commits != 2 || stats.Total.Errors != 1 {
		t.Errorf("stats %+v: %v", stats, err)
	}
}

// BenchmarkScan measures the cost of reading one page of a prefix in a table with many other rows.
func BenchmarkScan(b *testing.B) {
	table := plat.NewTable()
	for n := range 100_000 {
		key := "job/" + strconv.Itoa(n%1000) + "/" + strconv.Itoa(n)
		if _, err := table.Commit(context.Background(), fold.Txn{Puts: []fold.Put{{Key: key}}}); err != nil {
			b.Fatal(err)
		}
	}
	b.ResetTimer()
	for b.Loop() {
		if rows, err := table.Scan(context.Background(), "job/7/", "", 1000); err != nil || len(rows) != 100 {
			b.Fatal(len(rows), err)
		}
	}
}
