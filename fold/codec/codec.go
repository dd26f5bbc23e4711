package codec

import (
	"github.com/fxamacker/cbor/v2"

	"plantainfold.example/fold"
)

// Version is the format version that this build writes.
const Version byte = 1

// NewestReadable is the newest format version that this build reads; unknown fields of it are ignored.
const NewestReadable byte = 2

// MaxElements bounds arrays and maps of a decoded record.
const MaxElements = 1 << 20

var encMode, decMode = modes()

func modes() (cbor.EncMode, cbor.DecMode) {
	enc, err := cbor.CanonicalEncOptions().EncMode()
	if err != nil {
		panic("codec: encoder options: " + err.Error())
	}
	opts := cbor.DecOptions{
		MaxArrayElements: MaxElements,
		MaxMapPairs:      MaxElements,
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
	}
	dec, err := opts.DecMode()
	if err != nil {
		panic("codec: decoder options: " + err.Error())
	}
	return enc, dec
}

// Encode returns v as a record of the current version.
func Encode[T any](v T) ([]byte, error) {
	body, err := encMode.Marshal(v)
	if err != nil {
		return nil, fold.Invalid.Wrap(err, "encode record")
	}
	return append([]byte{Version}, body...), nil
}

// Decode reads a record of the current or the next version.
func Decode[T any](b []byte) (T, error) {
	var v T
	if len(b) == 0 {
		return v, fold.Refuse(fold.Invalid, "restore the row from its writer", "record is empty")
	}
	if b[0] < Version || b[0] > NewestReadable {
		return v, fold.Refuse(fold.Invalid, "run a release that reads this version", "record has version %d", b[0])
	}
	if err := decMode.Unmarshal(b[1:], &v); err != nil {
		return v, fold.Invalid.Wrap(err, "decode record")
	}
	return v, nil
}
