// Package e2e holds tests that run the built binary as separate processes on
// loopback addresses, cause their failures and check what callers were told
// against what the stand-in targets really ran.
package e2e
