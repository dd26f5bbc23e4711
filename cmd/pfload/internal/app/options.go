package app

import (
	"fmt"
	"net"
	"net/url"
	"strconv"
	"strings"
	"time"
)

// Upper limits of one run.
const (
	// maxRate is in requests per second; it also limits the weight of an account.
	maxRate      = 100_000
	maxDuration  = 10 * time.Minute
	maxRequests  = 5_000_000
	maxInFlight  = 50_000
	maxBodyBytes = 1 << 20
	maxTimeout   = time.Minute
)

// options are the command-line flags.
type options struct {
	Entries    []string      `long:"entry" required:"true" description:"base URL of an entry on a loopback address; may be repeated"`
	Accounts   []string      `long:"account" required:"true" description:"NAME:WEIGHT:KEY of a client account; its share of the load is WEIGHT divided by the sum of all weights; may be repeated"`
	Queue      string        `long:"queue" default:"planning" description:"request queue"`
	Phases     []string      `long:"phase" required:"true" description:"RATE:DURATION, in requests per second; phases run one after another; may be repeated"`
	Timeout    time.Duration `long:"timeout" default:"1s" description:"deadline of each request"`
	Idempotent float64       `long:"idempotent" default:"0.5" description:"fraction of the requests that are idempotent, 0 to 1"`
	Urgent     float64       `long:"urgent" default:"0" description:"fraction of the requests that are urgent, 0 to 1"`
	BodyBytes  int           `long:"body" default:"256" description:"size of a request body in bytes"`
	InFlight   int           `long:"flying" default:"10000" description:"maximum number of requests in flight; further ones are counted as unsent"`
	Capacity   float64       `long:"capacity" default:"0" description:"requests per second that the endpoints can serve; goodput is reported as a fraction of it"`
	Seed       uint64        `long:"seed" default:"1" description:"seed of the arrival times and the mix of requests"`
	Workers    []string      `long:"worker" description:"URL of a stand-in worker whose served requests are compared with the responses; may be repeated"`
	JSON       bool          `long:"json" description:"print JSON"`
}

// account is one client account; its weight sets its share of the load.
type account struct {
	name   string
	weight float64
	key    string
}

// phase is a period with a constant rate, in requests per second.
type phase struct {
	rate     float64
	duration time.Duration
}

// plan is a validated set of options.
type plan struct {
	options
	accounts []account
	phases   []phase
}

// plan validates the options. Only targets on a loopback address are accepted.
func (o options) plan() (plan, error) {
	p := plan{options: o}
	for _, target := range append(append([]string{}, o.Entries...), o.Workers...) {
		if err := checkTarget(target); err != nil {
			return p, err
		}
	}
	for _, text := range o.Accounts {
		a, err := parseAccount(text)
		if err != nil {
			return p, err
		}
		p.accounts = append(p.accounts, a)
	}
	for _, text := range o.Phases {
		ph, err := parsePhase(text)
		if err != nil {
			return p, err
		}
		p.phases = append(p.phases, ph)
	}
	return p, p.checkBounds()
}

func (p plan) checkBounds() error {
	var requests float64
	var total time.Duration
	for _, ph := range p.phases {
		requests += ph.rate * ph.duration.Seconds()
		total += ph.duration
	}
	for _, c := range []struct {
		ok       bool
		expected string
	}{
		{requests <= maxRequests, fmt.Sprintf("at most %d requests in all phases", maxRequests)},
		{total <= maxDuration, fmt.Sprintf("at most %s in all phases", maxDuration)},
		{p.Timeout > 0 && p.Timeout <= maxTimeout, fmt.Sprintf("--timeout of more than 0 and at most %s", maxTimeout)},
		{p.Idempotent >= 0 && p.Idempotent <= 1, "--idempotent from 0 to 1"},
		{p.Urgent >= 0 && p.Urgent <= 1, "--urgent from 0 to 1"},
		{p.BodyBytes >= 0 && p.BodyBytes <= maxBodyBytes, fmt.Sprintf("--body from 0 to %d", maxBodyBytes)},
		{p.InFlight > 0 && p.InFlight <= maxInFlight, fmt.Sprintf("--flying from 1 to %d", maxInFlight)},
		{p.Capacity >= 0, "--capacity of at least 0"},
	} {
		if !c.ok {
			return fmt.Errorf("out of bounds: give %s", c.expected)
		}
	}
	return nil
}

// checkTarget accepts only URLs with a loopback IP address. Host names are refused because their resolution can change.
func checkTarget(text string) error {
	u, err := url.Parse(text)
	if err != nil || u.Scheme != "http" || u.Host == "" {
		return fmt.Errorf("target %q: give a URL such as http://127.0.0.1:7001", text)
	}
	if ip := net.ParseIP(u.Hostname()); ip == nil || !ip.IsLoopback() {
		return fmt.Errorf("target %q is refused: give a loopback IP number such as 127.0.0.1", text)
	}
	return nil
}

func parseAccount(text string) (account, error) {
	parts := strings.SplitN(text, ":", 3)
	if len(parts) != 3 {
		return account{}, fmt.Errorf("account %q: give NAME:WEIGHT:KEY", text)
	}
	weight, err := strconv.ParseFloat(parts[1], 64)
	if err != nil || weight <= 0 || weight > maxRate {
		return account{}, fmt.Errorf("account %s: give a positive weight", parts[0])
	}
	return account{name: parts[0], weight: weight, key: parts[2]}, nil
}

func parsePhase(text string) (phase, error) {
	rate, duration, _ := strings.Cut(text, ":")
	perSecond, err := strconv.ParseFloat(rate, 64)
	if err != nil || perSecond <= 0 || perSecond > maxRate {
		return phase{}, fmt.Errorf("phase %q: give RATE:DURATION with a rate from above 0 to %d", text, maxRate)
	}
	d, err := time.ParseDuration(duration)
	if err != nil || d <= 0 {
		return phase{}, fmt.Errorf("phase %q: give RATE:DURATION with a duration such as 10s", text)
	}
	return phase{rate: perSecond, duration: d}, nil
}
