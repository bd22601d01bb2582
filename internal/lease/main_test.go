package lease

import (
	"testing"

	"github.com/filbertmast/filbertmast/internal/testseed"
)

// TestMain fixes the seed of the random tests, so that runs are reproducible.
func TestMain(m *testing.M) { testseed.Run(m) }
