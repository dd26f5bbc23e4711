package entry_test

import (
	"context"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/joomcode/errorx"

	"plantainfold.example/fold"
	"plantainfold.example/fold/cell"
	"plantainfold.example/fold/remote"
)

// Guards against a refusal of an outdated manifest that does not name who changed what in the meantime.
func TestLosingOperatorIsTold(t *testing.T) {
	t.Parallel()
	c := newCell(t, 3, io.Discard)
	ops := operators(c)
	base := apply(t, ops[0], manifest)
	changed := strings.Replace(manifest, `"share": 1`, `"share": 7`, 1)
	if _, err := ops[1].ApplyManifest(context.Background(), base.Revision, []byte(changed)); err != nil {
		t.Fatal(err)
	}
	_, err := ops[2].ApplyManifest(context.Background(), base.Revision, []byte(manifest))
	if !errorx.IsOfType(err, fold.Outdated) || !strings.Contains(err.Error(), "teams.crews.share: 1 -> 7") || !strings.Contains(err.Error(), "by root") {
		t.Errorf("the operator with the outdated manifest got %v", err)
	}
	history, err := ops[2].History(context.Background())
	if err != nil || len(history) != 2 || history[1].Revision != base.Revision+1 || history[1].Time == 0 {
		t.Errorf("history %v, %v", history, err)
	}
	checkLargeManifest(t, c, ops)
}

// checkLargeManifest applies a manifest over 64 KiB, which goes to the object store, and reads it at every entry.
func checkLargeManifest(t *testing.T, c *cell.Cell, ops []*remote.Client) {
	t.Helper()
	large := manifest + "\n// " + strings.Repeat("x", 70<<10)
	last := apply(t, ops[0], large)
	awaitRevision(t, ops, last.Revision)
	stored, err := c.Objects.List(context.Background(), "config/")
	if err != nil || len(stored) != 1 {
		t.Errorf("objects %v, %v", stored, err)
	}
	if err := c.StartEntry("entry-late", "a"); err != nil {
		t.Fatal(err)
	}
	late := remote.New(c.Addresses()["entry-late"], cell.RootKey())
	for _, at := range append(ops, late) {
		eventually(t, func(ctx context.Context) error {
			revision, text, err := at.Manifest(ctx)
			if err == nil && (revision != last.Revision || string(text) != large) {
				err = notYet("revision %d with %d bytes", revision, len(text))
			}
			return err
		})
	}
}

// Guards against a key whose secret appears in a log, trace, metric, error or stored row.
func TestKeysAppearNowhere(t *testing.T) {
	var out transcript
	t.Parallel()
	c := newCell(t, 3, &out)
	ops := operators(c)
	last := apply(t, ops[0], manifest)
	ctx := context.Background()
	if _, err := ops[0].IssueKey(ctx, fold.KeyGrant{Team: "crews", Queues: []string{"daily"}}); !errorx.IsOfType(err, fold.Invalid) {
		t.Errorf("key for an undeclared queue: %v", err)
	}
	if _, err := ops[0].IssueKey(ctx, fold.KeyGrant{Team: "crews", Expiry: 1}); !errorx.IsOfType(err, fold.Invalid) {
		t.Errorf("key that expired before it was granted: %v", err)
	}
	expiry := time.Now().Add(1500 * time.Millisecond)
	brief, err := ops[0].IssueKey(ctx, fold.KeyGrant{Team: "crews", Expiry: expiry.UnixMilli()})
	if err != nil {
		t.Fatal(err)
	}
	narrow, err := ops[1].IssueKey(ctx, fold.KeyGrant{Team: "crews", Queues: []string{"nightly"}})
	if err != nil {
		t.Fatal(err)
	}
	awaitRevision(t, ops, last.Revision+2)
	at := remote.New(c.Addresses()["entry-2"], narrow.Key)
	_, err = at.Serve(ctx, "planning", fold.Request{ID: "r", Idempotent: true, Timeout: time.Second})
	if !errorx.IsOfType(err, fold.Forbidden) {
		t.Errorf("request on a queue that the key does not cover: %v", err)
	}
	errs := []error{err}
	eventually(t, func(ctx context.Context) error {
		_, err := remote.New(c.Addresses()["entry-1"], brief.Key).Job(ctx, "none")
		errs = append(errs, err)
		if !errorx.IsOfType(err, fold.Unauthorized) || time.Now().Before(expiry) {
			return notYet("the key has not expired: %v", err)
		}
		return nil
	})
	_, err = ops[1].RevokeKey(ctx, narrow.Key)
	errs = append(errs, err)
	if _, err := ops[1].RevokeKey(ctx, narrow.Grant.ID); err != nil {
		t.Error(err)
	}
	for _, err := range errs {
		_, _ = fmt.Fprintln(&out, err)
	}
	collect(t, c, ops[0], &out)
	for _, key := range []string{brief.Key, narrow.Key, cell.RootKey()} {
		secret := key[strings.LastIndexByte(key, '.')+1:]
		if strings.Contains(out.String(), secret) {
			t.Errorf("the secret of key %s is in the outputs", strings.Split(key, ".")[1])
		}
	}
}

