// Command pfnode is the entry daemon of plantainfold on a platform that keeps all state.
package main

import (
	"os"

	"plantainfold.example/pfnode/internal/app"
)

func main() {
	os.Exit(app.Main(os.Args[1:], os.Stdout, os.Stderr))
}
