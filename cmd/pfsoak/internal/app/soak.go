package app

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"plantainfold.example/fold/node"
)

const (
	// warmUpTime is the time before the first fault.
	warmUpTime = 3 * time.Second
	// settleTime limits how long a test run waits for jobs to end after the last submission and the last fault.
	settleTime = 75 * time.Second
	// maxIdleTime is how long an accepted job may stay idle without a break after all faults have ended, in the sense of
	// model.Live.Idle. The platform allows an entry 12 s to serve again.
	maxIdleTime = 12 * time.Second
	// smallEntryCores is the size of most entries of a large pool, which supervise few hosts each. One entry in
	// largeEntryDivisor is larger.
	smallEntryCores   = 0.192
	largeEntryDivisor = 6
)

// options are the command-line options.
type options struct {
	Seeds    int           `long:"seeds" default:"1" description:"number of test runs, with consecutive seeds"`
	Seed     uint64        `long:"seed" default:"1" description:"seed of the first test run"`
	Length   time.Duration `long:"length" default:"20s" description:"time during which jobs arrive in a test run"`
	Entries  int           `long:"entries" default:"3" description:"number of entries"`
	Hosts    int           `long:"hosts" default:"12" description:"number of hosts; the rate of jobs grows with it"`
	Program  string        `long:"program" description:"path of the entry daemon; if it is not set, the daemon is built from the checkout"`
	Basic    bool          `long:"basic" description:"inject no faults of links, no stutters and no series of changes of the owner"`
	Links    bool          `long:"links" description:"inject only the faults that --basic leaves out"`
	Large    bool          `long:"large" description:"use the workload of a large pool, whose long-running steps have up to 120 tasks; best with 100 hosts or more"`
	Calm     bool          `long:"calm" description:"inject only faults of the adviser"`
	Limits   bool          `long:"limits" description:"the store limits the rate of calls and turns away those beyond it"`
	Troubles []string      `long:"trouble" description:"inject only the named trouble (see troubles.go); can be repeated"`
	HostTime time.Duration `long:"hosttime" description:"processor time that a call to a host takes; all hosts share one processor"`
	Linked   int           `long:"linked" description:"number of entries whose links get proxies, which --links needs; 0 means all"`
	Evacuate bool          `long:"evacuate" description:"evacuate failure domains also with --basic, --links or --calm, which else leave this out"`
	Learn    bool          `long:"learn" description:"the entries learn the speeds of hosts and order late work by the past use of the teams (settings speeds and pastuse)"`
	Level    string        `long:"level" default:"info" description:"log level of the entries"`
	Logs     string        `long:"logs" description:"folder in which the logs of the entries are kept; if it is not set, they are removed after a test run without a violation"`
}

// testRun is a test run in which each entry is a separate process.
type testRun struct {
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
	// that were neither accepted nor refused.
	jobs, accepted, ended, refusals, unanswered int
	// unplaced is the number of accepted jobs that had not ended and were not idle when the test run stopped waiting. This
	// happens, for example, if no task of a job fits on a host that the adviser approves, because hosts that left do not
	// return.
	unplaced int
	// starts is the number of runs that were started.
	starts int
}

