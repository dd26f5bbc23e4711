package app

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
)

const (
	// warmUpTime is the time before the first fault.
	warmUpTime = 3 * time.Second
	// settleTime is the time after the last job and the last fault within which all jobs must end.
	settleTime = 75 * time.Second
	// recoveryTime is how long after the last fault an entry may take to serve again; the platform allows 12 s.
	recoveryTime = 12 * time.Second
)

// options are the command-line options.
type options struct {
	Seeds   int           `long:"seeds" default:"1" description:"number of test runs, with consecutive seeds"`
	Seed    uint64        `long:"seed" default:"1" description:"seed of the first test run"`
	Length  time.Duration `long:"length" default:"20s" description:"time during which jobs arrive in a test run"`
	Entries int           `long:"entries" default:"3" description:"number of entries"`
	Program string        `long:"program" description:"path of the entry daemon; if it is not set, the daemon is built from the checkout"`
	Logs    string        `long:"logs" description:"folder in which the logs of the entries are kept; if it is not set, they are removed after a test run without a broken promise"`
}

// soak is a test run with separate processes.
type soak struct {
	log     hclog.Logger
	env     *environment
	entries []*entry
	callers *callers
}

// outcome is the result of a test run.
type outcome struct {
	faults     []string
	violations []string
	// jobs counts the jobs that callers submitted, accepted counts the jobs that were accepted, and ended counts the jobs that
	// were seen in a final state. refusals counts the submissions that were refused, and unanswered counts the submissions
	// without a usable answer.
	jobs, accepted, ended, refusals, unanswered int
	// unplaced is the number of accepted jobs that have not ended because none of their tasks fits on a host that the
	// adviser approves. This can happen because hosts that left do not return.
	unplaced int
	// starts is the number of runs that were started.
	starts int
}

// runSoak performs the test run of a seed and returns its result.
func runSoak(ctx context.Context, o options, seed uint64, dir string, log hclog.Logger) (out outcome, err error) {
	s := &soak{log: log}
	if s.env, err = newEnvironment(ctx, seed, log); err != nil {
		return out, err
	}
	defer func() { _ = s.env.Close() }()
	for n := range o.Entries {
		e, err := newEntry(ctx, o.Program, dir, fmt.Sprintf("entry-%d", n), s.env.storeAddress, s.env.adviserAddress)
		if err != nil {
			return out, err
		}
		s.entries = append(s.entries, e)
	}
	defer func() {
		for _, e := range s.entries {
			if closeErr := e.Close(); closeErr != nil && err == nil {
				err = closeErr
			}
		}
	}()
	s.startEntries(s.entries)
	s.callers = newCallers(s.env, s.entries)
	watching, stop := context.WithCancel(ctx)
	defer stop()
	go s.env.keepRegistered(watching)
	sending, endSending := context.WithTimeout(ctx, o.Length)
	defer endSending()
	var senders sync.WaitGroup
	for class := range s.env.day.Classes {
		senders.Go(func() { s.callers.sendJobs(sending, watching, class, seed) })
	}
	out.faults = s.injectFaults(ctx, s.drawFaults(rand.New(rand.NewPCG(seed, 11)), o.Length))
	senders.Wait()
	out.unplaced = s.finish(ctx, stop)
	c := s.callers
	counts, violations := s.env.live.Result()
	out.jobs, out.accepted, out.ended, out.refusals, out.unanswered, out.starts = c.jobs, len(c.accepted), len(c.ended), c.refusals, c.unanswered, counts.Starts
	out.violations = violations
	return out, nil
}

// startEntries starts the processes of those entries that do not run.
func (s *soak) startEntries(entries []*entry) {
	for _, e := range entries {
		if err := e.start(); err != nil {
			s.log.Error("Could not start an entry.", "entry", e.settings.Name, "error", err)
		}
	}
}

// injectFaults injects the faults at their times and reverts them. It returns a description of each fault.
func (s *soak) injectFaults(ctx context.Context, faults []fault) []string {
	var group sync.WaitGroup
	var descriptions []string
	for _, f := range faults {
		descriptions = append(descriptions, fmt.Sprintf("%s at %s for %s", f.name, f.start.Round(time.Millisecond), f.duration.Round(time.Millisecond)))
		group.Go(func() {
			time.Sleep(f.start)
			// Reloads and graceful stops excuse no broken promise, so they are not recorded as faults.
			if f.name != "reload" && f.duration != graceTime {
				s.env.live.RecordFault(f.duration)
			}
			f.inject(ctx)
			time.Sleep(f.duration)
			f.revert()
		})
	}
	group.Wait()
	s.startEntries(s.entries)
	return descriptions
}

// finish waits until all accepted jobs have ended and then stops the callers. It returns the number of jobs that could not
// be placed.
func (s *soak) finish(ctx context.Context, stop context.CancelFunc) (unplaced int) {
	idleSince := make(map[string]time.Time)
	for deadline := time.Now().Add(settleTime); time.Now().Before(deadline) && ctx.Err() == nil; time.Sleep(pollInterval) {
		open := s.openJobs()
		if len(open) == 0 {
			break
		}
		for _, id := range open {
			if !s.env.live.Idle(id) {
				delete(idleSince, id)
			} else if _, ok := idleSince[id]; !ok {
				idleSince[id] = time.Now()
			}
		}
	}
	for _, id := range s.openJobs() {
		since, ok := idleSince[id]
		if ok && time.Since(since) > recoveryTime {
			s.env.live.AddViolation("LOST", "job %s has not ended, and none of its tasks has run for %s although they fit", id, time.Since(since).Round(time.Second))
		}
		if !ok {
			unplaced++
		}
	}
	stop()
	s.callers.group.Wait()
	return unplaced
}

// openJobs returns the ids of the accepted jobs that were not seen in a final state.
func (s *soak) openJobs() []string {
	c := s.callers
	c.mu.Lock()
	defer c.mu.Unlock()
	var ids []string
	for id := range c.accepted {
		if !c.ended[id] {
			ids = append(ids, id)
		}
	}
	return ids
}

// buildDaemon builds the entry daemon from the checkout and returns its path.
func buildDaemon(ctx context.Context, dir string) (string, error) {
	program := filepath.Join(dir, "pfnode")
	out, err := exec.CommandContext(ctx, "go", "build", "-o", program, "plantainfold.example/pfnode").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("build the entry daemon: %w\n%s", err, out)
	}
	return program, nil
}

// logFolder creates the folder for the logs of a test run. It also reports whether the folder is kept.
func (o options) logFolder(seed uint64) (dir string, kept bool, err error) {
	if o.Logs == "" {
		dir, err = os.MkdirTemp("", fmt.Sprintf("pfsoak-%d-", seed))
		return dir, false, err
	}
	dir = filepath.Join(o.Logs, fmt.Sprint(seed))
	return dir, true, os.MkdirAll(dir, 0o700)
}
