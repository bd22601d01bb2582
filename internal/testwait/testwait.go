// Package testwait waits in tests for conditions that can only be polled. Only
// tests import it.
package testwait

import (
	"testing"
	"time"
)

// pollInterval is the time between two calls of check.
const pollInterval = 20 * time.Millisecond

// Until calls check until it returns nil. Once limit has passed, it fails the
// test with the last error; what describes the condition in the message.
func Until(t testing.TB, limit time.Duration, what string, check func() error) {
	t.Helper()
	deadline := time.Now().Add(limit)
	for {
		err := check()
		if err == nil {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("%s: %v", what, err)
		}
		time.Sleep(pollInterval)
	}
}
