package spec_test

import (
	"encoding/json"
	"reflect"
	"testing"

	"plantainfold.example/fold"
	"plantainfold.example/fold/spec"
)

// Guards against a text on which Parse panics, an error without a remedy, and a manifest that changes when it is
// encoded and parsed again.
func FuzzParse(f *testing.F) {
	for _, seed := range []string{
		`{"teams": [{"name": "crews", "share": 1, "limit": {"cpu": 1, "memory": 1}}], "queues": [{"name": "q", "teams": ["crews"]}]}`,
		`{"teams": [{"name": "crews", "share": -1}], "queues": [{"name": "q", "teams": ["none"], "open": true}]}`,
		`{"pool": {"racks": 2}}`, `{"queues": null, /* c */}`, `{}`, `[]`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		m, err := spec.Parse("manifest", text)
		if err != nil {
			if fold.Remedy(err) == "" {
				t.Errorf("error without a remedy: %v", err)
			}
			return
		}
		written, err := json.Marshal(m)
		if err != nil {
			t.Fatal(err)
		}
		again, err := spec.Parse("manifest", written)
		if err != nil || !reflect.DeepEqual(m, again) {
			t.Errorf("%s was parsed as %+v, error %v", written, again, err)
		}
	})
}
