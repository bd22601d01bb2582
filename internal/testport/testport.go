// Package testport finds free addresses for processes that tests start. A port
// chosen by the system could be given to a connection before the process listens
// on it; the ports of this package lie below the ephemeral range.
package testport

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
	"testing"
)

const (
	firstPort = 12_000
	portCount = 20_000 // from firstPort on; ephemeral ports begin at 32,768
	// stride separates the first ports of test processes that run concurrently.
	stride = 331
)

var allocated atomic.Int64

// Free returns a loopback IP:port on which no process listens, a different one on
// each call. The network is "tcp" or "udp". If no port is free, the test fails.
func Free(t testing.TB, network string) string {
	t.Helper()
	for range portCount {
		n := (int64(os.Getpid())*stride + allocated.Add(1)) % portCount
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+n)
		if isFree(network, address) {
			return address
		}
	}
	t.Fatalf("no free %s port in the range of this package", network)
	return ""
}

func isFree(network, address string) bool {
	if network == "udp" {
		c, err := net.ListenPacket("udp", address)
		if err != nil {
			return false
		}
		return c.Close() == nil
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	return l.Close() == nil
}
