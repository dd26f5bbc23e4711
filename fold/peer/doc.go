// Package peer carries calls between entries as CBOR over WebSocket connections that both sides authenticate.
package peer
