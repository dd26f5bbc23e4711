package fold

import "github.com/joomcode/errorx"

// WireError is an error as it travels between entries.
type WireError struct {
	Kind   string `json:"kind"`
	Detail string `json:"detail"`
	Remedy string `json:"remedy,omitempty"`
}

var kinds = []*errorx.Type{
	Invalid, Unauthorized, Forbidden, NotFound, Gone, Conflict, Outdated, TooLarge, NeverFits,
	Overload, OverLimit, Unavailable, Fenced, Unknown,
	HostFenced, RunStale, OrderLate, HostFull, HostUnhealthy, HostRestarted, BadTicket,
}

// ToWire returns err in the form that travels; an error without a kind becomes Unknown.
func ToWire(err error) *WireError {
	e := errorx.Cast(err)
	if e == nil {
		return &WireError{Kind: Unknown.FullName(), Detail: err.Error()}
	}
	return &WireError{Kind: e.Type().FullName(), Detail: e.Message(), Remedy: Remedy(err)}
}

// Err returns the error that w describes.
func (w *WireError) Err() error {
	if w == nil {
		return nil
	}
	for _, kind := range kinds {
		if kind.FullName() == w.Kind {
			return Refuse(kind, w.Remedy, "%s", w.Detail)
		}
	}
	return Refuse(Unknown, w.Remedy, "%s", w.Detail)
}
