package wire

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/quic-go/quic-go"
	"gotest.tools/v3/assert"

	"github.com/filbertmast/filbertmast/internal/testwait"
)

// strangers opens connections from a host that never say hello.
func strangers(t *testing.T, host string, n int, to *Endpoint) {
	t.Helper()
	socket, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.ParseIP(host)})
	assert.NilError(t, err)
	transport := &quic.Transport{Conn: socket}
	t.Cleanup(func() {
		transport.Close()
		socket.Close()
	})
	address, err := net.ResolveUDPAddr("udp", to.Address())
	assert.NilError(t, err)
	for range n {
		ctx, cancel := context.WithTimeout(context.Background(), handshakeTimeout)
		_, _ = transport.Dial(ctx, address, to.tls, quicConfig()) // may be refused
		cancel()
	}
}

func (h *handshakes) open() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.total
}

// Connections that never say hello must be bounded, and must not keep another host out.
func TestConnectionsWithoutHelloAreBounded(t *testing.T) {
	const crowd = 3 * maxHandshakesPerHost
	server := listen(t, "server", func(o *Options) { o.AcceptAnyCertificate = true })
	client := listen(t, "client", func(o *Options) { o.AcceptAnyCertificate = true })
	handleEcho(server)
	most, done := 0, make(chan struct{})
	go func() {
		defer close(done)
		strangers(t, "127.0.0.2", crowd, server)
	}()
	for waiting := true; waiting; {
		select {
		case <-done:
			waiting = false
		case <-time.After(time.Millisecond):
			most = max(most, server.hellos.open())
		}
	}
	assert.Assert(t, most > 1 && most <= maxHandshakesPerHost, "%d connections without hello", most)
	r, err := Call[echoRequest, echoResponse](testContext(t), client, server.Address(), KindProbe, &echoRequest{Text: "x"})
	assert.NilError(t, err)
	assert.Equal(t, r.Text, "x")
	testwait.Until(t, testTimeout, "the end of all handshakes", func() error {
		if n := server.hellos.open(); n != 0 {
			return fmt.Errorf("%d are left", n)
		}
		return nil
	})
	assert.Equal(t, len(server.hellos.byHost), 0)
}
