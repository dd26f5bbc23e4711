// Command stand3 plays the scripts of review cases 11 to 15: a stand-in store, workers and clients around processes of the system.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
)

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: stand3 CASE FOLDER")
		os.Exit(2)
	}
	cases := map[string]func(trouble bool) bool{"cancelled": playCancelled, "woken": playWoken}
	play, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case")
		os.Exit(2)
	}
	var err error
	if record, err = os.Create(filepath.Join(os.Args[2], "record.txt")); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-stopped
		fatal(errors.New("the script was stopped"))
	}()
	broken := play(os.Getenv("TROUBLE") != "0")
	if broken {
		logf("the rule was broken")
		os.Exit(1)
	}
	logf("the rule held")
}
