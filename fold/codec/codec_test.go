package codec_test

import (
	"bytes"
	"testing"

	"plantainfold.example/fold/codec"
)

// Guards against a message from a peer that makes the decoder panic or use much memory, or that decodes to a value which
// does not encode again.
func FuzzDecode(f *testing.F) {
	for _, seed := range []string{"", "\x01", "\x02\xa0", "\x03\xa0", "\x01\xa1aa\x01", "\x01\x9b\xff\xff\xff\xff\xff\xff\xff\xff", "\x01\xbf\x61a"} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		v, err := codec.Decode[map[string]any](b)
		if err != nil {
			return
		}
		first, err := codec.Encode(v)
		if err != nil {
			t.Fatalf("cannot write %v: %v", v, err)
		}
		w, err := codec.Decode[map[string]any](first)
		if err != nil {
			t.Fatalf("cannot read %x: %v", first, err)
		}
		if second, err := codec.Encode(w); err != nil || !bytes.Equal(first, second) {
			t.Errorf("%x became %x: %v", first, second, err)
		}
	})
}
