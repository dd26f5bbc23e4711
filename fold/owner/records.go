package owner

import "plantainfold.example/fold/spread"

// Keys of table rows.
const (
	// EntryPrefix is the prefix of the keys of entry rows.
	EntryPrefix = "entry/"
	// ViewKey is the key of the view row.
	ViewKey = "view"
)

// State is the state of an entry, as stored in its row.
type State string

// States of entry rows.
const (
	StateLive    State = "live"
	StateLeaving State = "leaving"
	StateLeft    State = "left"
	StateFenced  State = "fenced"
)

// Entry is the row entry/<id>, which the entry renews itself.
type Entry struct {
	ID          string `json:"id"`
	Incarnation string `json:"incarnation"`
	Address     string `json:"address"`
	Region      string `json:"region"`
	Domain      string `json:"domain"`
	State       State  `json:"state"`
	// Beat counts renewals, so that each renewal changes the row and its version.
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

// Registered reports whether the state of the row is that of a registered entry.
func (e Entry) Registered() bool {
	return e.State == StateLive || e.State == StateLeaving
}

// Unit is the row of a pool or a claim range; its epoch is the version of the row.
type Unit struct {
	Owner       string `json:"owner"`
	Incarnation string `json:"incarnation"`
	// First is set if the unit had no owner before, so that there is no earlier state that this owner lacks.
	First bool `json:"first,omitempty"`
	// HandedOverAt is the epoch of the previous owner if it handed the unit over, or 0 after a takeover.
	HandedOverAt int64 `json:"handed,omitempty"`
}

// Spec describes a unit that must have an owner. ID is its table key.
type Spec struct {
	ID     string
	Region string
	Domain string
}

// Versioned is a decoded row with the version it had.
type Versioned[T any] struct {
	Key     string
	Version int64
	Value   T
}

// Beat is the heartbeat between entries.
type Beat struct {
	ID          string `json:"id"`
	Incarnation string `json:"incarnation"`
	// Contact is the age in milliseconds of the newest renewal that the sender made or learned of, or -1 if there is none.
	Contact int64 `json:"contact"`
	// ContactVersion is the version that the newest renewal wrote. By it a receiver recognises a relayed renewal that it
	// knows.
	ContactVersion int64 `json:"proof"`
	// Revision is the configuration revision that the sender has applied.
	Revision int64 `json:"revision"`
	// KnownRevision is the highest configuration revision that the sender has seen.
	KnownRevision int64 `json:"known"`
	// Confirmed is the age in milliseconds of the sender's last read of the configuration head, or -1 if there is none.
	Confirmed int64 `json:"confirmed"`
	// View is the highest view number that the sender has seen.
	View int64 `json:"view"`
	// CanVote is set if the sender has renewed its row and read view and configuration since it joined or was paused.
	CanVote bool `json:"votes,omitempty"`
	// Eligible is set if the sender is permitted to become the owner of units.
	Eligible bool `json:"eligible,omitempty"`
	// Pools are the pools that the sender owns.
	Pools []spread.PoolCapacity `json:"pools,omitempty"`
	// ShortTeams lists the teams whose allotment at the sender is too small.
	ShortTeams []string `json:"short,omitempty"`
}
