package keys

import (
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
	byID := make(map[string]Record, len(records))
	for _, r := range records {
		byID[r.Grant.ID] = r
	}
	return Ring{cellKey: cellKey, records: byID}
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

// Grants lists the keys without their hashes.
func (r Ring) Grants() []fold.KeyGrant {
	grants := make([]fold.KeyGrant, 0, len(r.records))
	for _, record := range r.records {
		grants = append(grants, record.Grant)
	}
	return grants
}
