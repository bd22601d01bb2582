package lease

import (
	"flag"
	"fmt"
	"os"
	"testing"
)

// TestMain fixes the seed of the random tests, so that a run repeats.
func TestMain(m *testing.M) {
	flag.Parse()
	seed := flag.Lookup("rapid.seed")
	if seed != nil && seed.Value.String() == "0" {
		seed.Value.Set("1")
		fmt.Println("rapid.seed", seed.Value)
	}
	os.Exit(m.Run())
}
