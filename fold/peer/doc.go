// Package peer sends calls between entries, encoded as CBOR, over mutually authenticated WebSocket connections.
package peer
