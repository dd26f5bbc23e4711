package keys

import (
	"maps"
	"slices"
	"strings"
	"time"

	"plantainfold.example/fold"
)

// Ring is an immutable set of key records at one revision of the configuration.
type Ring struct {
	cellKey []byte
	records map[string]Record
}

// NewRing returns a ring of the records.
func NewRing(cellKey []byte, records []Record) Ring {
	return Ring{cellKey: cellKey}.With(records)
}

// With returns the ring with the records added or replaced.
func (r Ring) With(records []Record) Ring {
	if len(records) == 0 {
		return r
	}
	byID := make(map[string]Record, len(r.records)+len(records))
	maps.Copy(byID, r.records)
	for _, record := range records {
		byID[record.Grant.ID] = record
	}
	return Ring{cellKey: r.cellKey, records: byID}
}

// Identify returns the caller of a key, or an Unauthorized error.
func (r Ring) Identify(key string, now time.Time) (fold.Caller, error) {
	id, secret, err := Split(key)
	if err != nil {
		return fold.Caller{}, err
	}
	record, known := r.records[id]
	if !record.Verify(r.cellKey, secret) || !known {
		return fold.Caller{}, fold.Refuse(fold.Unauthorized, "ask an operator for a key", "unknown key")
	}
	g := record.Grant
	if g.Withdrawn {
		return fold.Caller{}, fold.Refuse(fold.Unauthorized, "ask an operator for a new key", "key %s was withdrawn", id)
	}
	if g.Expiry != 0 && now.UnixMilli() >= g.Expiry {
		return fold.Caller{}, fold.Refuse(fold.Unauthorized, "ask an operator for a new key", "key %s has expired", id)
	}
	return fold.Caller{KeyID: id, Team: g.Team, Account: g.Account, Operator: g.Operator, Queues: g.Queues}, nil
}

// Grants lists the keys without their hashes, in order of id.
func (r Ring) Grants() []fold.KeyGrant {
	grants := make([]fold.KeyGrant, 0, len(r.records))
	for _, record := range r.records {
		grants = append(grants, record.Grant)
	}
	slices.SortFunc(grants, func(a, b fold.KeyGrant) int { return strings.Compare(a.ID, b.ID) })
	return grants
}
