package app

import (
	"context"
	"io"
	"strings"
	"time"

	"github.com/jessevdk/go-flags"

	"plantainfold.example/fold"
	"plantainfold.example/fold/remote"
)

// drainCommand implements "pfctl drain", which begins, lists or ends drains.
type drainCommand struct {
	Grace time.Duration `long:"grace" default:"10m" description:"how long work may end by itself before it is checkpointed and stopped"`
	Wait  time.Duration `long:"wait" description:"how long to wait until nothing is left"`
	End   bool          `long:"end" description:"return what was drained to use"`
	List  bool          `long:"list" description:"list drains and what holds them"`
	Args  struct {
		Kind string `positional-arg-name:"KIND" description:"worker, endpoint, service, queue, team or entry"`
		Name string `positional-arg-name:"NAME"`
	} `positional-args:"yes"`

	session *session
}

var _ flags.Commander = &drainCommand{}

// Execute lists the drains or ends a drain if the flags ask for it, and begins a drain otherwise.
func (c *drainCommand) Execute([]string) error {
	ctx := context.Background()
	client, err := c.session.client()
	if err != nil {
		return err
	}
	if c.List {
		list, err := client.Drains(ctx)
		if err != nil {
			return err
		}
		return c.printDrains(list)
	}
	if c.Args.Kind == "" || c.Args.Name == "" {
		return &flags.Error{Type: flags.ErrRequired, Message: "name a kind and a name, or use --list"}
	}
	if c.End {
		r, err := client.Undrain(ctx, c.Args.Kind, c.Args.Name)
		if err != nil {
			return err
		}
		return printRevision(c.session, r)
	}
	s, err := client.Drain(ctx, fold.Drain{Kind: c.Args.Kind, Name: c.Args.Name, Grace: c.Grace.Milliseconds()})
	if err == nil && c.Wait > 0 {
		s, err = c.awaitDone(ctx, client, s)
	}
	if err != nil {
		return err
	}
	return c.printDrains([]fold.DrainStatus{s})
}

// awaitDone prints the progress of a drain until it is done. It returns an error of type errNotReached if that takes longer
// than the flag wait.
func (c *drainCommand) awaitDone(ctx context.Context, client *remote.Client, s fold.DrainStatus) (fold.DrainStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, c.Wait)
	defer cancel()
	last := ""
	for {
		list, err := client.Drains(ctx)
		for _, one := range list {
			if one.Drain.ID() == s.Drain.ID() {
				s = one
			}
		}
		if err == nil && s.Done {
			return s, nil
		}
		if now := strings.Join(s.Details, ", "); now != last {
			last = now
			c.session.printProgress("%s: %d left: %s", s.Drain.ID(), s.Remaining, now)
		}
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
			return s, fold.Refuse(errNotReached, "look at what holds it; the drain goes on", "%s is not done after %s, held by: %s", s.Drain.ID(), c.Wait, last)
		}
	}
}

func (c *drainCommand) printDrains(list []fold.DrainStatus) error {
	return c.session.print(list, func(w io.Writer) {
		printRow(w, "drain", "since", "grace", "by", "done", "left", "held by")
		for _, s := range list {
			grace := time.Duration(s.Drain.Grace) * time.Millisecond
			printRow(w, s.Drain.ID(), formatTime(s.Drain.Began), grace, s.Drain.Who, s.Done, s.Remaining, orDash(strings.Join(s.Details, ", ")))
		}
	})
}
