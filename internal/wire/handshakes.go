package wire

import (
	"context"
	"net"
	"net/netip"
	"sync"

	"github.com/quic-go/quic-go"

	"github.com/filbertmast/filbertmast/internal/errkind"
)

const (
	// maxHandshakes bounds the accepted connections whose peers have not said hello yet. It
	// exceeds the processes of the largest deployments, which connect at once to a new leader.
	maxHandshakes = 1024
	// maxHandshakesPerHost is the part of them that connections from one host may be. A process
	// opens one for each lane.
	maxHandshakesPerHost = 128
	// verifyAbove is the number of them above which the source addresses of further ones are
	// verified, which takes a round trip: those of packets can be forged.
	verifyAbove = 256
)

// handshakes counts the accepted connections whose peers have not said hello yet: whoever
// reaches the address can open them. It is safe for concurrent use.
type handshakes struct {
	metrics *metrics

	mu     sync.Mutex
	total  int
	byHost map[netip.Addr]int
}

func newHandshakes(m *metrics) *handshakes {
	return &handshakes{metrics: m, byHost: make(map[netip.Addr]int)}
}

// endHandshakeKey is the key of the function, in the context of a connection, that ends its
// handshake.
type endHandshakeKey struct{}

// begin counts a connection until endHandshake or its end. The error is Overloaded.
func (h *handshakes) begin(ctx context.Context, info *quic.ClientInfo) (context.Context, error) {
	host := hostOf(info.RemoteAddr)
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.total >= maxHandshakes || h.byHost[host] >= maxHandshakesPerHost {
		h.metrics.refuse(reasonHandshakes)
		return nil, errkind.New(errkind.Overloaded, "%d connections have not said hello, %d of them from this host", h.total, h.byHost[host])
	}
	h.total++
	h.byHost[host]++
	end := sync.OnceFunc(func() { h.end(host) })
	context.AfterFunc(ctx, end)
	return context.WithValue(ctx, endHandshakeKey{}, end), nil
}

func (h *handshakes) end(host netip.Addr) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.total--
	if h.byHost[host]--; h.byHost[host] == 0 {
		delete(h.byHost, host)
	}
}

// mustVerify reports whether the source address of the next connection must be verified.
func (h *handshakes) mustVerify(net.Addr) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.total >= verifyAbove
}

// endHandshake records that the peer of an accepted connection has said hello.
func endHandshake(qc *quic.Conn) {
	if end, ok := qc.Context().Value(endHandshakeKey{}).(func()); ok {
		end()
	}
}

// hostOf returns the IP address of a UDP address, or the zero address.
func hostOf(a net.Addr) netip.Addr {
	if udp, ok := a.(*net.UDPAddr); ok {
		return udp.AddrPort().Addr().Unmap()
	}
	return netip.Addr{}
}
