// Command pfwork serves stand-ins for the workers and endpoints of a region.
package main

import (
	"os"

	"plantainfold.example/pfwork/internal/app"
)

func main() {
	os.Exit(app.Main(os.Args[1:], os.Stdout, os.Stderr))
}
