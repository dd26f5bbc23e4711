// Command pfdemo is a whole small cell in one process.
package main

import (
	"os"

	"plantainfold.example/pfdemo/internal/app"
)

func main() {
	os.Exit(app.Main(os.Args[1:], os.Stdout, os.Stderr))
}