// runSeed performs the test run of a seed and returns its result.
func runSeed(ctx context.Context, o options, seed uint64, dir string, log hclog.Logger) (out outcome, err error) {
	t := &testRun{log: log}
	hostLog, err := newLogFile(filepath.Join(dir, "hosts.log"))
	if err != nil {
		return out, err
	}
	defer func() { err = errors.Join(err, hostLog.Close()) }()
	hostLogger := hclog.New(&hclog.LoggerOptions{Level: hclog.Debug, Output: hostLog})
	if err := t.connect(ctx, o, seed, dir, hostLogger); err != nil {
		return out, err
	}
	defer func() { err = errors.Join(err, t.close()) }()
	t.startEntries(t.entries)
	judging := time.AfterFunc(warmUpTime, t.env.live.JudgeIdle)
	defer judging.Stop()
	watching, stop := context.WithCancel(ctx)
	defer stop()
	t.callers = newCallers(watching, t.env, t.entries)
	go t.env.keepHostsRegistered(watching)
	go watchRig(watching, t.env, hostLogger)
	sending, endSending := context.WithTimeout(ctx, o.Length)
	defer endSending()
	var senders sync.WaitGroup
	for class := range t.env.workload.Classes {
		senders.Go(func() { t.callers.sendJobs(sending, watching, class, seed) })
	}
	faults, err := t.drawAll(o, seed)
	if err != nil {
		return out, err
	}
	out.faults = t.injectFaults(ctx, faults)
	senders.Wait()
	t.env.live.RecordTrafficEnd()
	out.unplaced = t.finish(ctx, stop)
	c := t.callers
	if len(c.accepted) == 0 {
		t.env.live.AddViolation("LOST", "none of %d jobs was accepted", c.jobs)
	}
	counts, violations := t.env.live.Result()
	out.jobs, out.accepted, out.ended, out.refusals, out.unanswered, out.starts = c.jobs, len(c.accepted), len(c.ended), c.refusals, c.unanswered, counts.Starts
	out.violations = violations
	return out, nil
}

// drawAll returns the faults of a test run: those that are named, or else random ones.
func (t *testRun) drawAll(o options, seed uint64) ([]fault, error) {
	if len(o.Troubles) > 0 {
		return t.namedTroubles(o.Troubles, seed, o.Length)
	}
	// Each group of faults has its own random numbers, so that a seed keeps its faults when another group is added.
	var faults []fault
	if !o.Links && !o.Calm {
		faults = t.drawFaults(rand.New(rand.NewPCG(seed, 11)), o.Length)
	}
	if !o.Basic && !o.Calm {
		faults = append(faults, t.drawLinkFaults(rand.New(rand.NewPCG(seed, 13)), o.Length)...)
	}
	if !o.Links {
		faults = append(faults, t.drawAdviserFaults(rand.New(rand.NewPCG(seed, 17)), o.Length)...)
	}
	if o.Evacuate || !o.Links && !o.Basic && !o.Calm {
		faults = append(faults, t.drawEvacuations(rand.New(rand.NewPCG(seed, 19)), o.Length)...)
	}
	return faults, nil
}

// connect creates the environment and the entries, whose processes are not started.
func (t *testRun) connect(ctx context.Context, o options, seed uint64, dir string, hostLog hclog.Logger) error {
	var names []string
	for n := range o.Entries {
		names = append(names, fmt.Sprintf("entry-%d", n))
	}
	runTime, linked := longRunTime, names
	if o.Basic || o.Calm || len(o.Troubles) > 0 {
		// One proxy for each pair of entry and host takes too many descriptors at the size of a large pool.
		runTime, linked = shortRunTime, nil
	}
	if o.Linked > 0 {
		linked = names[:min(o.Linked, len(names))]
	}
	var err error
	if t.env, err = newEnvironment(ctx, seed, newWorkload(seed, o.Hosts, o.Large, runTime), linked, t.log, hostLog); err != nil {
		return err
	}
	t.env.hostLoad.perCall = o.HostTime
	if o.Limits || len(o.Troubles) > 0 {
		t.env.store = newStoreState(largeStoreRates, seed)
	}
	for n, name := range names {
		store, err := t.env.startStore(ctx, name)
		if err != nil {
			return errors.Join(err, t.close())
		}
		adviser := t.env.live.NewEntryAdviser()
		adviserAddress, err := t.env.startAdviser(ctx, adviser)
		if err != nil {
			return errors.Join(err, t.close())
		}
		e, err := newEntry(ctx, o.Program, dir, name, domainNames[n%len(domainNames)], store, adviserAddress)
		if err != nil {
			return errors.Join(err, t.close())
		}
		e.adviser = adviser
		if o.Level != "" {
			e.settings.Level = o.Level
		}
		if o.Learn {
			e.settings.Speeds, e.settings.PastUse = true, &node.PastUseSettings{HalfLife: 3600e3}
		}
		if o.Large && n >= o.Entries/largeEntryDivisor {
			e.settings.Cores = smallEntryCores
		}
		t.entries = append(t.entries, e)
		if err := t.env.links.addTarget(ctx, name, e.settings.Peers); err != nil {
			return errors.Join(err, t.close())
		}
	}
	return nil
}

