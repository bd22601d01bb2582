//go:build race

package e2e

// buildFlags make the processes report data races when the tests look for them.
var buildFlags = []string{"-race"}
