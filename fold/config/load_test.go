package config_test

import (
	"strings"
	"testing"

	"plantainfold.example/fold/config"
)

type sample struct {
	Name string          `json:"name"`
	Size int             `json:"size"`
	Time config.Duration `json:"time"`
}

// Guards against errors for a wrong settings file that lack the line or the remedy.
func TestParseNamesLineAndRemedy(t *testing.T) {
	if _, err := config.Parse[sample]("f", []byte("{\"name\": \"a\", // last\n} // no newline at the end")); err != nil {
		t.Errorf("comments: %v", err)
	}
	for _, c := range []struct{ text, line, remedy string }{
		{"{\n\"colour\": 1}", "f:2: unknown field", "correct its name"},
		{"{\n\n\"size\": \"big\"}", "f:3: field size", "write a int"},
		{"{\"time\": \"5\"}", "duration \"5\"", "use ns, us, ms"},
		{"{\"name\": \"a\"", "line 2", "JSON syntax"},
		{"{} {}", "f", "JSON syntax"},
	} {
		_, err := config.Parse[sample]("f", []byte(c.text))
		if err == nil || !strings.Contains(err.Error(), c.line) || !strings.Contains(err.Error(), c.remedy) {
			t.Errorf("%q: got %v, want %q and %q", c.text, err, c.line, c.remedy)
		}
	}
}
