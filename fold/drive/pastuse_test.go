package drive_test

import (
	"context"
	"fmt"
	"math"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"plantainfold.example/fold"
	"plantainfold.example/fold/codec"
	"plantainfold.example/fold/core"
	"plantainfold.example/fold/drive"
	"plantainfold.example/fold/flow"
	"plantainfold.example/fold/plat"
)

// useTable is a table that can be unavailable, and that counts the accesses to the row of past use.
type useTable struct {
	*plat.Table
	mu sync.Mutex
	// away reports whether the table is unavailable, and unreadable whether only the row of past use cannot be read.
	away, unreadable bool
	// commits counts the commits. reads counts the reads of the row, and writes holds the times of its writes.
	commits, reads int
	writes         []time.Time
}

func (u *useTable) setAway(away bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.away = away
}

func (u *useTable) setUnreadable(unreadable bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.unreadable = unreadable
}

func (u *useTable) Get(ctx context.Context, key string) (fold.Row, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if key == drive.UseKey {
		u.reads++
	}
	if u.away || u.unreadable && key == drive.UseKey {
		return fold.Row{}, fold.Refuse(fold.Unavailable, "retry", "the table is away")
	}
	return u.Table.Get(ctx, key)
}

func (u *useTable) Commit(ctx context.Context, txn fold.Txn) (int64, error) {
	time.Sleep(3 * time.Millisecond)
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.away {
		return 0, fold.Refuse(fold.Unavailable, "retry", "the table is away")
	}
	u.commits++
	if slices.ContainsFunc(txn.Puts, func(p fold.Put) bool { return p.Key == drive.UseKey }) {
		u.writes = append(u.writes, time.Now())
	}
	return u.Table.Commit(ctx, txn)
}

func withPastUse(p *drive.Parts) {
	p.Options.PastUse = core.PastUse{HalfLife: time.Hour, Floor: 100}
}

// submitUse submits a job of a team that takes a whole host. Its due time passed long ago, because it has no time of
// acceptance.
func submitUse(t *testing.T, d *drive.Driver, n int, team string) {
	t.Helper()
	j := testJob(n, 1)
	j.Team, j.Steps[0].Size.CPU = team, 64000
	if _, err := d.Submit(t.Context(), j, fold.Check{}); err != nil {
		t.Error(err)
	}
}

// heavyUse returns the use of the team that uses much.
func heavyUse(d *drive.Driver) float64 {
	for _, u := range d.PastUse(drive.MaxUseTeams) {
		if u.Team == "heavy" {
			return u.CoreSeconds
		}
	}
	return 0
}

// Guards against past use that a takeover or an outage of the table loses, counts twice or does not apply to the order, and
// against a row that is written too often. One team fills the only host for twenty seconds; the table is away for ten of them.
func TestTakeoverKeepsPastUse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table, hosts := &useTable{Table: plat.NewTable()}, newFakeHosts(1, time.Second)
		first := startDriver(t, table, table.Table, hosts, withPastUse)
		for n := range 40 {
			submitUse(t, first, n, "heavy")
		}
		time.Sleep(4 * time.Second)
		table.setAway(true)
		before := heavyUse(first)
		time.Sleep(10 * time.Second)
		if got := heavyUse(first) - before; got < 500 {
			t.Errorf("%.0f core-seconds counted while the table was away for 10 s, want at least 500", got)
		}
		table.setAway(false)
		time.Sleep(6*time.Second + 500*time.Millisecond)
		atDeath := heavyUse(first)
		second := startDriver(t, table, table.Table, hosts, withPastUse)
		// The first owner lost at most the use of the interval, and the run in progress counts from the takeover.
		if got := heavyUse(second); got > atDeath || got < atDeath-5*64 {
			t.Errorf("the new owner knows %.0f of %.0f core-seconds", got, atDeath)
		}
		taken := time.Now()
		for n := range 3 {
			submitUse(t, second, 100+n, "light")
		}
		time.Sleep(6 * time.Second)
		hosts.mu.Lock()
		defer hosts.mu.Unlock()
		var order []string
		for task, at := range hosts.started {
			if at.After(taken) {
				order = append(order, fmt.Sprint(at.UnixMilli(), " ", task))
			}
		}
		slices.Sort(order)
		for n := range 3 {
			// The host may have been free before the first of these jobs was submitted.
			if len(order) < 4 || !strings.HasSuffix(order[n], testJob(100+n, 1).ID+".0.0.0") && !strings.HasSuffix(order[n+1], testJob(100+n, 1).ID+".0.0.0") {
				t.Fatalf("starts after the takeover: %v, want jobs 100 to 102 of the team with little use first", order)
			}
		}
		if hosts.starts > 43 {
			t.Errorf("%d starts of 43 tasks", hosts.starts)
		}
		for i := 1; i < len(table.writes); i++ {
			if gap := table.writes[i].Sub(table.writes[i-1]); gap < 5*time.Second {
				t.Errorf("the row was written twice within %s", gap)
			}
		}
		if len(table.writes) < 3 {
			t.Errorf("the row was written %d times", len(table.writes))
		}
	})
}

