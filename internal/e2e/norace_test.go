//go:build !race

package e2e

// buildFlags are the flags that the binary is built with.
var buildFlags []string
