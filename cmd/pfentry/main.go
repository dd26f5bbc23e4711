// Command pfentry is the entry daemon of plantainfold.
package main

import (
	"os"

	"plantainfold.example/pfentry/internal/app"
)

func main() {
	os.Exit(app.Main(os.Args[1:], os.Stdout, os.Stderr))
}
