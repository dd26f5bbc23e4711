package app_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

// pages is the folder of the operators' pages.
const pages = "../../../../docs/operators"

// Guards against a command on the operators' pages that does not work. The commands of all pages run as one script, in
// the order of the pages.
func TestOperatorsPages(t *testing.T) {
	paths, err := filepath.Glob(filepath.Join(pages, "*.md"))
	if err != nil || len(paths) == 0 {
		t.Fatalf("found no operators' pages: %v", err)
	}
	var script, files strings.Builder
	for _, path := range paths {
		text, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		script.WriteString("# " + filepath.Base(path) + "\n")
		extractCommands(t, path, string(text), &script, &files)
	}
	dir := t.TempDir()
	all := script.String() + files.String()
	if n := strings.Count(all, "exec pfctl"); n < 20 {
		t.Fatalf("found only %d commands on the pages, want at least 20", n)
	}
	if err := os.WriteFile(filepath.Join(dir, "pages.txtar"), []byte(all), 0o600); err != nil {
		t.Fatal(err)
	}
	testscript.Run(t, testscript.Params{Dir: dir, Setup: startCell, Cmds: commands})
}

// extractCommands adds the commands of the sh blocks of a page to script, and the json blocks with a file name to files.
func extractCommands(t *testing.T, path, text string, script, files *strings.Builder) {
	t.Helper()
	kind := ""
	for _, line := range strings.Split(text, "\n") {
		fence, isFence := strings.CutPrefix(line, "```")
		switch {
		case isFence && kind == "":
			kind, _, _ = strings.Cut(fence, " ")
			if name, ok := strings.CutPrefix(fence, "json "); ok {
				files.WriteString("-- " + name + " --\n")
			}
		case isFence:
			kind = ""
		case kind == "sh" && strings.HasPrefix(line, "pfctl "):
			script.WriteString("exec " + line + "\n")
			if line == "pfctl apply manifest.json" {
				script.WriteString("pools\n")
			}
		case kind == "sh":
			t.Errorf("%s: the test cannot run %q, which does not begin with pfctl", path, line)
		case kind == "json":
			files.WriteString(line + "\n")
		}
	}
}
