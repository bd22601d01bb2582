//go:build race

package e2e

// buildFlags build the binary with the race detector when the tests run with it.
var buildFlags = []string{"-race"}
