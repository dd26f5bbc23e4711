package app_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

const pages = "../../../../docs/operators"

// Guards against a command on the operators' pages that does not work: all pages make one script, in their order.
func TestOperatorsPages(t *testing.T) {
	paths, err := filepath.Glob(filepath.Join(pages, "*.md"))
	if err != nil || len(paths) == 0 {
		t.Fatalf("no pages: %v", err)
	}
	var script, files strings.Builder
	for _, path := range paths {
		text, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		script.WriteString("# " + filepath.Base(path) + "\n")
		extract(t, path, string(text), &script, &files)
	}
	dir := t.TempDir()
	all := script.String() + files.String()
	if n := strings.Count(all, "exec pfctl"); n < 20 {
		t.Fatalf("only %d commands found", n)
	}
	if err := os.WriteFile(filepath.Join(dir, "pages.txtar"), []byte(all), 0o600); err != nil {
		t.Fatal(err)
	}
	testscript.Run(t, testscript.Params{Dir: dir, Setup: startCell, Cmds: commands})
}

// extract adds the commands of sh blocks and the files of json blocks that have a name.
func extract(t *testing.T, path, text string, script, files *strings.Builder) {
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
			t.Errorf("%s: %q is no command that the test can run", path, line)
		case kind == "json":
			files.WriteString(line + "\n")
		}
	}
}
