package core_test

import (
	"cmp"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/joomcode/errorx"

	"plantainfold.example/fold"
	"plantainfold.example/fold/core"
	"plantainfold.example/fold/flow"
)

// lineCounter counts the lines that a cell logs.
type lineCounter struct {
	hclog.Logger
	lines int
}

func (l *lineCounter) Info(string, ...any)  { l.lines++ }
func (l *lineCounter) Warn(string, ...any)  { l.lines++ }
func (l *lineCounter) Error(string, ...any) { l.lines++ }
func (l *lineCounter) Debug(string, ...any) { l.lines++ }

// stateOf returns a text of all that the cell refers to, including the unused parts of its buffers.
func stateOf(cell *core.Cell) string {
	seen := make(map[uintptr]bool)
	var text func(v reflect.Value) string
	text = func(v reflect.Value) string {
		var items []string
		switch v.Kind() {
		case reflect.Pointer, reflect.Interface:
			if v.IsNil() {
				return "nil"
			}
			if v.Kind() == reflect.Interface {
				return text(v.Elem())
			}
			if seen[v.Pointer()] {
				return fmt.Sprint(v.Pointer())
			}
			seen[v.Pointer()] = true
			return fmt.Sprint(v.Pointer(), text(v.Elem()))
		case reflect.Struct:
			for i := range v.NumField() {
				items = append(items, text(v.Field(i)))
			}
		case reflect.Slice:
			items = append(items, fmt.Sprint(v.Pointer(), v.Len()))
			for i := range v.Cap() {
				items = append(items, text(v.Slice(0, v.Cap()).Index(i)))
			}
		case reflect.Map:
			// The order must not depend on the map, because the text of a value depends on what was seen before.
			keys := v.MapKeys()
			slices.SortFunc(keys, func(a, b reflect.Value) int { return cmp.Compare(fmt.Sprint(a), fmt.Sprint(b)) })
			for _, k := range keys {
				items = append(items, text(k), text(v.MapIndex(k)))
			}
		default:
			return fmt.Sprint(v)
		}
		return "{" + strings.Join(items, " ") + "}"
	}
	return text(reflect.ValueOf(cell))
}

// Guards against a question that changes a later decision, a log line or any other state of the cell.
func TestExplainChangesNothing(t *testing.T) {
	advised := queue(0)
	advised.Name, advised.Advice = "advised", &fold.AdvicePolicy{CallTime: time.Millisecond, Validity: time.Second}
	unused := queue(3)
	unused.Name = "unused"
	rules := fold.Rules{
		Queues: []fold.Queue{queue(1), advised, unused},
		Teams:  []fold.TeamRule{{Name: "crews", Weight: 1, Limit: fold.Resources{CPU: 5000}}, {Name: "other"}, {Name: "new", Weight: 2}},
	}
	watch, gang, spare, last := step(2), step(2), step(1), step(30)
	watch.LongRunning, watch.PerHost, gang.Gang, gang.OneRack, spare.Fill, last.After = true, 1, true, true, true, []int{0}
	question := flow.Job{Steps: []flow.Step{watch, gang, spare, last}}
	run := func(ask bool) []core.Orders {
		log := &lineCounter{Logger: hclog.NewNullLogger()}
		b := &fixture{t: t, now: fold.Instant(time.Hour), wall: 1e9, hosts: []fold.Host{host("a", 4000), host("b", 3000), host("c", 2000)}}
		b.cell = core.New(core.Times{Lease: leaseTime, Stop: 900 * time.Millisecond, RenewWithoutTable: 4 * time.Second}, log)
		b.cell.SetOptions(core.Options{Speeds: true, PastUse: core.PastUse{HalfLife: time.Minute, Floor: 0.001}})
		b.cell.SetTime(b.now, b.wall)
		b.cell.SetRules(rules)
		explain := func() {
			if !ask {
				return
			}
			before := stateOf(b.cell)
			for _, q := range rules.Queues {
				for _, team := range rules.Teams {
					if _, err := b.cell.Explain(q.Name, team.Name, question); err != nil {
						t.Fatal(err)
					}
				}
			}
			if stateOf(b.cell) != before {
				t.Error("a question changed the state of the cell or wrote a log line")
			}
		}
		explain()
		b.applyRoster()
		fillWith(b, 9)
		var orders []core.Orders
		for i := range 12 {
			explain()
			b.advance(900 * time.Millisecond)
			explain()
			switch i {
			case 1:
				b.cell.AddJob(job(queue(1), watch, last), 1)
			case 4:
				urgent := jobOfTeam(9, "crews", b.wall)
				b.cell.AddJob(urgent, 1)
			case 6:
				b.cell.RecordSilence("b", 1, time.Second)
			}
			orders = append(orders, b.decide())
			var ends []fold.HostEnd
			for n, s := range orders[len(orders)-1].Starts {
				if s.Host.ID == "a" && n%2 == 0 {
					ends = append(ends, fold.HostEnd{Number: int64(100*i + n + 1), Task: s.Req.Task, Run: s.Req.Run, Kind: fold.EndDone})
				}
			}
			explain()
			b.report(b.hosts[0], nil, ends)
		}
		return orders
	}
	if without, with := run(false), run(true); !reflect.DeepEqual(without, with) {
		t.Errorf("orders differ after questions:\n%+v\nwant\n%+v", with, without)
	}
}

