// Package e2e contains tests that run the built binary as separate processes on
// loopback addresses, inject failures, and compare the responses to callers with
// what the stand-in targets ran.
package e2e
