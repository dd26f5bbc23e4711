// Command stand plays the cases of the review: it is the store, the workers, the operator, the clients and the platform, and
// starts the project's program as separate processes.
package main

import (
	"fmt"
	"os"
	"time"
)

// cases are the cases by the name of their script. Each returns an error if it could not run.
var cases = map[string]func(*world) error{}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Println("usage: stand CASE FOLDER")
		os.Exit(2)
	}
	w, err := newWorld(os.Args[2])
	if err != nil {
		fmt.Println(err)
		os.Exit(2)
	}
	w.log("case %s, disruption %v", os.Args[1], w.trouble)
	w.stopOnSignals(112 * time.Second)
	err = cases[os.Args[1]](w)
	w.close()
	os.Exit(w.verdict(err))
}

// verdict prints the result and returns the exit code.
func (w *world) verdict(err error) int {
	w.rules.mu.Lock()
	defer w.rules.mu.Unlock()
	switch {
	case err != nil:
		w.log("RESULT the case could not run: %v", err)
		fmt.Println("could not run:", err)
		return 2
	case len(w.rules.broken) > 0:
		w.log("RESULT broken, %d times", len(w.rules.broken))
		fmt.Printf("broken %d times, first: %s\n", len(w.rules.broken), w.rules.broken[0])
		return 1
	}
	w.log("RESULT held")
	fmt.Println("held")
	return 0
}
