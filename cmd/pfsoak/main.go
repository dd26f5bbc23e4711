// Command pfsoak is a soak test. It runs entries as processes, injects faults from outside and checks the guarantees to
// callers.
package main

import (
	"os"

	"plantainfold.example/pfsoak/internal/app"
)

func main() {
	os.Exit(app.Main(os.Args[1:], os.Stdout, os.Stderr))
}