// Guards against an explanation that names other hosts than the decisions about the same job, or misses a reason.
func TestExplainAgreesWithDecisions(t *testing.T) {
	labeled := host("f", 9000, "gpu", "r1")
	draining, evacuated := host("c", 9000), host("d", 9000)
	draining.Draining, evacuated.Domain = true, "north"
	hosts := []fold.Host{host("a", 3000), host("b", 500), draining, evacuated, host("e", 9000), labeled}
	rules := fold.Rules{Queues: []fold.Queue{queue(1)}, Teams: []fold.TeamRule{{Name: "crews", Limit: fold.Resources{CPU: 4000}}, {Name: "other"}}, Evacuated: []string{"north"}}
	b := newFixture(t, rules, hosts...)
	b.cell.RecordSilence("e", 1, time.Second)
	gpu, gang, after := step(1), step(6), step(1)
	gpu.Label, gang.Gang, after.After = "gpu", true, []int{0}
	asked := job(queue(1), step(4), gpu, gang, after)
	e, err := b.cell.Explain("q", "crews", asked)
	if err != nil {
		t.Fatal(err)
	}
	b.cell.AddJob(asked, 1)
	want := make([]map[string]int, len(asked.Steps))
	for _, s := range b.decide().Starts {
		name, _ := flow.ParseTaskName(s.Req.Task)
		if want[name.Step] == nil {
			want[name.Step] = make(map[string]int)
		}
		want[name.Step][s.Host.ID]++
	}
	for i, s := range e.Steps {
		got := make(map[string]int)
		for _, h := range s.Chosen {
			got[h.Host] += h.Tasks
		}
		if !maps.Equal(got, want[i]) {
			t.Errorf("step %d: explained hosts %v, started on %v", i, got, want[i])
		}
	}
	first, second, third, last := e.Steps[0], e.Steps[1], e.Steps[2], e.Steps[3]
	if reasons := (map[string]int{"full": 1, "draining": 1, "evacuated": 1, "silent": 1}); !maps.Equal(first.Excluded, reasons) || first.Hosts != 6 || first.Usable != 2 || first.Class != "in time" {
		t.Errorf("first step %+v, want reasons %v", first, reasons)
	}
	if second.Excluded["no label"] != 2 || !second.TeamLimit || !third.TeamLimit || third.Unplaced != 6 || !slices.Equal(last.After, []int{0}) {
		t.Errorf("other steps %+v", e.Steps[1:])
	}
	later, err := b.cell.Explain("q", "other", flow.Job{Steps: asked.Steps})
	if err != nil || later.Steps[0].TasksAhead != 7 {
		t.Errorf("%+v, error %v, want the 7 waiting tasks of the first job ahead", later, err)
	}
}

// Guards against a question about an unknown queue or team or an invalid job that gets an answer, or an error without remedy.
func TestExplainRefuses(t *testing.T) {
	b := newFixture(t, fold.Rules{Queues: []fold.Queue{queue(1)}, Teams: []fold.TeamRule{{Name: "crews"}}})
	one := []flow.Step{step(1)}
	for _, c := range []struct {
		queue, team string
		steps       []flow.Step
		want        *errorx.Type
	}{{"none", "crews", one, fold.NotFound}, {"q", "none", one, fold.NotFound}, {"q", "", one, fold.NotFound}, {"q", "crews", nil, fold.Invalid}} {
		if _, err := b.cell.Explain(c.queue, c.team, flow.Job{Steps: c.steps}); !errorx.IsOfType(err, c.want) || fold.Remedy(err) == "" {
			t.Errorf("queue %q, team %q, %d steps: error %v", c.queue, c.team, len(c.steps), err)
		}
	}
}
