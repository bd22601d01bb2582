// Package testseed fixes the seeds of randomized tests, so that the same sources
// give the same result on every run. Only tests import it.
package testseed

import (
	"flag"
	"fmt"
	"os"
	"testing"
)

// Seed is the seed of randomized tests unless -rapid.seed sets another one.
const Seed = "1"

// Flag is a default for one flag of a test binary.
type Flag struct {
	Name  string
	Value string
}

// Run sets the seed and the given flags, runs the tests of m and exits with their
// exit code. Flags on the command line override both.
func Run(m *testing.M, defaults ...Flag) {
	for _, f := range append([]Flag{{"rapid.seed", Seed}}, defaults...) {
		if err := flag.Set(f.Name, f.Value); err != nil {
			panic(err) // the test binary does not define this flag
		}
	}
	flag.Parse()
	fmt.Println("rapid.seed", flag.Lookup("rapid.seed").Value)
	os.Exit(m.Run())
}
