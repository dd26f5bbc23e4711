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

// NewRing returns a ring of the records; cellKey is the key of their hashes.
func NewRing(cellKey []byte, records []Record) Ring {
	return Ring{cellKey: cellKey}.With(records)
}

// With returns a copy of the ring in which the records are added, or replaced if their ids are known.
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

// Identify returns the caller that a key belongs to. It returns an Unauthorized error if the key is malformed, unknown,
// withdrawn or expired.
func (r Ring) Identify(key string, now time.Time) (fold.Caller, error) {
	id, secret, err := Split(key)
	if err != nil {
		return fold.Caller{}, err
	}
	record, known := r.records[id]
	if !record.Verify(r.cellKey, secret) || !known {
		return fold.Caller{}, fold.Refuse(fold.Unauthorized, "ask an operator for a key", "unknown key")
	}
	grant := record.Grant
	if grant.Withdrawn {
		return fold.Caller{}, fold.Refuse(fold.Unauthorized, "ask an operator for a new key", "key %s was withdrawn", id)
	}
	if grant.Expiry != 0 && now.UnixMilli() >= grant.Expiry {
		return fold.Caller{}, fold.Refuse(fold.Unauthorized, "ask an operator for a new key", "key %s has expired", id)
	}
	return fold.Caller{KeyID: id, Team: grant.Team, Account: grant.Account, Operator: grant.Operator, Queues: grant.Queues}, nil
}

// Grants returns the grants of all keys without their hashes, sorted by id.
func (r Ring) Grants() []fold.KeyGrant {
	grants := make([]fold.KeyGrant, 0, len(r.records))
	for _, record := range r.records {
		grants = append(grants, record.Grant)
	}
	slices.SortFunc(grants, func(a, b fold.KeyGrant) int { return strings.Compare(a.ID, b.ID) })
	return grants
}
