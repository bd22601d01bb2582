package owner

import (
	"flag"
	"fmt"
	"os"
	"testing"
)

// TestMain fixes the seed and the number of the property tests, unless they
// are given.
func TestMain(m *testing.M) {
	flag.Parse()
	setDefault("rapid.seed", "0", "1")
	setDefault("rapid.checks", "100", "500")
	setDefault("rapid.steps", "30", "100")
	fmt.Println("rapid.seed", flag.Lookup("rapid.seed").Value)
	os.Exit(m.Run())
}

func setDefault(name, unset, value string) {
	if f := flag.Lookup(name); f != nil && f.Value.String() == unset {
		_ = flag.Set(name, value)
	}
}
