package config_test

import (
	"testing"

	"plantainfold.example/fold"
	"plantainfold.example/fold/config"
)

// Guards against settings that make the parser panic or that it rejects without a remedy.
func FuzzParse(f *testing.F) {
	for _, seed := range []string{`{"keep": "20s"} // comment`, `{"keep": 20}`, "{\n\"kep\": \"1s\"}", `{"keep": "1s"} {}`, `{"body": 1e400}`, `{`, ``, `null`} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		_, err := config.Parse[struct {
			Keep config.Duration   `json:"keep"`
			Body int64             `json:"body"`
			Tags map[string]string `json:"tags"`
		}]("settings", text)
		if err != nil && fold.Remedy(err) == "" {
			t.Errorf("no remedy: %v", err)
		}
	})
}
