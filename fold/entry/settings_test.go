package entry_test

import (
	"testing"

	"plantainfold.example/fold"
	"plantainfold.example/fold/config"
	"plantainfold.example/fold/entry"
)

// Guards against settings that make an entry panic at its start or that are refused without a remedy.
func FuzzSettings(f *testing.F) {
	f.Add([]byte(`{"name": "e", "region": "lima", "domain": "a", "listen": "127.0.0.1:7001", "table": "http://127.0.0.1:7000",
		"objects": "http://127.0.0.1:7000", "fleet": "http://127.0.0.1:7000", "cellkey": "0123456789abcdef", "rootkey": "0123456789abcdef"}`))
	f.Add([]byte(`{"name": "e/1", "keep": "-1s", "body": -1}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		s, err := config.Parse[entry.Settings]("settings", text)
		if err == nil {
			err = s.WithDefaults().Check()
		}
		if err != nil && fold.Remedy(err) == "" {
			t.Errorf("no remedy: %v", err)
		}
	})
}
