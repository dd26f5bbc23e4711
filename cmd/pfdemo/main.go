// Command pfdemo runs a small cell in one process and shows how it runs three kinds of work.
package main

import (
	"os"

	"plantainfold.example/pfdemo/internal/app"
)

func main() {
	os.Exit(app.Main(os.Args[1:], os.Stdout, os.Stderr))
}
