package peer

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"

	"plantainfold.example/fold"
)

const nonceBytes = 32

// Sides of a connection. A MAC covers the side that made it, so that a proof of the server cannot be replayed as the
// client's.
const (
	sideClient = "client"
	sideServer = "server"
)

func newNonce() []byte {
	nonce := make([]byte, nonceBytes)
	_, _ = rand.Read(nonce)
	return nonce
}

// proof returns the MAC over the protocol, the side, its hello and both nonces. It proves that the side knows the cell key.
func proof(cellKey []byte, side string, h hello, clientNonce, serverNonce []byte) []byte {
	mac := hmac.New(sha256.New, cellKey)
	for _, part := range [][]byte{[]byte(Protocol), []byte(side), []byte(h.Name), []byte(h.Incarnation), clientNonce, serverNonce} {
		_, _ = mac.Write([]byte{byte(len(part))})
		_, _ = mac.Write(part)
	}
	return mac.Sum(nil)
}

func checkProof(cellKey []byte, side string, h hello, clientNonce, serverNonce []byte) error {
	if hmac.Equal(h.MAC, proof(cellKey, side, h, clientNonce, serverNonce)) {
		return nil
	}
	return fold.Refuse(fold.Unauthorized, "set the same cellkey on all entries", "peer %q uses another cell key", h.Name)
}