// Guards against a takeover that fails or starts no work because of the row of past use: it cannot be decoded, holds values
// that no owner writes, or was written by an entry whose clock is wrong.
func TestRowOfPastUse(t *testing.T) {
	type team struct {
		_    struct{} `cbor:",toarray"`
		Team string
		Used float64
	}
	type row struct {
		At    int64  `json:"at"`
		Teams []team `json:"teams"`
	}
	many := make([]team, drive.MaxUseTeams+1)
	for n := range many {
		many[n] = team{Team: fmt.Sprint(n), Used: 5}
	}
	heavy := []team{{Team: "heavy", Used: 4 << 20}}
	cases := []struct {
		name string
		put  func(t *testing.T, now int64) fold.Put
		want float64
	}{
		{"garbage", func(*testing.T, int64) fold.Put { return fold.Put{Key: drive.UseKey, Value: []byte{1, 0xff}} }, 0},
		{"empty value", func(*testing.T, int64) fold.Put { return fold.Put{Key: drive.UseKey} }, 0},
		{"other type", func(t *testing.T, _ int64) fold.Put { return encoded(t, drive.UseKey, "use") }, 0},
		{"not a number", func(t *testing.T, now int64) fold.Put {
			return encoded(t, drive.UseKey, row{now, []team{heavy[0], {Team: "x", Used: math.NaN()}}})
		}, 0},
		{"infinite", func(t *testing.T, now int64) fold.Put {
			return encoded(t, drive.UseKey, row{now, []team{heavy[0], {Team: "x", Used: math.Inf(1)}}})
		}, 0},
		{"negative", func(t *testing.T, now int64) fold.Put {
			return encoded(t, drive.UseKey, row{now, []team{heavy[0], {Team: "x", Used: -1}}})
		}, 0},
		{"team twice", func(t *testing.T, now int64) fold.Put {
			return encoded(t, drive.UseKey, row{now, append(heavy, heavy...)})
		}, 0},
		{"too many teams", func(t *testing.T, now int64) fold.Put { return encoded(t, drive.UseKey, row{now, many}) }, 0},
		{"one half-life old", func(t *testing.T, now int64) fold.Put { return encoded(t, drive.UseKey, row{now - 3600_000, heavy}) }, 2 << 20},
		{"clock ahead", func(t *testing.T, now int64) fold.Put { return encoded(t, drive.UseKey, row{now + 1e12, heavy}) }, 4 << 20},
		{"clock far ahead", func(t *testing.T, _ int64) fold.Put { return encoded(t, drive.UseKey, row{math.MaxInt64, heavy}) }, 4 << 20},
		{"clock behind", func(t *testing.T, _ int64) fold.Put { return encoded(t, drive.UseKey, row{math.MinInt64, heavy}) }, 4},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				table, hosts := &useTable{Table: plat.NewTable()}, newFakeHosts(1, time.Second)
				if _, err := table.Table.Commit(t.Context(), fold.Txn{Puts: []fold.Put{c.put(t, time.Now().UnixMilli())}}); err != nil {
					t.Fatal(err)
				}
				d := startDriver(t, table, table.Table, hosts, withPastUse)
				if got := heavyUse(d); math.Abs(got-c.want) > c.want/1000 {
					t.Errorf("use of %.2f core-seconds, want %.2f", got, c.want)
				}
				submitUse(t, d, 1, "light")
				time.Sleep(10 * time.Second)
				if state, _, _ := d.State(testJob(1, 1).ID); state != flow.Completed {
					t.Errorf("the job has state %q, want completed", state)
				}
				written, err := table.Get(t.Context(), drive.UseKey)
				if err != nil {
					t.Fatal(err)
				}
				if found, err := codec.Decode[row](written.Value); err != nil || len(found.Teams) == 0 {
					t.Errorf("the row holds %d teams, error %v", len(found.Teams), err)
				}
			})
		})
	}
}

