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
	// callTimeout bounds the duration of a call to an entry.
	callTimeout = 30 * time.Second
	// pollInterval is the interval at which waiting commands read the state again.
	pollInterval = 200 * time.Millisecond
	// maxFileSize bounds the size of a file with a key or the name of a job, in bytes.
	maxFileSize = 4096
)

// options are the flags that all commands have.
type options struct {
	Entry   string `long:"entry" env:"PLANTAINFOLD_ENTRY" default:"http://127.0.0.1:7001" description:"base URL of an entry or of the balancer"`
	Key     string `long:"key" env:"PLANTAINFOLD_KEY" description:"key of a team or operator; a file keeps it out of the list of processes"`
	Keyfile string `long:"keyfile" env:"PLANTAINFOLD_KEYFILE" description:"file that holds the key"`
	CA      string `long:"ca" env:"PLANTAINFOLD_CA" description:"PEM file with the authorities by which the entry's certificate is checked"`
	JSON    bool   `long:"json" description:"print JSON"`
	Dry     bool   `long:"dry-run" description:"print the requests that change state and do not send them"`
}

// session holds the flags and the outputs that all commands share.
type session struct {
	options options
	// out receives the results.
	out io.Writer
	// progress receives the messages of waiting commands, so that they do not mix with the results.
	progress io.Writer
	// dry is nil unless the flag dry-run is set.
	dry *dryRun
}

// client returns a client of the entry that the options name, with the key of the options or of their key file.
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
	var sender remote.Sender = &http.Client{Timeout: callTimeout, Transport: transport}
	if s.options.Dry {
		s.dry = &dryRun{next: sender, out: s.out}
		sender = s.dry
	}
	return remote.New(s.options.Entry, key, remote.WithSender(sender)), nil
}

// transport returns the transport of the client. It verifies the entry by the certificate authorities of the options.
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

// print writes v as JSON if the options ask for it, and otherwise calls table with a writer that aligns columns.
func (s *session) print(v any, table func(w io.Writer)) error {
	if s.options.JSON {
		return json.NewEncoder(s.out).Encode(v)
	}
	w := tabwriter.NewWriter(s.out, 0, 0, 2, ' ', 0)
	table(w)
	return w.Flush()
}

// printProgress writes a line to progress.
func (s *session) printProgress(format string, args ...any) {
	_, _ = fmt.Fprintf(s.progress, format+"\n", args...)
}

// printRow writes one row; tabs separate the cells.
func printRow(w io.Writer, cells ...any) {
	texts := make([]string, len(cells))
	for i, c := range cells {
		texts[i] = fmt.Sprint(c)
	}
	_, _ = fmt.Fprintln(w, strings.Join(texts, "\t"))
}

// readArg returns an argument, or the content of FILE for an argument @FILE.
func readArg(arg string) (string, error) {
	path, ok := strings.CutPrefix(arg, "@")
	if !ok {
		return arg, nil
	}
	return readSmall(path)
}

// readSmall returns the trimmed content of a file of at most maxFileSize bytes.
func readSmall(path string) (string, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return "", fold.Refuse(fold.Invalid, "name an existing file", "%v", err)
	}
	if len(text) > maxFileSize {
		return "", fold.Refuse(fold.TooLarge, "name a file that pfctl wrote", "%s has %d bytes", path, len(text))
	}
	return strings.TrimSpace(string(text)), nil
}

// formatTime formats a time in milliseconds since the Unix epoch, or returns a dash for 0.
func formatTime(ms int64) string {
	if ms == 0 {
		return "-"
	}
	return time.UnixMilli(ms).UTC().Format("2006-01-02T15:04:05Z")
}

// orDash returns s, or a dash if s is empty.
func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}
