package app

import (
	"context"
	"io"
	"os"
	"time"

	"github.com/jessevdk/go-flags"

	"plantainfold.example/fold"
)

// grantCommand implements "pfctl keys grant", which issues a key.
type grantCommand struct {
	Team     string        `long:"team" description:"team of the manifest"`
	Account  string        `long:"account" description:"client account of the manifest"`
	Queues   []string      `long:"queue" description:"queue that the key covers; repeat it for more, leave it out for all of the team"`
	Operator bool          `long:"operator" description:"the key may change the configuration"`
	Expires  time.Duration `long:"expires" description:"time after which the key ends"`
	Out      string        `long:"out" description:"file for the key, readable by its owner only, instead of the terminal"`

	session *session
}

var _ flags.Commander = &grantCommand{}

// Execute issues the key and prints it, or writes it to a file. The key cannot be shown again.
func (c *grantCommand) Execute([]string) error {
	client, err := c.session.client()
	if err != nil {
		return err
	}
	g := fold.KeyGrant{Team: c.Team, Account: c.Account, Queues: c.Queues, Operator: c.Operator}
	if c.Expires > 0 {
		g.Expiry = time.Now().Add(c.Expires).UnixMilli()
	}
	issued, err := client.IssueKey(context.Background(), g)
	if err != nil {
		return err
	}
	if c.Out != "" {
		if err := os.WriteFile(c.Out, []byte(issued.Key+"\n"), 0o600); err != nil {
			return fold.Unknown.Wrap(err, "key %s is granted, but cannot be written; withdraw it", issued.Grant.ID)
		}
		issued.Key = "in " + c.Out
	}
	return c.session.print(issued, func(w io.Writer) {
		printRow(w, "id", issued.Grant.ID)
		printRow(w, "key", issued.Key)
	})
}
