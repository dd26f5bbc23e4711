// Command pfnode is the entry daemon of plantainfold for platforms whose store keeps all durable state.
package main

import (
	"os"

	"plantainfold.example/pfnode/internal/app"
)

func main() {
	os.Exit(app.Main(os.Args[1:], os.Stdout, os.Stderr))
}
