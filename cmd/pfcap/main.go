// Command pfcap measures slopes on this machine and works out the cost of the two-year size from them.
package main

import (
	"os"

	"plantainfold.example/pfcap/internal/app"
)

func main() {
	os.Exit(app.Main(os.Args[1:], os.Stdout, os.Stderr))
}
