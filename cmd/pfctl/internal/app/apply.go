package app

import (
	"context"
	"io"
	"os"
	"time"

	"github.com/jessevdk/go-flags"

	"plantainfold.example/fold"
	"plantainfold.example/fold/remote"
	"plantainfold.example/fold/spec"
)

// applyCommand implements "pfctl apply", which replaces the manifest.
type applyCommand struct {
	Revision int64         `long:"revision" default:"-1" description:"revision that the change is based on; without it, the present one"`
	Wait     time.Duration `long:"wait" default:"10s" description:"how long to wait until it is in force everywhere"`
	Args     struct {
		File flags.Filename `positional-arg-name:"FILE" description:"manifest, JSON with comments"`
	} `positional-args:"yes" required:"yes"`

	session *session
}

var _ flags.Commander = &applyCommand{}

// Execute checks the manifest, prints the changes, applies them and waits until the new revision is in force.
func (c *applyCommand) Execute([]string) error {
	ctx := context.Background()
	text, next, err := readManifest(string(c.Args.File))
	if err != nil {
		return err
	}
	client, err := c.session.client()
	if err != nil {
		return err
	}
	revision, changes, err := changesTo(ctx, client, next)
	if err != nil {
		return err
	}
	for _, change := range changes {
		c.session.printProgress("%s", change)
	}
	if c.Revision >= 0 {
		revision = c.Revision
	}
	applied, err := client.ApplyManifest(ctx, revision, text)
	if err != nil {
		return err
	}
	applied, err = awaitInForce(ctx, c.session, client, applied, c.Wait)
	if err != nil {
		return err
	}
	return printRevision(c.session, applied)
}

// readManifest returns the text of a file and the checked manifest in it.
func readManifest(path string) ([]byte, spec.Manifest, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, spec.Manifest{}, fold.Refuse(fold.Invalid, "name an existing file", "%v", err)
	}
	m, err := spec.Parse(path, text)
	return text, m, err
}

// changesTo returns the current revision and the changes from its manifest to next.
func changesTo(ctx context.Context, client *remote.Client, next spec.Manifest) (int64, []spec.Change, error) {
	revision, text, err := client.Manifest(ctx)
	if err != nil {
		return 0, nil, err
	}
	var old spec.Manifest
	if len(text) > 0 {
		if old, err = spec.Parse("manifest in force", text); err != nil {
			return 0, nil, err
		}
	}
	changes, err := spec.Diff(old, next)
	return revision, changes, err
}

// awaitInForce waits until revision r, or a later one, is in force at all registered entries. It returns an error of type
// errNotReached if that takes longer than wait.
func awaitInForce(ctx context.Context, s *session, client *remote.Client, r fold.Revision, wait time.Duration) (fold.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	for r.Missing != nil {
		s.printProgress("revision %d is in force at %d entries, not yet at %v", r.Revision, len(r.InForce), r.Missing)
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
			return r, fold.Refuse(errNotReached, "look at these entries with pfctl status", "revision %d is accepted, but not yet in force at %v", r.Revision, r.Missing)
		}
		if next, err := client.Spread(ctx); err == nil && next.Revision >= r.Revision {
			r = next
		}
	}
	return r, nil
}

func printRevision(s *session, r fold.Revision) error {
	return s.print(r, func(w io.Writer) {
		printRow(w, "revision", r.Revision)
		printRow(w, "in force at", r.InForce)
	})
}
