// Command pfctl is the command line of plantainfold for operators and callers.
package main

import (
	"os"

	"plantainfold.example/pfctl/internal/app"
)

func main() {
	os.Exit(app.Main(os.Args[1:], os.Stdout, os.Stderr))
}
