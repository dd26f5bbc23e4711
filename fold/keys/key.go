package keys

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"strings"

	"plantainfold.example/fold"
)

const (
	prefix      = "pf"
	secretBytes = 32
	idBytes     = 9
)

// Record is a key as the table service holds it.
type Record struct {
	Grant fold.KeyGrant `json:"grant"`
	// Hash is the HMAC-SHA256 of the secret under the cell key.
	Hash []byte `json:"hash"`
}

// Issue returns a new key for the grant and the record to store; the key is not kept anywhere.
func Issue(cellKey []byte, g fold.KeyGrant) (string, Record) {
	g.ID = random(idBytes)
	secret := random(secretBytes)
	return Format(g.ID, secret), Record{Grant: g, Hash: hash(cellKey, secret)}
}

// Split returns the id and the secret of a key.
func Split(key string) (string, string, error) {
	parts := strings.Split(key, ".")
	if len(parts) != 3 || parts[0] != prefix {
		return "", "", fold.Refuse(fold.Unauthorized, "send the key as it was issued", "malformed key")
	}
	return parts[1], parts[2], nil
}

// Verify reports whether the secret belongs to the record, in constant time.
func (r Record) Verify(cellKey []byte, secret string) bool {
	return hmac.Equal(r.Hash, hash(cellKey, secret))
}

// WithWithdrawn returns the record as withdrawn by who.
func (r Record) WithWithdrawn(who string) Record {
	r.Grant.Withdrawn = true
	r.Grant.Who = who
	return r
}

func hash(cellKey []byte, secret string) []byte {
	mac := hmac.New(sha256.New, cellKey)
	_, _ = mac.Write([]byte(secret))
	return mac.Sum(nil)
}

func random(n int) string {
	b := make([]byte, n)
	_, _ = rand.Read(b)
	return base64.RawURLEncoding.EncodeToString(b)
}

// RootID is the id of the operator key that stands in the settings.
const RootID = "root"

// Root returns the record of the operator key pf.root.<secret>.
func Root(cellKey []byte, secret string) Record {
	return Record{Grant: fold.KeyGrant{ID: RootID, Operator: true}, Hash: hash(cellKey, secret)}
}

// Format returns the key with the id and secret.
func Format(id, secret string) string {
	return strings.Join([]string{prefix, id, secret}, ".")
}
