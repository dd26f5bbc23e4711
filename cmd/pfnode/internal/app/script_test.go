package app_test

import (
	"os"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"plantainfold.example/pfnode/internal/app"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"pfnode": func() { os.Exit(app.Main(os.Args[1:], os.Stdout, os.Stderr)) },
	})
}

// Guards against a command line that accepts settings with which an entry cannot run, or whose error names no remedy.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{Dir: "testdata/script"})
}
