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
	// warmTime is the time before the first fault, restTime the time after the last job in which all must come to an end.
	warmTime = 3 * time.Second
	restTime = 75 * time.Second
	// settleTime is how long after the end of all faults an entry must serve again at the latest; the platform gives 12 s.
	settleTime = 12 * time.Second
)

// options say what is played.
type options struct {
	Seeds   int           `long:"seeds" default:"1" description:"days that are played"`
	Seed    uint64        `long:"seed" default:"1" description:"seed of the first day"`
	Length  time.Duration `long:"length" default:"20s" description:"how long jobs come on a day"`
	Entries int           `long:"entries" default:"3" description:"number of entries"`
	Program string        `long:"program" description:"the entry daemon; without it, it is built from the checkout"`
	Logs    string        `long:"logs" description:"folder for the entries' logs, which are kept; without it they are removed after a good day"`
}

// soak is a day with separate processes.
type soak struct {
	log     hclog.Logger
	world   *world
	entries []*entry
	callers *callers
}

// outcome is what a day has shown.
type outcome struct {
	faults []string
	broken []string
	// jobs counts what callers sent, accepted and final what became of it.
	jobs, accepted, final, refusals, unsure int
	// unplaced counts accepted jobs that have not ended because nothing of them fits where the adviser allows it: hosts that
	// left do not come back.
	unplaced int
	starts   int
}

// play plays a day and returns what it has shown.
func play(ctx context.Context, o options, seed uint64, dir string, log hclog.Logger) (out outcome, err error) {
	s := &soak{log: log}
	if s.world, err = newWorld(ctx, seed, log); err != nil {
		return out, err
	}
	defer func() { _ = s.world.Close() }()
	for n := range o.Entries {
		e, err := newEntry(ctx, o.Program, dir, fmt.Sprintf("entry-%d", n), s.world.storeAddress, s.world.adviserAddress)
		if err != nil {
			return out, err
		}
		s.entries = append(s.entries, e)
	}
	defer func() {
		for _, e := range s.entries {
			if failed := e.Close(); failed != nil && err == nil {
				err = failed
			}
		}
	}()
	s.restart(s.entries)
	s.callers = newCallers(s.world, s.entries)
	following, stop := context.WithCancel(ctx)
	defer stop()
	go s.world.follow(following)
	sending, end := context.WithTimeout(ctx, o.Length)
	defer end()
	var senders sync.WaitGroup
	for class := range s.world.day.Classes {
		senders.Go(func() { s.callers.run(sending, following, class, seed) })
	}
	out.faults = s.strike(ctx, s.schedule(rand.New(rand.NewPCG(seed, 11)), o.Length))
	senders.Wait()
	out.unplaced = s.finish(ctx, stop)
	c := s.callers
	counts, broken := s.world.live.Result()
	out.jobs, out.accepted, out.final, out.refusals, out.unsure, out.starts = c.jobs, len(c.accepted), len(c.final), c.refusals, c.unsure, counts.Starts
	out.broken = broken
	return out, nil
}

// restart starts the processes of entries that do not run.
func (s *soak) restart(entries []*entry) {
	for _, e := range entries {
		if err := e.start(); err != nil {
			s.log.Error("Could not start an entry.", "entry", e.settings.Name, "error", err)
		}
	}
}

// strike lets the faults happen and heals all of them; it returns what happened when.
func (s *soak) strike(ctx context.Context, faults []fault) []string {
	var group sync.WaitGroup
	var names []string
	for _, f := range faults {
		names = append(names, fmt.Sprintf("%s at %s for %s", f.name, f.at.Round(time.Millisecond), f.lasts.Round(time.Millisecond)))
		group.Go(func() {
			time.Sleep(f.at)
			if f.name != "reload" && f.lasts != graceTime {
				s.world.live.RecordFault(f.lasts)
			}
			f.strike(ctx)
			time.Sleep(f.lasts)
			f.heal()
		})
	}
	group.Wait()
	s.restart(s.entries)
	return names
}

// finish waits until all accepted jobs have ended, then ends the callers; it returns how many jobs could not be placed.
func (s *soak) finish(ctx context.Context, stop context.CancelFunc) (unplaced int) {
	idleSince := make(map[string]time.Time)
	for end := time.Now().Add(restTime); time.Now().Before(end) && ctx.Err() == nil; time.Sleep(askEvery) {
		open := s.open()
		if len(open) == 0 {
			break
		}
		for _, id := range open {
			if !s.world.live.Idle(id) {
				delete(idleSince, id)
			} else if _, ok := idleSince[id]; !ok {
				idleSince[id] = time.Now()
			}
		}
	}
	for _, id := range s.open() {
		since, ok := idleSince[id]
		if ok && time.Since(since) > settleTime {
			s.world.live.AddViolation("LOST", "job %s has not ended, and nothing of it has run for %s although it fits", id, time.Since(since).Round(time.Second))
		}
		if !ok {
			unplaced++
		}
	}
	stop()
	s.callers.group.Wait()
	return unplaced
}

// open returns the accepted jobs that were not seen in a final state.
func (s *soak) open() []string {
	c := s.callers
	c.mu.Lock()
	defer c.mu.Unlock()
	var ids []string
	for id := range c.accepted {
		if !c.final[id] {
			ids = append(ids, id)
		}
	}
	return ids
}

// build builds the entry daemon from the checkout.
func build(ctx context.Context, dir string) (string, error) {
	program := filepath.Join(dir, "pfnode")
	out, err := exec.CommandContext(ctx, "go", "build", "-o", program, "plantainfold.example/pfnode").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("build the entry daemon: %w\n%s", err, out)
	}
	return program, nil
}

// folder returns the folder for the logs of a day, and whether it is kept.
func (o options) folder(seed uint64) (dir string, kept bool, err error) {
	if o.Logs == "" {
		dir, err = os.MkdirTemp("", fmt.Sprintf("pfsoak-%d-", seed))
		return dir, false, err
	}
	dir = filepath.Join(o.Logs, fmt.Sprint(seed))
	return dir, true, os.MkdirAll(dir, 0o700)
}
