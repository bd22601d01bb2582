// Package testport finds addresses for processes that tests start. Unlike a port
// of the system's choice, which is free again before the process takes it, they
// lie below the range from which connections get theirs.
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
	portCount = 20_000 // from lowest on; the system gives connections 32,768 and above
	// stride keeps the first ports of test processes that run at once apart.
	stride = 331
)

var allocated atomic.Int64

// Free returns an IP:port of this machine that nobody listens on, each time
// another one. The network is "tcp" or "udp".
func Free(t testing.TB, network string) string {
	t.Helper()
	for range portCount {
		n := (int64(os.Getpid())*stride + allocated.Add(1)) % portCount
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+n)
		if isFree(network, address) {
			return address
		}
	}
	t.Fatalf("no free %s port", network)
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
