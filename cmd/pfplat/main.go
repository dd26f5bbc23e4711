// Command pfplat serves a stand-in for the platform: table service, object store and instance list.
package main

import (
	"os"

	"plantainfold.example/pfplat/internal/app"
)

func main() {
	os.Exit(app.Main(os.Args[1:], os.Stdout, os.Stderr))
}
