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
	// keyPrefix is the first part of every key.
	keyPrefix = "pf"
	// secretBytes is the length of a random secret before it is encoded.
	secretBytes = 32
	// idBytes is the length of a random id before it is encoded.
	idBytes = 9
)

// Record is the stored form of a key.
type Record struct {
	Grant fold.KeyGrant `json:"grant"`
	// Hash is the HMAC-SHA256 of the secret with the cell key.
	Hash []byte `json:"hash"`
}

// Issue returns a new key for the grant and its record. Only the record is to be stored; the key cannot be restored from it.
func Issue(cellKey []byte, g fold.KeyGrant) (string, Record) {
	g.ID = randomText(idBytes)
	secret := randomText(secretBytes)
	return Format(g.ID, secret), Record{Grant: g, Hash: hashSecret(cellKey, secret)}
}

// Split returns the id and the secret of a key of the form pf.<id>.<secret>.
func Split(key string) (string, string, error) {
	parts := strings.Split(key, ".")
	if len(parts) != 3 || parts[0] != keyPrefix {
		return "", "", fold.Refuse(fold.Unauthorized, "send the key as it was issued", "malformed key, not of the form pf.<id>.<secret>")
	}
	return parts[1], parts[2], nil
}

// Verify reports whether the secret is the one of the record. It compares the hashes in constant time.
func (r Record) Verify(cellKey []byte, secret string) bool {
	return hmac.Equal(r.Hash, hashSecret(cellKey, secret))
}

// WithWithdrawn returns a copy of the record that is marked as withdrawn by who.
func (r Record) WithWithdrawn(who string) Record {
	r.Grant.Withdrawn = true
	r.Grant.Who = who
	return r
}

// hashSecret returns the HMAC-SHA256 of the secret with the cell key.
func hashSecret(cellKey []byte, secret string) []byte {
	mac := hmac.New(sha256.New, cellKey)
	_, _ = mac.Write([]byte(secret))
	return mac.Sum(nil)
}

// randomText returns n random bytes, encoded for use in a URL.
func randomText(n int) string {
	b := make([]byte, n)
	_, _ = rand.Read(b)
	return base64.RawURLEncoding.EncodeToString(b)
}

// RootID is the id of the operator key that is defined in the settings of an entry.
const RootID = "root"

// Root returns the record of the operator key pf.root.<secret>.
func Root(cellKey []byte, secret string) Record {
	return Record{Grant: fold.KeyGrant{ID: RootID, Operator: true}, Hash: hashSecret(cellKey, secret)}
}

// Format returns the key with the id and the secret.
func Format(id, secret string) string {
	return strings.Join([]string{keyPrefix, id, secret}, ".")
}
