// Command pfload is an open-loop load generator for service requests.
package main

import (
	"os"

	"plantainfold.example/pfload/internal/app"
)

func main() {
	os.Exit(app.Main(os.Args[1:], os.Stdout, os.Stderr))
}
