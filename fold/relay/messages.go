package relay

import (
	"slices"
	"time"

	"plantainfold.example/fold"
)

// Contact describes a host to supervise.
type Contact struct {
	_       struct{} `cbor:",toarray"`
	ID      string
	Address string
	// Incarnation is the incarnation of the host that the owner knows.
	Incarnation int64
	// Acked is the highest number of a run end of this incarnation that is durably recorded.
	Acked int64
	// MaxWait is how long the host may wait for a run to end before it reports.
	MaxWait time.Duration
}

// host returns an incarnation of the host with the fields that calls need.
func (c Contact) host(incarnation int64) fold.Host {
	return fold.Host{ID: c.ID, Address: c.Address, Incarnation: incarnation}
}

// Ack acknowledges that run ends of a host are durably recorded, up to a number.
type Ack struct {
	_           struct{} `cbor:",toarray"`
	Host        string
	Incarnation int64
	Number      int64
}

// Wait changes how long a host may wait for a run to end before it reports.
type Wait struct {
	_       struct{} `cbor:",toarray"`
	Host    string
	MaxWait time.Duration
}

// Start is an order to start a run. Number identifies the order in the Result with its outcome.
type Start struct {
	_      struct{} `cbor:",toarray"`
	Number uint64
	Host   string
	Task   string
	Run    int
	Saved  string
	Ticket string
	// Job is the id of the job.
	Job string
	// Spec is the job's specification, or "" if an earlier order of the same session contained it.
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

// Pace is an order to limit the speed of a run to a percentage.
type Pace struct {
	_       struct{} `cbor:",toarray"`
	Number  uint64
	Host    string
	Task    string
	Run     int
	Percent int
}

// Orders is a set of orders of the owner to a relay.
type Orders struct {
	// Contacts are hosts to supervise from now on, or supervised hosts that have changed.
	Contacts []Contact `json:"contacts,omitempty"`
	// Releases are the ids of hosts to release. They are released before Contacts are added.
	Releases []string `json:"drops,omitempty"`
	Acks     []Ack    `json:"acks,omitempty"`
	Waits    []Wait   `json:"waits,omitempty"`
	Starts   []Start  `json:"starts,omitempty"`
	Stops    []Stop   `json:"stops,omitempty"`
	Paces    []Pace   `json:"paces,omitempty"`
	// Incarnations holds, by the numbers of starts, stops and paces, the incarnations of the hosts that they are meant for. An owner of
	// an earlier build sends none; its orders are for the incarnation in the contact.
	Incarnations map[uint64]int64 `json:"born,omitempty"`
	// Forget holds the ids of jobs whose specifications are no longer needed.
	Forget []string `json:"forget,omitempty"`
}

// Add appends later orders. If a host is both added and released, the later order applies.
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
	for number, incarnation := range more.Incarnations {
		o.AddIncarnation(number, incarnation)
	}
	o.Forget = append(o.Forget, more.Forget...)
}

// AddIncarnation records the incarnation of the host that an order is meant for.
func (o *Orders) AddIncarnation(number uint64, incarnation int64) {
	if o.Incarnations == nil {
		o.Incarnations = make(map[uint64]int64)
	}
	o.Incarnations[number] = incarnation
}

// Empty reports whether there are no orders.
func (o *Orders) Empty() bool {
	return len(o.Contacts)+len(o.Releases)+len(o.Acks)+len(o.Waits)+len(o.Starts)+len(o.Stops)+len(o.Paces)+len(o.Forget) == 0
}

// Result is the outcome of an order. Failed is nil if the host has carried out the order.
type Result struct {
	_      struct{} `cbor:",toarray"`
	Number uint64
	Failed *fold.WireError
}

// Report is a host's answer to a Hold call.
type Report struct {
	_    struct{} `cbor:",toarray"`
	Host string
	// Sent is a reading of the owner's clock from before the Hold call was sent.
	Sent  fold.Instant
	Reply fold.HoldReply
	// LeaseLeft is how long leases on the host may last unless they are renewed.
	LeaseLeft time.Duration
}

// Silence reports that a host does not answer. Its leases are not renewed until it answers again.
type Silence struct {
	_           struct{} `cbor:",toarray"`
	Host        string
	Incarnation int64
	LeaseLeft   time.Duration
}

// Events holds what happened at a relay since its events were last collected.
type Events struct {
	Results  []Result  `json:"results,omitempty"`
	Reports  []Report  `json:"reports,omitempty"`
	Silences []Silence `json:"silences,omitempty"`
	// Fenced is true if a host refused a call because it has accepted a newer owner.
	Fenced bool `json:"fenced,omitempty"`
}

// Empty reports whether there are no events.
func (n *Events) Empty() bool {
	return len(n.Results)+len(n.Reports)+len(n.Silences) == 0 && !n.Fenced
}
