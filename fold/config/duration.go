package config

import (
	"encoding/json"
	"time"

	"plantainfold.example/fold"
)

// Duration is a time span that is encoded as a string with a unit, such as "500ms".
type Duration time.Duration

// UnmarshalJSON decodes a string with a unit.
func (d *Duration) UnmarshalJSON(b []byte) error {
	var s string
	if err := json.Unmarshal(b, &s); err != nil {
		return fold.Refuse(fold.Invalid, `write a string with a unit, such as "500ms"`, "duration %s is not a string", b)
	}
	v, err := time.ParseDuration(s)
	if err != nil {
		return fold.Refuse(fold.Invalid, `use ns, us, ms, s, m or h, such as "500ms"`, "duration %q is invalid", s)
	}
	*d = Duration(v)
	return nil
}

// MarshalJSON encodes the span as a string with a unit.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// Std returns d as a time.Duration.
func (d Duration) Std() time.Duration {
	return time.Duration(d)
}
