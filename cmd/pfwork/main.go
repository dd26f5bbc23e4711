// Command pfwork is a stand-in for workers and endpoints.
package main

import (
	"os"

	"plantainfold.example/pfwork/internal/app"
)

func main() {
	os.Exit(app.Main(os.Args[1:], os.Stdout, os.Stderr))
}
