package limit

import (
	"testing"

	"github.com/filbertmast/filbertmast/internal/testseed"
)

// TestMain fixes the seed of the property tests, so that a run can be repeated.
func TestMain(m *testing.M) {
	testseed.Run(m, testseed.Flag{Name: "rapid.checks", Value: "500"}, testseed.Flag{Name: "rapid.steps", Value: "100"})
}
