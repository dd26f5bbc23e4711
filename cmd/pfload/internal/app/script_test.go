package app_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"plantainfold.example/fold"
	"plantainfold.example/fold/cell"
	"plantainfold.example/fold/remote"
	"plantainfold.example/pfload/internal/app"
)

const manifest = `{
	"teams": [{"name": "crews", "share": 1, "limit": {"cpu": 64000, "memory": 65536}}],
	"accounts": [{"name": "crews", "share": 1}, {"name": "depot", "share": 1}],
	"queues": [{"name": "planning", "teams": ["crews"], "service": "planning"}],
}`

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"pfload": func() { os.Exit(app.Main(os.Args[1:], os.Stdout, os.Stderr)) },
	})
}

// Guards against a load generator that misses wrong answers, duplicate runs or runs after a refusal, that sends load beyond
// loopback, or whose command line no longer works against a cell.
func TestScripts(t *testing.T) {
	vars := append(startCell(t), "FAULTY_SERVER="+startFaultyServer(t))
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(e *testscript.Env) error {
			e.Vars = append(e.Vars, vars...)
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){"exitcode": requireExitCode},
	})
}

// requireExitCode implements the script command exitcode, which runs a command and requires its exit code. An argument that
// starts with "--worker " is split into words, so that a variable can hold a list of workers.
func requireExitCode(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 2 {
		ts.Fatalf("usage: exitcode number command")
	}
	want, err := strconv.Atoi(args[0])
	ts.Check(err)
	var commandArgs []string
	for _, arg := range args[2:] {
		if strings.HasPrefix(arg, "--worker ") {
			commandArgs = append(commandArgs, strings.Fields(arg)...)
			continue
		}
		commandArgs = append(commandArgs, arg)
	}
	got := 0
	if err := ts.Exec(args[1], commandArgs...); err != nil {
		exit, ok := errors.AsType[*exec.ExitError](err)
		if !ok {
			ts.Fatalf("%v", err)
		}
		got = exit.ExitCode()
	}
	if got != want {
		ts.Fatalf("exit code %d, want %d", got, want)
	}
}

// startCell starts a cell with two client accounts and returns the addresses of its entries and workers and the keys of the
// accounts as script variables.
func startCell(t *testing.T) []string {
	t.Helper()
	c, err := cell.New(cell.Shape{
		Region:      "lima",
		Domains:     []string{"a", "b"},
		Entries:     2,
		Racks:       1,
		Workers:     2,
		Capacity:    fold.Resources{CPU: 16_000, Memory: 32_768},
		Service:     "planning",
		Slots:       8,
		ServiceTime: 5 * time.Millisecond,
	}, io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := c.Close(); err != nil {
			t.Error(err)
		}
	})
	urls := c.Addresses()
	vars := []string{"ENTRY0=" + urls["entry-0"], "ENTRY1=" + urls["entry-1"]}
	operator := remote.New(urls["entry-0"], cell.RootKey())
	eventually(t, func(ctx context.Context) error {
		_, err := operator.ApplyManifest(ctx, 0, []byte(manifest))
		return err
	})
	for _, account := range []string{"crews", "depot"} {
		issued, err := operator.IssueKey(t.Context(), fold.KeyGrant{Team: "crews", Account: account})
		if err != nil {
			t.Fatal(err)
		}
		vars = append(vars, strings.ToUpper(account)+"="+issued.Key)
		for _, url := range urls {
			eventually(t, func(ctx context.Context) error { return serveBothKinds(ctx, remote.New(url, issued.Key)) })
		}
	}
	instances, err := c.Fleet.Instances(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	workers := ""
	for _, instance := range instances {
		if instance.Role == fold.RoleEndpoint {
			workers += "--worker " + instance.Address + " "
		}
	}
	return append(vars, "WORKERS="+workers)
}

// serveBothKinds sends one idempotent request and enough others to reach the owners of claim ranges at both entries.
func serveBothKinds(ctx context.Context, client *remote.Client) error {
	for n := range 32 {
		r := fold.Request{
			ID: fmt.Sprintf("try-%d-%d", time.Now().UnixNano(), n), Idempotent: n == 0, Issued: time.Now(), Timeout: 20 * time.Second,
		}
		if _, err := client.Serve(ctx, "planning", r); err != nil {
			return err
		}
	}
	return nil
}

// eventually calls attempt until it succeeds, and fails the test after a minute.
func eventually(t *testing.T, attempt func(ctx context.Context) error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	for {
		err := attempt(ctx)
		if err == nil {
			return
		}
		if ctx.Err() != nil {
			t.Fatalf("no success within a minute: %v", err)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// startFaultyServer starts an HTTP server that acts as both an entry and a worker and breaks the guarantees of a cell: it
// answers every third request with a wrong body, reports two runs of each request, and under /refuse reports a run of each
// request that it refuses.
func startFaultyServer(t *testing.T) string {
	t.Helper()
	var mu sync.Mutex
	served := make(map[string]int)
	mux := http.NewServeMux()
	recordRuns := func(r *http.Request, times int) int {
		mu.Lock()
		defer mu.Unlock()
		served[r.Header.Get("Request-Id")] = times
		return len(served)
	}
	mux.HandleFunc("POST /v1/queues/planning/requests", func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
		w.Header().Set("Run", "yes")
		if recordRuns(r, 2)%3 == 0 {
			_, _ = io.WriteString(w, "another answer")
			return
		}
		_, _ = io.Copy(w, r.Body)
	})
	mux.HandleFunc("POST /refuse/v1/queues/planning/requests", func(w http.ResponseWriter, r *http.Request) {
		recordRuns(r, 1)
		w.Header().Set("Run", "no")
		w.WriteHeader(http.StatusTooManyRequests)
	})
	mux.HandleFunc("GET /v1/served", func(w http.ResponseWriter, _ *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		_ = json.NewEncoder(w).Encode(struct {
			Served map[string]int `json:"served"`
		}{served})
	})
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return server.URL
}
