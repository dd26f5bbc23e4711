package peer

import (
	"github.com/fxamacker/cbor/v2"

	"plantainfold.example/fold"
)

// Protocol is the WebSocket subprotocol. It contains the version of the wire format.
const Protocol = "plantainfold.1"

// MaxFrame is the maximum size of a frame in bytes.
const MaxFrame = 4 << 20

// frame is one message. It is a call if Kind is set, otherwise the answer to the call with the same ID.
type frame struct {
	ID    uint64          `json:"id"`
	Kind  string          `json:"kind,omitempty"`
	Trace string          `json:"trace,omitempty"`
	Body  cbor.RawMessage `json:"body,omitempty"`
	Error *fold.WireError `json:"error,omitempty"`
}

// hello is a handshake message.
type hello struct {
	Name        string `json:"name"`
	Incarnation string `json:"incarnation"`
	Nonce       []byte `json:"nonce"`
	MAC         []byte `json:"mac,omitempty"`
}
