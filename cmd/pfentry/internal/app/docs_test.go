package app_test

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"plantainfold.example/pfentry/internal/app"
)

// Guards against an example settings file in the operators' pages that pfentry refuses.
func TestSettingsPage(t *testing.T) {
	page, err := os.ReadFile("../../../../docs/operators/02-settings.md")
	if err != nil {
		t.Fatal(err)
	}
	_, text, ok := strings.Cut(string(page), "```json entry.json\n")
	if !ok {
		t.Fatal("the page has no block with entry.json")
	}
	text, _, _ = strings.Cut(text, "```")
	path := filepath.Join(t.TempDir(), "entry.json")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	var stdout, stderr bytes.Buffer
	if code := app.Main([]string{"check", "--settings", path}, &stdout, &stderr); code != 0 {
		t.Errorf("pfentry check: exit code %d: %s", code, stderr.String())
	}
}
