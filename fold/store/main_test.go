package store_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
)

// TestMain fixes the seed of the property tests unless the command line gives one.
func TestMain(m *testing.M) {
	flag.Parse()
	seed := flag.Lookup("rapid.seed")
	if seed.Value.String() == seed.DefValue {
		_ = flag.Set("rapid.seed", "20261204")
	}
	fmt.Println("rapid.seed", seed.Value)
	os.Exit(m.Run())
}