// close closes the entries and the environment.
func (t *testRun) close() error {
	var errs []error
	for _, e := range t.entries {
		errs = append(errs, e.Close())
	}
	return errors.Join(append(errs, t.env.Close())...)
}

// startEntries starts the processes of those entries that are not running.
func (t *testRun) startEntries(entries []*entry) {
	for _, e := range entries {
		if err := e.start(); err != nil {
			t.log.Error("Could not start an entry.", "entry", e.settings.Name, "error", err)
		}
	}
}

// injectFaults injects the faults at their times and reverts them. It returns a description of each fault.
func (t *testRun) injectFaults(ctx context.Context, faults []fault) []string {
	var group sync.WaitGroup
	var descriptions []string
	for _, f := range faults {
		descriptions = append(descriptions, fmt.Sprintf("%s at %s for %s", f.name, f.start.Round(time.Millisecond), f.duration.Round(time.Millisecond)))
		group.Go(func() {
			time.Sleep(f.start)
			// Violations after a recorded fault may be excused. Reloads and graceful stops excuse no violation, so they are
			// not recorded. Only graceful stops last graceTime. Faults of the adviser record themselves. Evacuations excuse
			// nothing; the check of waiting work knows them.
			disturbs := f.name != "reload" && f.duration != graceTime && !f.ofAdviser && !f.isEvacuation
			if disturbs {
				t.env.live.RecordFault(f.duration)
			}
			if f.cutsContact {
				t.env.live.ExcuseEvacuations(f.duration)
			}
			f.inject(ctx)
			time.Sleep(f.duration)
			f.revert()
			if f.cutsContact {
				t.env.live.ExcuseEvacuations(0)
			}
			if disturbs {
				t.env.live.RecordFaultEnd()
			}
		})
	}
	group.Wait()
	t.startEntries(t.entries)
	return descriptions
}

// finish waits until all accepted jobs have ended, at most for settleTime, and then stops the callers. It returns the
// number of unplaced jobs, as defined in outcome.
func (t *testRun) finish(ctx context.Context, stop context.CancelFunc) (unplaced int) {
	idleSince := make(map[string]time.Time)
	for deadline := time.Now().Add(settleTime); time.Now().Before(deadline) && ctx.Err() == nil; time.Sleep(pollInterval) {
		open := t.openJobs()
		if len(open) == 0 {
			break
		}
		for _, id := range open {
			if !t.env.live.Idle(id) {
				delete(idleSince, id)
			} else if _, ok := idleSince[id]; !ok {
				idleSince[id] = time.Now()
			}
		}
	}
	for _, id := range t.openJobs() {
		since, ok := idleSince[id]
		if ok && time.Since(since) > maxIdleTime {
			t.env.live.AddViolation("LOST", "job %s has not ended and has been without a run for %s although its remaining work fits", id, time.Since(since).Round(time.Second))
		}
		if !ok {
			unplaced++
		}
	}
	stop()
	t.callers.group.Wait()
	return unplaced
}

// openJobs returns the ids of the accepted jobs that were not seen in a final state.
func (t *testRun) openJobs() []string {
	c := t.callers
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

// logFolder creates the folder for the logs of a test run. It also reports whether the folder is kept after a test run
// without a violation.
func (o options) logFolder(seed uint64) (dir string, kept bool, err error) {
	if o.Logs == "" {
		dir, err = os.MkdirTemp("", fmt.Sprintf("pfsoak-%d-", seed))
		return dir, false, err
	}
	dir = filepath.Join(o.Logs, fmt.Sprint(seed))
	return dir, true, os.MkdirAll(dir, 0o700)
}