// Guards against a row that is too long for the table or has the wrong teams because there are many, and against a commit
// that the platform refuses for its size because of the row.
func TestLongRowOfPastUse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table, hosts := newSlowTable(20*time.Millisecond), newFakeHosts(40, 100*time.Millisecond)
		d := startDriver(t, table, table, hosts, withPastUse)
		for n := range 1200 {
			j := testJob(n, 1)
			j.Team, j.Steps[0].Size.CPU = fmt.Sprintf("%080d", n), 64000
			if n == 700 {
				j.Steps[0].Count = 20
			}
			_, err := d.Submit(t.Context(), j, fold.Check{})
			for tries := 0; err != nil; tries++ {
				if tries == 100 {
					t.Fatal(err)
				}
				time.Sleep(100 * time.Millisecond)
				_, err = d.Submit(t.Context(), j, fold.Check{})
			}
		}
		time.Sleep(20 * time.Second)
		row, err := table.Get(t.Context(), drive.UseKey)
		if err != nil {
			t.Fatal(err)
		}
		found, err := codec.Decode[struct {
			Teams [][]any `json:"teams"`
		}](row.Value)
		if err != nil || len(row.Value) > platformRow || len(found.Teams) < 500 || found.Teams[0][0] != fmt.Sprintf("%080d", 700) {
			t.Errorf("the row has %d bytes and %d teams, error %v", len(row.Value), len(found.Teams), err)
		}
	})
}

// Guards against a row of past use that is read or written without the setting, and against one that causes commits.
func TestPastUseMakesNoCommits(t *testing.T) {
	commits := make(map[bool]int)
	for _, on := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			table, hosts := &useTable{Table: plat.NewTable()}, newFakeHosts(1, time.Second)
			d := startDriver(t, table, table.Table, hosts, func(p *drive.Parts) {
				if on {
					withPastUse(p)
				}
			})
			for n := range 10 {
				submitUse(t, d, n, "heavy")
			}
			time.Sleep(time.Minute)
			table.mu.Lock()
			defer table.mu.Unlock()
			commits[on] = table.commits
			if used := table.reads > 0 && len(table.writes) > 0; used != on || !on && table.reads+len(table.writes) > 0 {
				t.Errorf("past use on: %v; the row was read %d times and written %d times", on, table.reads, len(table.writes))
			}
		})
	}
	if commits[true] > commits[false] {
		t.Errorf("%d commits with past use, %d without", commits[true], commits[false])
	}
}

// Guards against a row that is overwritten before it was read, and against a takeover that waits for it.
func TestPastUseThatCannotBeReadYet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table, hosts := &useTable{Table: plat.NewTable()}, newFakeHosts(1, time.Second)
		first := startDriver(t, table, table.Table, hosts, withPastUse)
		submitUse(t, first, 1, "heavy")
		time.Sleep(11 * time.Second)
		was := heavyUse(first)
		began := time.Now()
		table.setUnreadable(true)
		second := startDriver(t, table, table.Table, hosts, withPastUse)
		if took := time.Since(began); took > time.Second {
			t.Errorf("the takeover took %s", took)
		}
		submitUse(t, second, 2, "light")
		time.Sleep(8 * time.Second)
		table.setUnreadable(false)
		time.Sleep(3 * time.Second)
		if got := heavyUse(second); got < 0.9*was || got > was {
			t.Errorf("use of %.0f core-seconds, want almost %.0f", got, was)
		}
	})
}
