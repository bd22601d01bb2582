package testport

import (
	"net"
	"testing"

	"gotest.tools/v3/assert"
)

func TestFreeReturnsDistinctUnusedAddresses(t *testing.T) {
	seen := map[string]bool{}
	for _, network := range []string{"tcp", "udp", "tcp"} {
		a := Free(t, network)
		assert.Assert(t, !seen[a])
		seen[a] = true
	}
	a := Free(t, "tcp")
	l, err := net.Listen("tcp", a)
	assert.NilError(t, err)
	defer func() { _ = l.Close() }()
	assert.Assert(t, !isFree("tcp", a))
}
