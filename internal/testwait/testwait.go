// Package testwait waits in tests for events that can only be asked for. Only
// tests import it.
package testwait

import (
	"testing"
	"time"
)

// pollInterval is the time between two checks.
const pollInterval = 20 * time.Millisecond

// Until calls check until it returns nil. It fails the test with the last error
// once limit has passed.
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
