package owner

import "plantainfold.example/fold/spread"

// Keys of rows.
const (
	// EntryPrefix begins the keys of entry rows.
	EntryPrefix = "entry/"
	// ViewKey is the key of the view row.
	ViewKey = "view"
)

// State is the state of an entry in its row.
type State string

// States of entry rows.
const (
	StateLive    State = "live"
	StateLeaving State = "leaving"
	StateLeft    State = "left"
	StateFenced  State = "fenced"
)

// Entry is the row entry/<id>, renewed by the entry itself.
type Entry struct {
	ID          string `json:"id"`
	Incarnation string `json:"incarnation"`
	Address     string `json:"address"`
	Region      string `json:"region"`
	Domain      string `json:"domain"`
	State       State  `json:"state"`
	// Beat counts renewals, so that each renewal changes the row.
	Beat int64 `json:"beat"`
}

// WithBeat returns the row of the next renewal.
func (e Entry) WithBeat() Entry {
	e.Beat++
	return e
}

// WithState returns the row in another state.
func (e Entry) WithState(s State) Entry {
	e.State = s
	return e
}

// Counts reports whether the entry counts as registered by its row alone.
func (e Entry) Counts() bool {
	return e.State == StateLive || e.State == StateLeaving
}

// Unit is the row of a pool or a claim range; its epoch is the version of the row.
type Unit struct {
	Owner       string `json:"owner"`
	Incarnation string `json:"incarnation"`
	// First says that the unit had no owner before, so that nothing of it is unknown to this one.
	First bool `json:"first,omitempty"`
	// Handed is the epoch of the owner that handed the unit over, or 0 after a takeover.
	Handed int64 `json:"handed,omitempty"`
}

// Spec describes a unit that must have an owner; ID is its table key.
type Spec struct {
	ID     string
	Region string
	Domain string
}

// Seen is a decoded row with the version it had.
type Seen[T any] struct {
	Key     string
	Version int64
	Value   T
}

// Beat is the heartbeat between entries.
type Beat struct {
	ID          string `json:"id"`
	Incarnation string `json:"incarnation"`
	// Contact is the age in milliseconds of the newest renewal the sender knows of, its own or relayed; -1 if none.
	Contact int64 `json:"contact"`
	// Proof is the version that the newest renewal wrote, by which relayed news of one renewal are told from a new one.
	Proof int64 `json:"proof"`
	// Revision is the configuration in force at the sender.
	Revision int64 `json:"revision"`
	// Known is the highest configuration that the sender has heard of.
	Known int64 `json:"known"`
	// Confirmed is the age in milliseconds of the sender's last read of the configuration head; -1 if none.
	Confirmed int64 `json:"confirmed"`
	// View is the highest view number that the sender has heard of.
	View int64 `json:"view"`
	// Votes says that the sender has read view and configuration since it joined or was paused.
	Votes bool `json:"votes,omitempty"`
	// Eligible says that the sender may take units.
	Eligible bool `json:"eligible,omitempty"`
	// Pools are the pools that the sender owns.
	Pools []spread.Room `json:"pools,omitempty"`
	// Short are teams that lack allotment at the sender.
	Short []string `json:"short,omitempty"`
}
