// Command pfcap measures resource use on this machine and extrapolates it to the size that the users expect in two years.
package main

import (
	"os"

	"plantainfold.example/pfcap/internal/app"
)

func main() {
	os.Exit(app.Main(os.Args[1:], os.Stdout, os.Stderr))
}
