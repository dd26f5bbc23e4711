package app

import (
	"crypto/tls"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"plantainfold.example/fold"
	"plantainfold.example/fold/cert"
	"plantainfold.example/fold/remote"
)

const (
	callTime = 30 * time.Second
	pollTime = 200 * time.Millisecond
	// maxFile bounds files that name a key or a job.
	maxFile = 4096
)

// options are the flags of every command.
type options struct {
	Entry   string `long:"entry" env:"PLANTAINFOLD_ENTRY" default:"http://127.0.0.1:7001" description:"base URL of an entry or of the balancer"`
	Key     string `long:"key" env:"PLANTAINFOLD_KEY" description:"key of a team or operator; a file keeps it out of the list of processes"`
	Keyfile string `long:"keyfile" env:"PLANTAINFOLD_KEYFILE" description:"file that holds the key"`
	CA      string `long:"ca" env:"PLANTAINFOLD_CA" description:"PEM file with the authorities by which the entry's certificate is checked"`
	JSON    bool   `long:"json" description:"print JSON"`
	Dry     bool   `long:"dry-run" description:"print the requests that change state and do not send them"`
}

// session is what commands share.
type session struct {
	options  options
	out      io.Writer
	progress io.Writer
	dry      *dryRun
}

// client returns a client of the entry with the key of the options.
func (s *session) client() (*remote.Client, error) {
	key := s.options.Key
	if s.options.Keyfile != "" {
		text, err := readSmall(s.options.Keyfile)
		if err != nil {
			return nil, err
		}
		key = text
	}
	transport, err := s.transport()
	if err != nil {
		return nil, err
	}
	var sender remote.Sender = &http.Client{Timeout: callTime, Transport: transport}
	if s.options.Dry {
		s.dry = &dryRun{next: sender, out: s.out}
		sender = s.dry
	}
	return remote.New(s.options.Entry, key, remote.WithSender(sender)), nil
}

// transport returns what carries calls, with the authorities of the options.
func (s *session) transport() (http.RoundTripper, error) {
	if s.options.CA == "" {
		return http.DefaultTransport, nil
	}
	pool, err := cert.Authorities(s.options.CA)
	if err != nil {
		return nil, err
	}
	return &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}}, nil
}

// print writes v as JSON, or calls table.
func (s *session) print(v any, table func(w io.Writer)) error {
	if s.options.JSON {
		return json.NewEncoder(s.out).Encode(v)
	}
	w := tabwriter.NewWriter(s.out, 0, 0, 2, ' ', 0)
	table(w)
	return w.Flush()
}

// say reports progress, apart from the results.
func (s *session) say(format string, args ...any) {
	_, _ = fmt.Fprintf(s.progress, format+"\n", args...)
}

func line(w io.Writer, cells ...any) {
	texts := make([]string, len(cells))
	for i, c := range cells {
		texts[i] = fmt.Sprint(c)
	}
	_, _ = fmt.Fprintln(w, strings.Join(texts, "\t"))
}

// named returns the text of an argument, or the content of the file of @file.
func named(arg string) (string, error) {
	path, ok := strings.CutPrefix(arg, "@")
	if !ok {
		return arg, nil
	}
	return readSmall(path)
}

func readSmall(path string) (string, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return "", fold.Refuse(fold.Invalid, "name an existing file", "%v", err)
	}
	if len(text) > maxFile {
		return "", fold.Refuse(fold.TooLarge, "name a file that pfctl wrote", "%s has %d bytes", path, len(text))
	}
	return strings.TrimSpace(string(text)), nil
}

// stamp formats a time in milliseconds since the Unix epoch.
func stamp(ms int64) string {
	if ms == 0 {
		return "-"
	}
	return time.UnixMilli(ms).UTC().Format("2006-01-02T15:04:05Z")
}

func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}
