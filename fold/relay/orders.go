package relay

import (
	"slices"
	"time"

	"plantainfold.example/fold"
)

// Contact is a host to look after.
type Contact struct {
	_       struct{} `cbor:",toarray"`
	ID      string
	Address string
	// Incarnation is the life of the host that the owner knows.
	Incarnation int64
	// Acked is the highest number of an end of this life that is recorded durably.
	Acked int64
	// MaxWait is how long the host may wait for an end before it reports.
	MaxWait time.Duration
}

// Host returns the host as far as calls need it.
func (c Contact) Host() fold.Host {
	return fold.Host{ID: c.ID, Address: c.Address, Incarnation: c.Incarnation}
}

// Ack says that ends of a host are recorded durably, up to a number.
type Ack struct {
	_           struct{} `cbor:",toarray"`
	Host        string
	Incarnation int64
	Number      int64
}

// Wait changes how long a host may wait for an end before it reports.
type Wait struct {
	_       struct{} `cbor:",toarray"`
	Host    string
	MaxWait time.Duration
}

// Start is an order to start a run. Number identifies the order in the news of its outcome.
type Start struct {
	_      struct{} `cbor:",toarray"`
	Number uint64
	Host   string
	Task   string
	Run    int
	Saved  string
	Ticket string
	// Job is the id of the job; Spec is its text, or "" when an earlier order of the same session carried it.
	Job  string
	Spec string
}

// Stop is an order to stop a run.
type Stop struct {
	_      struct{} `cbor:",toarray"`
	Number uint64
	Host   string
	Task   string
	Run    int
}

// Pace is an order to let a run work at a share of its speed, in percent.
type Pace struct {
	_       struct{} `cbor:",toarray"`
	Number  uint64
	Host    string
	Task    string
	Run     int
	Percent int
}

// Orders is what the owner wants of a relay.
type Orders struct {
	// Contacts are hosts to look after from now on, or known ones that have changed; Drops are those to leave alone. Drops
	// are carried out first.
	Contacts []Contact `json:"contacts,omitempty"`
	Releases []string  `json:"drops,omitempty"`
	Acks     []Ack     `json:"acks,omitempty"`
	Waits    []Wait    `json:"waits,omitempty"`
	Starts   []Start   `json:"starts,omitempty"`
	Stops    []Stop    `json:"stops,omitempty"`
	Paces    []Pace    `json:"paces,omitempty"`
	// Forget names jobs whose texts are not needed any more.
	Forget []string `json:"forget,omitempty"`
}

// Add appends later orders. Of orders to look after a host and to leave it alone the later one counts.
func (o *Orders) Add(more Orders) {
	for _, id := range more.Releases {
		o.Contacts = slices.DeleteFunc(o.Contacts, func(c Contact) bool { return c.ID == id })
	}
	for _, c := range more.Contacts {
		o.Contacts = slices.DeleteFunc(o.Contacts, func(old Contact) bool { return old.ID == c.ID })
	}
	o.Releases = append(o.Releases, more.Releases...)
	o.Contacts = append(o.Contacts, more.Contacts...)
	o.Acks = append(o.Acks, more.Acks...)
	o.Waits = append(o.Waits, more.Waits...)
	o.Starts = append(o.Starts, more.Starts...)
	o.Stops = append(o.Stops, more.Stops...)
	o.Paces = append(o.Paces, more.Paces...)
	o.Forget = append(o.Forget, more.Forget...)
}

// Empty reports whether nothing is wanted.
func (o *Orders) Empty() bool {
	return len(o.Contacts)+len(o.Releases)+len(o.Acks)+len(o.Waits)+len(o.Starts)+len(o.Stops)+len(o.Paces)+len(o.Forget) == 0
}

// Result is the outcome of an order; Failed is nil when the host has carried it out.
type Result struct {
	_      struct{} `cbor:",toarray"`
	Number uint64
	Failed *fold.WireError
}

// Report is a host's answer to a look.
type Report struct {
	_    struct{} `cbor:",toarray"`
	Host string
	// Sent is an instant of the owner's clock that had passed when the look was sent.
	Sent  fold.Instant
	Reply fold.HoldReply
	// LeaseLeft is how long leases on the host may last, unless they are renewed.
	LeaseLeft time.Duration
}

// Silence says that a host does not answer; its leases are not renewed meanwhile.
type Silence struct {
	_           struct{} `cbor:",toarray"`
	Host        string
	Incarnation int64
	LeaseLeft   time.Duration
}

// Events is what a relay has learned since the last news.
type Events struct {
	Results  []Result  `json:"results,omitempty"`
	Reports  []Report  `json:"reports,omitempty"`
	Silences []Silence `json:"silences,omitempty"`
	// Fenced says that a host obeys a newer owner.
	Fenced bool `json:"fenced,omitempty"`
}

// Empty reports whether nothing has happened.
func (n *Events) Empty() bool {
	return len(n.Results)+len(n.Reports)+len(n.Silences) == 0 && !n.Fenced
}