// collect adds all output of the cell: metrics, status, keys, events, history and every stored row.
func collect(t *testing.T, c *cell.Cell, at *remote.Client, out *transcript) {
	t.Helper()
	ctx := context.Background()
	for _, path := range []string{"/metrics", "/v1/status", "/v1/keys", "/v1/events", "/v1/history", "/v1/drains", "/status"} {
		body, err := at.Raw(ctx, path)
		if err != nil {
			t.Errorf("%s: %v", path, err)
		}
		_, _ = out.Write(body)
	}
	rows, err := c.Table.Scan(ctx, "", "", 0)
	if err != nil {
		t.Fatal(err)
	}
	for _, row := range rows {
		_, _ = out.Write(row.Value)
	}
}

const declared = `{
	"teams": [{"name": "crews", "share": 1, "limit": {"cpu": 64000, "memory": 65536}}],
	"queues": [{"name": "nightly", "teams": ["crews"]}],
	"services": [{"name": "watch", "team": "crews", "replicas": 2, "resources": {"cpu": 1000, "memory": 1024}}],
	"jobs": [{"name": "tick", "queue": "nightly", "team": "crews", "kind": "batch", "count": 1,
		"resources": {"cpu": 1000, "memory": 512}, "duration": "10ms", "every": "2s"}],
}`

// Guards against declared work that is submitted twice, not at all, or still runs after it was retired, while entries are
// replaced.
func TestDeclaredWorkRunsOncePerPeriod(t *testing.T) {
	t.Parallel()
	c := newCell(t, 3, io.Discard)
	ops := operators(c)
	apply(t, ops[0], declared)
	eventually(t, func(context.Context) error { return runsOf(c, fold.Running, 2) })
	if err := c.StopEntry("entry-1"); err != nil {
		t.Fatal(err)
	}
	eventually(t, func(context.Context) error {
		if n := endedPeriods(c); n < 3 {
			return notYet("the job ran %d times", n)
		}
		return nil
	})
	grown := strings.Replace(declared, `"replicas": 2`, `"replicas": 3`, 1)
	apply(t, ops[0], grown)
	eventually(t, func(context.Context) error { return runsOf(c, fold.Running, 3) })
	last := strings.Replace(grown, `"jobs"`, `"retire": [{"kind": "service", "name": "watch", "grace": "1s"}], "jobs"`, 1)
	apply(t, ops[0], last)
	eventually(t, func(context.Context) error { return runsOf(c, fold.Running, 0) })
	eventually(t, func(ctx context.Context) error {
		list, err := ops[0].Drains(ctx)
		if err == nil && (len(list) != 1 || !list[0].Done) {
			err = notYet("drains %+v", list)
		}
		return err
	})
	seen := make(map[string]int)
	ended := make(map[fold.Outcome]int)
	for _, w := range c.Workers {
		for _, run := range w.Runs() {
			seen[run.Task.String()]++
			ended[run.State]++
		}
	}
	for task, n := range seen {
		if n != 1 {
			t.Errorf("task %s ran %d times", task, n)
		}
	}
	// Two jobs of the service, with 2 and 3 tasks, were stopped; all others are periods of the job.
	if ended[fold.Stopped] != 5 || ended[fold.Done] < 3 || ended[fold.Failed] > 0 {
		t.Errorf("tasks ended as %v, want 5 stopped and the others done", ended)
	}
}

// runsOf reports whether want tasks of services are in the state.
func runsOf(c *cell.Cell, state fold.Outcome, want int) error {
	n := 0
	for _, w := range c.Workers {
		for _, run := range w.Runs() {
			if run.State == state && run.End == 0 && time.Duration(fold.BootClock{}.Now()-run.Begin) > 100*time.Millisecond {
				n++
			}
		}
	}
	if n != want {
		return notYet("%d tasks are %s, want %d", n, state, want)
	}
	return nil
}

// endedPeriods counts the ended tasks of the periodic job.
func endedPeriods(c *cell.Cell) int {
	n := 0
	for _, w := range c.Workers {
		for _, run := range w.Runs() {
			if run.State == fold.Done {
				n++
			}
		}
	}
	return n
}
