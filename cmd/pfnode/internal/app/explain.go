package app

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/url"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/jessevdk/go-flags"

	"plantainfold.example/fold"
	"plantainfold.example/fold/core"
)

const (
	// explainTimeout limits the call to the entry, which answers within a second.
	explainTimeout = 3 * time.Second
	// maxExplanation is the maximum size of an answer in bytes, far above one that names 2000 hosts.
	maxExplanation = 4 << 20
	// maxListedHosts is the maximum number of chosen hosts that are printed per step.
	maxListedHosts = 20
)

// explainCommand is the command that asks an entry where the tasks of a job would go now.
type explainCommand struct {
	Entry string `long:"entry" required:"true" value-name:"HOST:PORT" description:"address of an entry for other entries (its setting peers)"`
	Queue string `long:"queue" required:"true" value-name:"NAME" description:"name of the queue"`
	Team  string `long:"team" value-name:"NAME" description:"name of the team; may be absent for a queue without keys"`
	Args  struct {
		Job string `positional-arg-name:"JOB.json" description:"file with the job"`
	} `positional-args:"true" required:"true"`

	ctx    context.Context
	stdout io.Writer
}

var _ flags.Commander = &explainCommand{}

// Execute asks the entry and prints the answer.
func (c *explainCommand) Execute([]string) error {
	job, err := os.ReadFile(c.Args.Job)
	if err != nil {
		return fold.Refuse(fold.Invalid, "name a readable file with the job", "%v", err)
	}
	explanation, err := c.ask(job)
	if err != nil {
		return err
	}
	var out strings.Builder
	for _, s := range explanation.Steps {
		writeStep(&out, s)
	}
	_, err = io.WriteString(c.stdout, out.String())
	return err
}

func (c *explainCommand) ask(job []byte) (explanation core.Explanation, err error) {
	ctx, cancel := context.WithTimeout(c.ctx, explainTimeout)
	defer cancel()
	target := url.URL{Scheme: "http", Host: c.Entry, Path: "/explain", RawQuery: url.Values{"queue": {c.Queue}, "team": {c.Team}}.Encode()}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target.String(), bytes.NewReader(job))
	if err != nil {
		return explanation, fold.Refuse(fold.Invalid, "give --entry as HOST:PORT", "%v", err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return explanation, fold.Refuse(fold.Unavailable, "check the address (setting peers of the entry), or ask another entry", "the entry does not answer: %v", err)
	}
	defer func() { _ = resp.Body.Close() }()
	answer := json.NewDecoder(io.LimitReader(resp.Body, maxExplanation))
	if resp.StatusCode == http.StatusOK {
		err = answer.Decode(&explanation)
	} else {
		var problem fold.WireError
		if err = answer.Decode(&problem); err == nil {
			return explanation, problem.Err()
		}
	}
	if err != nil {
		return explanation, fold.Refuse(fold.Unavailable, "check that the address is the setting peers of an entry of this version", "the answer with status %d is no explanation: %v", resp.StatusCode, err)
	}
	return explanation, nil
}

// writeStep writes a line about the step, and a line for each chosen host, reason and condition.
func writeStep(out *strings.Builder, s core.StepExplanation) {
	line := func(format string, args ...any) { _, _ = fmt.Fprintf(out, format+"\n", args...) }
	line("step %d: %d tasks, class %s, rank %d, %d tasks ahead, %d of %d hosts usable", s.Step, s.Tasks, s.Class, s.Rank, s.TasksAhead, s.Usable, s.Hosts)
	for i, h := range s.Chosen {
		if i == maxListedHosts {
			line("  and %d other hosts", len(s.Chosen)-i)
			break
		}
		line("  host %s: %d tasks, score %.3f", h.Host, h.Tasks, h.Score)
	}
	for _, reason := range slices.Sorted(maps.Keys(s.Excluded)) {
		line("  excluded, %s: %d hosts", reason, s.Excluded[reason])
	}
	switch {
	case len(s.After) > 0:
		line("  waits for the steps %v", s.After)
	case s.NotBefore > 0:
		line("  is due in %s", s.NotBefore)
	case s.Unplaced > 0:
		line("  %d tasks find no host now", s.Unplaced)
	}
	if s.TeamLimit {
		line("  the limit of the team keeps the next task from starting")
	}
	if s.Advised {
		line("  the adviser must approve the hosts first; the choice assumes that it approves all of them")
	}
	if s.MayPreempt && s.Unplaced > 0 && len(s.After) == 0 {
		line("  runs of other jobs may be stopped for this step")
	}
}
